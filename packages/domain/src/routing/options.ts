/** Settings of a dispatcher. */
import type { Instant, Millis, Random } from '../core/time.js';
import type { ServiceSpec } from '../declarations/schemas.js';

/** Numbers that the policy is tuned by; docs/design/routing.md gives the measurements behind them. */
export interface Tunables {
  /** Entry hosts beyond the planned number for which connections are kept free. */
  readonly joinHeadroom: number;
  /** Time within which every entry host has seen a change of the entry hosts. */
  readonly settleMs: Millis;
  /** Response time assumed of a server before the first answer. */
  readonly initialLatencyMs: Millis;
  /** Added to the expected response time of a server in another availability zone. */
  readonly crossZoneMs: Millis;
  /** Candidates that are compared for one choice. */
  readonly sampleSize: number;
  /** Cost of each try beyond this host's share of a server's slots, as a share of the response time. */
  readonly spillCost: number;
  /** Tries beyond this host's share of a server's slots that may run on it. */
  readonly maxSpill: number;
  /** Slowness up to which a server counts as about as fast as the others. */
  readonly slownessDeadband: number;
  /** Share of the slowness that counts below the deadband. */
  readonly slownessSlope: number;
  /** Share of the servers that may be ejected at a time. */
  readonly maxEjectedShare: number;
  /** Longest ejection of a server. */
  readonly maxEjectionMs: Millis;
  /** Share of the time to the deadline that a request may be expected to wait. */
  readonly maxWaitShare: number;
  /** Failed tries after which a request is not tried again. */
  readonly maxTries: number;
  /** Retries and hedges that may be saved up. */
  readonly budgetBurst: number;
  /** Retry-After where nothing better is known. */
  readonly defaultRetryAfterMs: Millis;
}

/** Tunables in force unless overridden. */
export const DEFAULT_TUNABLES: Tunables = {
  joinHeadroom: 3,
  settleMs: 3_000,
  initialLatencyMs: 10,
  crossZoneMs: 0.2,
  sampleSize: 64,
  spillCost: 0.1,
  maxSpill: 1,
  slownessDeadband: 1.7,
  slownessSlope: 0.1,
  maxEjectedShare: 0.3,
  maxEjectionMs: 30_000,
  maxWaitShare: 0.5,
  maxTries: 3,
  budgetBurst: 10,
  defaultRetryAfterMs: 1_000,
};

/** What a dispatcher is created with. */
export interface DispatcherOptions {
  readonly service: ServiceSpec;
  /** Id of this entry host, as peers know it. */
  readonly self: string;
  readonly availabilityZone: string;
  /** Planned number of entry hosts, this one included. */
  readonly entryHosts: number;
  /** When this entry host joined the others; long ago when absent. */
  readonly joinedAt?: Instant;
  readonly random: Random;
  readonly tunables?: Partial<Tunables>;
}
