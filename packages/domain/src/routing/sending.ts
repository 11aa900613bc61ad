/** The way of a request: admitted, queued, sent, and its slot freed. */
import type { Instant } from '../core/time.js';
import { appError } from '../errors/app-error.js';
import {
  hopeless,
  refuseDeadline,
  refuseNoBackend,
  refuseToQueue,
} from './admission.js';
import { type Backend, dropUnused } from './backend-pool.js';
import { chooseBackend } from './choose.js';
import type { Dispatch, RequestInfo, TryResult } from './dispatcher.js';
import {
  type ActiveRequest,
  type DispatcherState,
  forgetIdle,
} from './dispatcher-state.js';
import { isFailure, recordFailure, recordSuccess } from './ejection.js';
import { learnLatency } from './latency-model.js';

/** Sends, queues or refuses a new request. */
export function admit(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch {
  if (state.pool.live.length === 0) {
    return refuseNoBackend(state, req);
  }
  if (req.deadline <= now) {
    return refuseDeadline(req, 0);
  }
  const backend =
    state.queue.size() === 0 ? chooseBackend(state, [], now) : undefined;
  if (backend !== undefined) {
    return send(state, req, backend, now);
  }
  const refused = refuseToQueue(state, req, now);
  if (refused !== undefined) {
    return refused;
  }
  state.queue.push({ req, avoid: [] });
  return { kind: 'queued', id: req.id };
}

/** Sends a try of a request to a server. */
export function send(
  state: DispatcherState,
  req: RequestInfo,
  backend: Backend,
  now: Instant,
): Dispatch {
  const active = state.active.get(req.id) ?? newActive(req);
  active.running.add(backend.address);
  state.active.set(req.id, active);
  backend.running.set(req.id, now);
  state.running += 1;
  return { kind: 'send', id: req.id, backend: backend.address };
}

/** A request of which no try has run. */
export function newActive(req: RequestInfo): ActiveRequest {
  return { req, running: new Set(), failedOn: [], reached: false };
}

/** Sends what waits and may go, in order; refuses what is too late or has no server left. */
export function release(state: DispatcherState, now: Instant): Dispatch[] {
  const { queue, pool } = state;
  if (pool.live.length === 0) {
    return queue
      .clear()
      .map(({ req }) => refuseQueued(state, req, refuseNoBackend(state, req)));
  }
  const verdicts: Dispatch[] = [];
  for (let next = queue.peek(); next !== undefined; next = queue.peek()) {
    const verdict = releaseOne(state, next.req, next.avoid, now);
    if (verdict === undefined) {
      break;
    }
    queue.remove(next.req.id);
    verdicts.push(verdict);
  }
  return verdicts;
}

function releaseOne(
  state: DispatcherState,
  req: RequestInfo,
  avoid: readonly string[],
  now: Instant,
): Dispatch | undefined {
  if (req.deadline <= now) {
    return refuseQueued(state, req, refuseDeadline(req, 0));
  }
  const backend = chooseBackend(state, avoid, now);
  return backend && send(state, req, backend, now);
}

/** Refuses every queued request that will not reach a server before its deadline. */
export function refuseHopeless(
  state: DispatcherState,
  now: Instant,
): Dispatch[] {
  return hopeless(state, now).map(({ req, waitMs }) => {
    state.queue.remove(req.id);
    return refuseQueued(state, req, refuseDeadline(req, waitMs));
  });
}

/** Refuses a request that waited; one whose earlier try may have run is not claimed as not run. */
function refuseQueued(
  state: DispatcherState,
  req: RequestInfo,
  refusal: Dispatch,
): Dispatch {
  const reached = state.active.get(req.id)?.reached === true;
  forgetIdle(state, req.id);
  return reached ? failed(req, 'no further try could be made') : refusal;
}

/** The final verdict on a request of which some try may have run. */
export function failed(req: RequestInfo, message: string): Dispatch {
  const error = appError('backend_failed', message);
  return { kind: 'refused', id: req.id, error };
}

/** Takes the end of a try; one that is not running is ignored. */
export function endTry(
  state: DispatcherState,
  id: number,
  address: string,
  result: TryResult,
  now: Instant,
): void {
  const active = state.active.get(id);
  if (active?.running.delete(address) !== true) {
    return;
  }
  active.reached ||= result.kind !== 'not_sent';
  if (isFailure(result)) {
    active.failedOn.push(address);
  } else {
    forgetIdle(state, id);
  }
  state.running -= 1;
  state.throughput.record(now, state.pool.latency.meanMs);
  const backend = state.pool.all.get(address);
  if (backend !== undefined) {
    learn(state, backend, id, result, now);
  }
}

function learn(
  state: DispatcherState,
  backend: Backend,
  id: number,
  result: TryResult,
  now: Instant,
): void {
  const { pool, tunables } = state;
  const tookMs = now - (backend.running.get(id) ?? now);
  backend.running.delete(id);
  if (isFailure(result)) {
    recordFailure(pool, backend, tookMs, now, tunables);
  } else if (result.kind === 'answered') {
    recordSuccess(backend);
    learnLatency(pool.latency, backend.slowness, tookMs, now);
  }
  if (backend.info.state !== 'live') {
    dropUnused(pool);
  }
}
