/** The dispatcher: admission, choice, retries and hedges of the requests of one service. */
import type { Instant } from '../core/time.js';
import { appError } from '../errors/app-error.js';
import { deadlineUnmet, noBackend, refuseToQueue } from './admission.js';
import {
  type Backend,
  isFailure,
  recordResult,
  replaceBackends,
} from './backend-pool.js';
import { chooseBackend } from './choose.js';
import {
  type ActiveRequest,
  createState,
  type DispatcherState,
} from './dispatcher-state.js';
import type {
  Dispatch,
  Dispatcher,
  RequestInfo,
  TryResult,
} from './dispatcher.js';
import type { DispatcherOptions } from './options.js';
import type { QueuedRequest } from './request-queue.js';

/** Creates a dispatcher for one service; it knows no server until `setBackends`. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const state = createState(options);
  return {
    setBackends(backends, now) {
      replaceBackends(state.pool, backends);
      return release(state, now);
    },
    offer: (req, now) => offer(state, req, now),
    finish: (id, backend, result, now) =>
      finish(state, id, backend, result, now),
    retry: (req, result, now) => retry(state, req, result, now),
    hedge: (req, now) => hedge(state, req, now),
    withdraw(id) {
      state.queue.remove(id);
      forgetIdle(state, id);
    },
    peerLoads: () => [],
    setPeers: (_count, now) => release(state, now),
    steer: () => undefined,
    connectionLimit: () => state.share,
    tick: now => tick(state, now),
    loads: () => loads(state),
  };
}

function offer(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch[] {
  state.retryBudget.credit();
  state.hedgeBudget.credit();
  return [admit(state, { req, avoid: [] }, now)];
}

/** Sends, queues or refuses a request that waits for nothing yet. */
function admit(
  state: DispatcherState,
  entry: QueuedRequest,
  now: Instant,
): Dispatch {
  const { req } = entry;
  if (state.pool.live.length === 0) {
    return noBackend(state, req);
  }
  if (req.deadline <= now) {
    return deadlineUnmet(req, 0);
  }
  const backend =
    state.queue.size() === 0
      ? chooseBackend(state, entry.avoid, now)
      : undefined;
  if (backend !== undefined) {
    return send(state, req, backend, now);
  }
  const refused = refuseToQueue(state, req, now);
  if (refused !== undefined) {
    return refused;
  }
  state.queue.push(entry);
  return { kind: 'queued', id: req.id };
}

function send(
  state: DispatcherState,
  req: RequestInfo,
  backend: Backend,
  now: Instant,
): Dispatch {
  const active = state.active.get(req.id) ?? newActive(req);
  active.running.set(backend.address, now);
  state.active.set(req.id, active);
  backend.inFlight += 1;
  return { kind: 'send', id: req.id, backend: backend.address };
}

function newActive(req: RequestInfo): ActiveRequest {
  return { req, running: new Map(), failedOn: [], reached: false };
}

/** Sends what waits and may go, in order; refuses what is too late or has no server left. */
function release(state: DispatcherState, now: Instant): Dispatch[] {
  if (state.pool.live.length === 0) {
    return state.queue.clear().map(({ req }) => refuseQueued(state, req, now));
  }
  const verdicts: Dispatch[] = [];
  for (
    let entry = state.queue.peek();
    entry !== undefined;
    entry = state.queue.peek()
  ) {
    const backend = chooseBackend(state, entry.avoid, now);
    if (backend === undefined) {
      break;
    }
    state.queue.remove(entry.req.id);
    verdicts.push(send(state, entry.req, backend, now));
  }
  return verdicts;
}

