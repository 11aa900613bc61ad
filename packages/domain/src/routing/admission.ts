/** Early refusals: a request that cannot be answered in time is told so at once. */
import type { Instant, Millis } from '../core/time.js';
import { appError } from '../errors/app-error.js';
import type { Dispatch, RequestInfo } from './dispatcher.js';
import type { DispatcherState } from './dispatcher-state.js';

/** Wait that is allowed however short the objective is, in mean response times. */
const MIN_WAIT_MEANS = 2;

/** Shortest and longest Retry-After that is told. */
const MIN_RETRY_AFTER_MS = 10;
const MAX_RETRY_AFTER_MS = 30_000;

/** Returns how long a request waits that is number `ahead` in the queue; Infinity while nothing runs. */
export function expectedWaitMs(
  state: DispatcherState,
  ahead: number,
  now: Instant,
): Millis {
  const { pool, throughput } = state;
  const running = state.running;
  const byRunning = running / pool.latency.meanMs;
  const measured = throughput.perMs(now, pool.latency.meanMs);
  const perMs = measured > 0 ? measured : byRunning;
  return perMs > 0 ? ahead / perMs : Infinity;
}

/** Returns the refusal of a new request that would have to wait, or undefined when it may. */
export function refuseToQueue(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Dispatch | undefined {
  const { queue, options } = state;
  if (queue.size() >= options.service.route.maxQueue) {
    return refuseOverloaded(state, req, 'the queue is full', now);
  }
  const waitMs = expectedWaitMs(state, queue.size() + 1, now);
  return waitMs > allowedWaitMs(state, req, now)
    ? refuseDeadline(req, waitMs)
    : undefined;
}

/**
 * Time that a request may be expected to wait: as long as the objective's response time,
 * and no more than a share of what its deadline leaves beyond a response time.
 */
function allowedWaitMs(
  state: DispatcherState,
  req: RequestInfo,
  now: Instant,
): Millis {
  const { meanMs } = state.pool.latency;
  const spareMs = req.deadline - now - meanMs;
  const usefulMs = Math.max(
    state.options.service.objective.latencyMs,
    MIN_WAIT_MEANS * meanMs,
  );
  return Math.min(usefulMs, spareMs * state.tunables.maxWaitShare);
}

/** Returns the queued requests that will not reach a server before their deadline, with their wait. */
export function hopeless(
  state: DispatcherState,
  now: Instant,
): { req: RequestInfo; waitMs: Millis }[] {
  const found: { req: RequestInfo; waitMs: Millis }[] = [];
  let ahead = 1;
  for (const { req } of state.queue.values()) {
    const waitMs = expectedWaitMs(state, ahead, now);
    if (now + waitMs >= req.deadline) {
      found.push({ req, waitMs });
    } else {
      ahead += 1;
    }
  }
  return found;
}

/** Refuses a request for want of room; it may come back when the queue has drained. */
export function refuseOverloaded(
  state: DispatcherState,
  req: RequestInfo,
  message: string,
  now: Instant,
): Dispatch {
  const waitMs = expectedWaitMs(state, state.queue.size() + 1, now);
  return refuse(req, 'overloaded', message, waitMs);
}

/** Refuses a request whose deadline cannot be met. */
export function refuseDeadline(
  req: RequestInfo,
  retryAfterMs: Millis,
): Dispatch {
  const message = 'the deadline cannot be met';
  return refuse(req, 'deadline_unmet', message, retryAfterMs);
}

/** Refuses a request for which no server is known. */
export function refuseNoBackend(
  state: DispatcherState,
  req: RequestInfo,
): Dispatch {
  const { defaultRetryAfterMs } = state.tunables;
  return refuse(req, 'no_backend', 'no live server', defaultRetryAfterMs);
}

function refuse(
  req: RequestInfo,
  kind: 'overloaded' | 'deadline_unmet' | 'no_backend',
  message: string,
  retryAfterMs: Millis,
): Dispatch {
  const details = {
    retryAfterMs: Math.ceil(
      Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)),
    ),
  };
  return {
    kind: 'refused',
    id: req.id,
    error: appError(kind, message, details),
  };
}
