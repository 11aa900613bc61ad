/** The state of a dispatcher, shared by the modules that decide on it. */
import type { Instant } from '../core/time.js';
import { type BackendPool, createBackendPool } from './backend-pool.js';
import {
  type ConnectionShare,
  createConnectionShare,
} from './connection-share.js';
import type { EntryHostInfo, RequestInfo } from './dispatcher.js';
import {
  DEFAULT_TUNABLES,
  type DispatcherOptions,
  type Tunables,
} from './options.js';
import { createRequestQueue, type RequestQueue } from './request-queue.js';
import { createThroughput, type Throughput } from './throughput.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

/** A request of which a try runs or may be repeated. */
export interface ActiveRequest {
  readonly req: RequestInfo;
  /** Servers on which a try runs. */
  readonly running: Set<string>;
  /** Servers on which a try failed. */
  readonly failedOn: string[];
  /** Whether a byte of some try may have reached a server. */
  reached: boolean;
}

/** Everything that a dispatcher remembers. */
export interface DispatcherState {
  readonly options: DispatcherOptions;
  readonly tunables: Tunables;
  readonly pool: BackendPool;
  readonly queue: RequestQueue;
  readonly active: Map<number, ActiveRequest>;
  readonly retryBudget: TokenBucket;
  readonly hedgeBudget: TokenBucket;
  readonly throughput: Throughput;
  readonly share: ConnectionShare;
  /** Weights other than 1 that interference control gives, by worker. */
  readonly weights: Map<string, number>;
  /** Tries that run. */
  running: number;
  /** When the limits on connections are next looked at. */
  limitsDueAt: Instant;
  /** Entry hosts that are live, as far as their names are known. */
  hosts: readonly EntryHostInfo[];
}

/** Creates the state of a dispatcher that knows no server yet. */
export function createState(options: DispatcherOptions): DispatcherState {
  const tunables = { ...DEFAULT_TUNABLES, ...options.tunables };
  const { route } = options.service;
  return {
    options,
    tunables,
    pool: createBackendPool(tunables.initialLatencyMs),
    queue: createRequestQueue(),
    active: new Map(),
    retryBudget: createTokenBucket(route.retryBudget, tunables.budgetBurst),
    hedgeBudget: createTokenBucket(route.hedgeBudget, tunables.budgetBurst),
    throughput: createThroughput(),
    share: createShare(options, tunables),
    weights: new Map(),
    running: 0,
    limitsDueAt: 0,
    hosts: [],
  };
}

function createShare(
  options: DispatcherOptions,
  tunables: Tunables,
): ConnectionShare {
  const { service, self, entryHosts, joinedAt } = options;
  return createConnectionShare({
    self,
    connections: service.connections,
    planned: entryHosts,
    headroom: tunables.joinHeadroom,
    settleMs: tunables.settleMs,
    drainMs: service.route.timeoutMs,
    joinedAt: joinedAt ?? -Infinity,
  });
}

/** Forgets a request of which no try runs. */
export function forgetIdle(state: DispatcherState, id: number): void {
  if (state.active.get(id)?.running.size === 0) {
    state.active.delete(id);
  }
}
