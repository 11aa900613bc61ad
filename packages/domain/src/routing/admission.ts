/** Early refusals: a request that cannot be answered in time is told so at once. */
import type { Instant, Millis } from '../core/time.js';
import { appError } from '../errors/app-error.js';
import type { Dispatch, RequestInfo } from './dispatcher.js';
import type { DispatcherState } from './dispatcher-state.js';

/** Shortest Retry-After that is told. */
const MIN_RETRY_AFTER_MS = 10;

/** Returns the time that the queue takes to drain by the learned response time, in milliseconds. */
export function expectedWaitMs(state: DispatcherState): Millis {
  const { pool, queue } = state;
  const running = [...pool.all.values()].reduce(
    (sum, backend) => sum + backend.inFlight,
    0,
  );
  return (queue.size() * pool.latencyMs) / Math.max(1, running);
}

/** Returns the refusal of a new request that would have to wait, or undefined when it may. */
export function refuseToQueue(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch | undefined {
  const waitMs = expectedWaitMs(state);
  const { maxQueue } = state.options.service.route;
  if (state.queue.size() >= maxQueue) {
    return refusal(req, 'overloaded', 'the queue is full', waitMs);
  }
  const availableMs = req.deadline - now - state.pool.latencyMs;
  const allowedMs = availableMs * state.tunables.maxWaitShare;
  if (waitMs > allowedMs) {
    return deadlineUnmet(req, waitMs - allowedMs);
  }
  return undefined;
}

/** Refuses a request whose deadline cannot be met. */
export function deadlineUnmet(
  req: RequestInfo,
  retryAfterMs: Millis,
): Dispatch {
  return refusal(
    req,
    'deadline_unmet',
    'the deadline cannot be met',
    retryAfterMs,
  );
}

/** Refuses a request for which no server is known. */
export function noBackend(state: DispatcherState, req: RequestInfo): Dispatch {
  const { defaultRetryAfterMs } = state.tunables;
  return refusal(req, 'no_backend', 'no live server', defaultRetryAfterMs);
}

function refusal(
  req: RequestInfo,
  kind: 'overloaded' | 'deadline_unmet' | 'no_backend',
  message: string,
  retryAfterMs: Millis,
): Dispatch {
  const details = {
    retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)),
  };
  return {
    kind: 'refused',
    id: req.id,
    error: appError(kind, message, details),
  };
}
