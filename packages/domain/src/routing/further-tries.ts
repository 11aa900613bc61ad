/** Retries and hedges: further tries of a request, where safe and under budget. */
import type { Instant } from '../core/time.js';
import { refuseNoBackend, refuseOverloaded } from './admission.js';
import { chooseBackend } from './choose.js';
import type { Dispatch, RequestInfo, TryResult } from './dispatcher.js';
import {
  type ActiveRequest,
  type DispatcherState,
  forgetIdle,
} from './dispatcher-state.js';
import { failed, newActive, send } from './sending.js';

/** Sends, queues or refuses a request again after a failed try. */
export function retry(
  state: DispatcherState,
  req: RequestInfo,
  result: TryResult,
  now: Instant,
): Dispatch {
  const active = state.active.get(req.id) ?? forgotten(req);
  active.reached ||= result.kind !== 'not_sent';
  if (!mayRetry(state, active, now)) {
    return refuseRetry(state, active, now);
  }
  state.active.set(req.id, active);
  const backend = chooseBackend(state, active.failedOn, now);
  if (backend !== undefined) {
    return send(state, req, backend, now);
  }
  state.queue.pushFirst({ req, avoid: active.failedOn });
  return { kind: 'queued', id: req.id };
}

/** A request that is no longer known: whether a try reached a server cannot be told. */
function forgotten(req: RequestInfo): ActiveRequest {
  return { ...newActive(req), reached: true };
}

function mayRetry(
  state: DispatcherState,
  active: ActiveRequest,
  now: Instant,
): boolean {
  const { req, reached, running, failedOn } = active;
  const { queue, pool, options } = state;
  return (
    (req.idempotent || !reached) &&
    running.size === 0 &&
    failedOn.length < state.tunables.maxTries &&
    req.deadline > now &&
    pool.live.length > 0 &&
    queue.size() < options.service.route.maxQueue &&
    state.retryBudget.take()
  );
}

function refuseRetry(
  state: DispatcherState,
  active: ActiveRequest,
  now: Instant,
): Dispatch {
  const { req, reached } = active;
  forgetIdle(state, req.id);
  if (reached) {
    return failed(req, 'the try failed and is not repeated');
  }
  return state.pool.live.length === 0
    ? refuseNoBackend(state, req)
    : refuseOverloaded(state, req, 'no retry is left', now);
}

/** Sends a second copy of a running idempotent request, or returns undefined. */
export function hedge(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch | undefined {
  const active = state.active.get(req.id);
  const isSafe = req.idempotent && req.deadline > now;
  if (!isSafe || active?.running.size !== 1 || state.queue.size() > 0) {
    return undefined;
  }
  const avoid = [...active.running, ...active.failedOn];
  const backend = chooseBackend(state, avoid, now);
  if (backend === undefined || avoid.includes(backend.address)) {
    return undefined;
  }
  return state.hedgeBudget.take() ? send(state, req, backend, now) : undefined;
}