/** Refuses a request that waited; one whose earlier try may have run is not claimed as not run. */
function refuseQueued(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch {
  const reached = state.active.get(req.id)?.reached === true;
  forgetIdle(state, req.id);
  if (reached) {
    return failedAfterTries(req, 'no try succeeded before the deadline');
  }
  return req.deadline <= now ? deadlineUnmet(req, 0) : noBackend(state, req);
}

function failedAfterTries(req: RequestInfo, message: string): Dispatch {
  const error = appError('backend_failed', message);
  return { kind: 'refused', id: req.id, error };
}

function forgetIdle(state: DispatcherState, id: number): void {
  if (state.active.get(id)?.running.size === 0) {
    state.active.delete(id);
  }
}

function finish(
  state: DispatcherState,
  id: number,
  address: string,
  result: TryResult,
  now: Instant,
): Dispatch[] {
  const active = state.active.get(id);
  const startedAt = active?.running.get(address);
  if (active === undefined || startedAt === undefined) {
    return [];
  }
  active.running.delete(address);
  active.reached ||= result.kind !== 'not_sent';
  if (isFailure(result)) {
    active.failedOn.push(address);
  } else {
    forgetIdle(state, id);
  }
  freeSlot(state, address, result, startedAt, now);
  return release(state, now);
}

function freeSlot(
  state: DispatcherState,
  address: string,
  result: TryResult,
  startedAt: Instant,
  now: Instant,
): void {
  const backend = state.pool.all.get(address);
  if (backend === undefined) {
    return;
  }
  backend.inFlight -= 1;
  recordResult(state.pool, backend, result, startedAt, now, state.tunables);
  if (backend.inFlight === 0 && !state.pool.live.includes(backend)) {
    state.pool.all.delete(address);
  }
}

function retry(
  state: DispatcherState,
  req: RequestInfo,
  result: TryResult,
  now: Instant,
): Dispatch[] {
  const active = state.active.get(req.id) ?? newActive(req);
  active.reached ||= result.kind !== 'not_sent';
  const safe = req.idempotent || !active.reached;
  if (!safe || active.running.size > 0 || !state.retryBudget.take()) {
    return [refuseRetry(state, active)];
  }
  const verdict = admit(state, { req, avoid: active.failedOn }, now);
  if (verdict.kind !== 'refused') {
    state.active.set(req.id, active);
    return [verdict];
  }
  state.retryBudget.giveBack();
  state.active.delete(req.id);
  return [active.reached ? failedAfterTries(req, 'the try failed') : verdict];
}

function refuseRetry(state: DispatcherState, active: ActiveRequest): Dispatch {
  const { req } = active;
  forgetIdle(state, req.id);
  if (active.reached) {
    return failedAfterTries(req, 'the try failed and may not be repeated');
  }
  return noBackend(state, req);
}

function hedge(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch | undefined {
  const active = state.active.get(req.id);
  if (!req.idempotent || active?.running.size !== 1 || req.deadline <= now) {
    return undefined;
  }
  const avoid = [...active.running.keys(), ...active.failedOn];
  const backend = chooseBackend(state, avoid, now);
  if (backend === undefined || avoid.includes(backend.address)) {
    return undefined;
  }
  if (!state.hedgeBudget.take()) {
    return undefined;
  }
  return send(state, req, backend, now);
}

function tick(state: DispatcherState, now: Instant): Dispatch[] {
  const expired = state.queue
    .expire(now)
    .map(({ req }) => refuseQueued(state, req, now));
  forgetExpired(state, now);
  return [...expired, ...release(state, now)];
}

/** Forgets failed requests whose retry was never asked for. */
function forgetExpired(state: DispatcherState, now: Instant): void {
  for (const { req } of state.active.values()) {
    if (req.deadline <= now && !state.queue.has(req.id)) {
      forgetIdle(state, req.id);
    }
  }
}

function loads(state: DispatcherState): ReturnType<Dispatcher['loads']> {
  return [...state.pool.all.values()].map(backend => ({
    backend: backend.address,
    inFlight: backend.inFlight,
    queued: 0,
    latencyUs: Math.round((backend.latencyMs ?? state.pool.latencyMs) * 1_000),
  }));
}
