/** Routes the requests of one service by its dispatcher's decisions. */
import type {
  AppError,
  BackendInfo,
  Clock,
  Dispatch,
  Dispatcher,
  RequestEnd,
  ServiceSpec,
  TryResult,
} from '@paddlewind/domain';

import type { EndedRequest } from '../parts.js';

import type { ConnectionPool } from './connection-pool.js';
import {
  createExchange,
  expireExchange,
  followDispatch,
  stopExchange,
  wasSent,
  type Exchange,
  type ExchangeEnd,
  type ExchangeHost,
  type ExchangeOptions,
} from './exchange.js';
import type { ServiceMetrics } from './metrics.js';

/** What the router of a service is given. */
export interface ServiceRouterOptions {
  readonly service: ServiceSpec;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly metrics: ServiceMetrics;
  readonly pool: (address: string) => ConnectionPool;
  readonly onLatency: (worker: string, latencyMs: number) => void;
  readonly onEnded: (req: Omit<EndedRequest, 'service'>) => void;
  readonly closing: () => boolean;
}

/** The router of one service. */
export interface ServiceRouter {
  readonly service: ServiceSpec;
  readonly dispatcher: Dispatcher;
  /** Takes a request whose head is checked; `onEnd` is called once. */
  handle(request: Omit<ExchangeOptions, 'host'>, onEnd?: OnExchangeEnd): void;
  setBackends(backends: readonly BackendInfo[]): void;
  /** Carries out decisions that a call of the dispatcher returned. */
  apply(dispatches: readonly Dispatch[]): void;
  tick(): void;
  /** Ends the exchanges whose deadline has passed; call about every 10 ms. */
  expire(): void;
  inFlight(): number;
  queueLength(): number;
  /** Ends one exchange with this error. */
  stopOne(id: number, error: AppError): void;
  /** Ends every exchange with this error. */
  stop(error: AppError): void;
}

/** Share of requests that are answered before a second copy may be sent. */
const HEDGE_QUANTILE = 0.95;
const FIRST_HEDGE_DELAY_MS = 50;

/** Told of the end of one request; `sent` when any byte may have reached a server. */
export type OnExchangeEnd = (end: ExchangeEnd, sent: boolean) => void;

interface RouterState {
  readonly options: ServiceRouterOptions;
  readonly exchanges: Map<number, Exchange>;
  readonly endings: Map<number, OnExchangeEnd>;
  /** Workers by the address of their server. */
  readonly workers: Map<string, string>;
  readonly slow: QuantileEstimate;
  queued: number;
}

/** Creates the router of a service. */
export function createServiceRouter(
  options: ServiceRouterOptions,
): ServiceRouter {
  const { service, dispatcher, clock } = options;
  const state: RouterState = {
    options,
    exchanges: new Map(),
    endings: new Map(),
    workers: new Map(),
    slow: createQuantileEstimate(HEDGE_QUANTILE, FIRST_HEDGE_DELAY_MS),
    queued: 0,
  };
  const host = createHost(state);
  return {
    service,
    dispatcher,
    handle({ res, head, body, info, startedAt }, onEnd) {
      const request = { host, res, head, body, info, startedAt };
      state.exchanges.set(info.id, createExchange(request));
      if (onEnd !== undefined) {
        state.endings.set(info.id, onEnd);
      }
      apply(state, dispatcher.offer(info, clock()));
    },
    setBackends(backends) {
      setWorkers(state, backends);
      apply(state, dispatcher.setBackends(backends, clock()));
    },
    apply(dispatches) {
      apply(state, dispatches);
    },
    tick() {
      apply(state, dispatcher.tick(clock()));
    },
    expire() {
      expire(state);
    },
    inFlight: () => state.exchanges.size,
    queueLength: () => state.queued,
    stopOne(id, error) {
      const exchange = state.exchanges.get(id);
      if (exchange !== undefined) {
        stopExchange(exchange, error);
      }
    },
    stop(error) {
      for (const exchange of [...state.exchanges.values()]) {
        stopExchange(exchange, error);
      }
    },
  };
}

