/** The state of a dispatcher, shared by the modules that decide on it. */
import type { Instant } from '../core/time.js';
import { type BackendPool, createBackendPool } from './backend-pool.js';
import type { RequestInfo } from './dispatcher.js';
import {
  DEFAULT_TUNABLES,
  type DispatcherOptions,
  type Tunables,
} from './options.js';
import { createRequestQueue, type RequestQueue } from './request-queue.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

/** A request of which a try runs or may be repeated. */
export interface ActiveRequest {
  readonly req: RequestInfo;
  /** Start of each running try, by server. */
  readonly running: Map<string, Instant>;
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
  /** Connections that this entry host may use at each server. */
  share: number;
}

/** Creates the state of a dispatcher that knows no server yet. */
export function createState(options: DispatcherOptions): DispatcherState {
  const tunables = { ...DEFAULT_TUNABLES, ...options.tunables };
  const { route, connections } = options.service;
  const planned = options.entryHosts + tunables.joinHeadroom;
  return {
    options,
    tunables,
    pool: createBackendPool(tunables),
    queue: createRequestQueue(),
    active: new Map(),
    retryBudget: createTokenBucket(route.retryBudget, tunables.budgetBurst),
    hedgeBudget: createTokenBucket(route.hedgeBudget, tunables.budgetBurst),
    share: Math.max(1, Math.floor(connections / planned)),
  };
}
