/** Settings of the router of an entry host. */
import type { Instant } from '@paddlewind/domain';

/** Limits of the router; sizes in bytes, spans in milliseconds. */
export interface RouterLimits {
  readonly maxHeaderBytes: number;
  readonly maxHeaderCount: number;
  /** A request whose headers take longer is refused. */
  readonly headersTimeoutMs: number;
  /** A request that takes longer to arrive whole is cut off. */
  readonly requestTimeoutMs: number;
  /** A body of which no byte comes for so long is given up. */
  readonly bodyIdleTimeoutMs: number;
  /** Idle connections of callers are kept this long; longer than the balancer keeps them. */
  readonly callerKeepAliveMs: number;
  /** Bodies up to this size are read whole before a backend server is chosen. */
  readonly bufferedBodyBytes: number;
  readonly connectTimeoutMs: number;
  /** Idle connections to backend servers are closed after this time, before the server does so. */
  readonly backendKeepAliveMs: number;
  /** A connection idle for longer is not trusted with a non-idempotent request. */
  readonly trustedIdleMs: number;
  /** How long a stopping router goes on accepting while the balancer leaves it. */
  readonly drainGraceMs: number;
  /** How long an idempotency key is remembered; shorter than the log's retention. */
  readonly keyWindowMs: number;
}

/** The limits used where settings give none. */
export const DEFAULT_ROUTER_LIMITS: RouterLimits = {
  maxHeaderBytes: 16 * 1024,
  maxHeaderCount: 128,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 300_000,
  bodyIdleTimeoutMs: 30_000,
  callerKeepAliveMs: 65_000,
  bufferedBodyBytes: 64 * 1024,
  connectTimeoutMs: 1_000,
  backendKeepAliveMs: 4_000,
  trustedIdleMs: 1_000,
  drainGraceMs: 3_000,
  keyWindowMs: 600_000,
};

/** Settings of the router. */
export interface RouterSettings {
  /** Where callers connect; port 0 takes a free one. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly limits?: Partial<RouterLimits>;
  readonly availabilityZone: string;
  readonly region: string;
  readonly hostId: string;
  /** Planned number of entry hosts, this one included. */
  readonly entryHosts: number;
  /** When this host's process started; the start of the router when absent. */
  readonly joinedAt?: Instant;
}