function createHost(state: RouterState): ExchangeHost {
  const { service, dispatcher, clock, metrics, ...options } = state.options;
  return {
    clock,
    pool: address =>
      state.workers.has(address) ? options.pool(address) : undefined,
    finish(id, backend, result) {
      apply(state, dispatcher.finish(id, backend, result, clock()));
    },
    retry(info, result) {
      const dispatches = dispatcher.retry(info, result, clock());
      if (dispatches.some(d => d.id === info.id && d.kind !== 'refused')) {
        metrics.retried();
      }
      apply(state, dispatches);
    },
    hedge(info) {
      const dispatch = dispatcher.hedge(info, clock());
      if (dispatch?.kind === 'send') {
        metrics.hedged();
        apply(state, [dispatch]);
      }
    },
    hedgeDelayMs: () =>
      service.route.hedgeBudget > 0 ? state.slow.value() : undefined,
    withdraw(id) {
      dispatcher.withdraw(id, clock());
      countQueued(state, true, false);
    },
    sample(backend, latencyMs) {
      sample(state, backend, latencyMs);
    },
    ended(exchange, end) {
      ended(state, exchange, end);
    },
    closing: options.closing,
  };
}

function apply(state: RouterState, dispatches: readonly Dispatch[]): void {
  for (const dispatch of dispatches) {
    const exchange = state.exchanges.get(dispatch.id);
    if (exchange === undefined) {
      returnSlot(state, dispatch);
    } else {
      const before = exchange.queued;
      exchange.queued = false;
      countQueued(state, before, dispatch.kind === 'queued');
      followDispatch(exchange, dispatch);
    }
  }
}

function countQueued(
  state: RouterState,
  before: boolean,
  after: boolean,
): void {
  if (before !== after) {
    state.queued += after ? 1 : -1;
  }
}

/** Gives back the slot of a request that has ended meanwhile. */
function returnSlot(state: RouterState, dispatch: Dispatch): void {
  if (dispatch.kind === 'send') {
    const { dispatcher, clock } = state.options;
    const result: TryResult = { kind: 'not_sent' };
    const { id, backend } = dispatch;
    apply(state, dispatcher.finish(id, backend, result, clock()));
  }
}

/** One sweep is cheaper than a timer for each request, few of which run into their deadline. */
function expire(state: RouterState): void {
  if (state.exchanges.size === 0) {
    return;
  }
  const now = state.options.clock();
  for (const exchange of state.exchanges.values()) {
    if (exchange.info.deadline <= now) {
      expireExchange(exchange);
    }
  }
}

function setWorkers(
  state: RouterState,
  backends: readonly BackendInfo[],
): void {
  state.workers.clear();
  for (const { address, worker } of backends) {
    state.workers.set(address, worker);
  }
}

function sample(state: RouterState, backend: string, latencyMs: number): void {
  state.slow.add(latencyMs);
  const worker = state.workers.get(backend);
  if (worker !== undefined) {
    state.options.onLatency(worker, latencyMs);
  }
}

function ended(state: RouterState, exchange: Exchange, end: ExchangeEnd): void {
  const { metrics, clock } = state.options;
  const { id } = exchange.info;
  state.exchanges.delete(id);
  const durationMs = clock() - exchange.startedAt;
  metrics.ended(labelOf(end), durationMs / 1_000);
  const worker = state.workers.get(exchange.backend ?? '');
  state.options.onEnded({ end: requestEndOf(end), worker, durationMs });
  const onEnd = state.endings.get(id);
  state.endings.delete(id);
  onEnd?.(end, wasSent(exchange));
}

function requestEndOf(end: ExchangeEnd): RequestEnd {
  return end.kind === 'refused' ? { ...end, error: end.error.kind } : end;
}

function labelOf(end: ExchangeEnd): string {
  switch (end.kind) {
    case 'answered':
      return `${Math.floor(end.status / 100)}xx`;
    case 'refused':
      return end.error.kind;
    case 'broken_off':
    case 'canceled':
      return end.kind;
  }
}

/** A running estimate of a quantile. */
interface QuantileEstimate {
  add(value: number): void;
  value(): number;
}

const ESTIMATE_GAIN = 0.05;

/** Follows a quantile by steps proportional to itself, without keeping samples. */
function createQuantileEstimate(
  quantile: number,
  first: number,
): QuantileEstimate {
  let estimate = first;
  return {
    add(value) {
      const step = ESTIMATE_GAIN * estimate;
      estimate += value > estimate ? step * quantile : -step * (1 - quantile);
    },
    value: () => estimate,
  };
}
