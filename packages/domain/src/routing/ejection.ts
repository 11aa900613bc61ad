/** Ejection of failing servers: longer with each failure, never more than a share of them, slow to return. */
import type { Instant, Millis } from '../core/time.js';
import type { Backend, BackendPool } from './backend-pool.js';
import type { TryResult } from './dispatcher.js';
import type { Tunables } from './options.js';

/** Failures in a row beyond which the ejection grows no more. */
const MAX_FAILURE_SCORE = 12;

/** Status of a server that does not know the method, which says nothing against it. */
const NOT_IMPLEMENTED = 501;

/** Tells whether a result speaks against the server that gave it. */
export function isFailure(result: TryResult): boolean {
  switch (result.kind) {
    case 'answered':
      return result.status >= 500 && result.status !== NOT_IMPLEMENTED;
    case 'not_sent':
    case 'broken':
    case 'timeout':
      return true;
    case 'canceled':
      return false;
  }
}

/** Tells whether the server is ejected at `now`. */
export function isEjected(backend: Backend, now: Instant): boolean {
  return now < backend.ejectedUntil;
}

/** Tries that may run on the server now; one at a time while it returns from an ejection. */
export function allowedTries(backend: Backend): number {
  const isReturning = backend.failureScore > 0;
  return Math.min(backend.connectionLimit, isReturning ? 1 : Infinity);
}

/** Counts a good answer. */
export function recordSuccess(backend: Backend): void {
  backend.failureScore = Math.floor(backend.failureScore / 2);
}

/** Counts a failure that took `tookMs`, and ejects the server for at least as long. */
export function recordFailure(
  pool: BackendPool,
  backend: Backend,
  tookMs: Millis,
  now: Instant,
  tunables: Tunables,
): void {
  if (isEjected(backend, now)) {
    return;
  }
  backend.failureScore = Math.min(MAX_FAILURE_SCORE, backend.failureScore + 1);
  if (mayEject(pool, now, tunables)) {
    const firstMs = Math.max(pool.latency.meanMs, tookMs);
    const ejectionMs = firstMs * 2 ** (backend.failureScore - 1);
    backend.ejectedUntil = now + Math.min(ejectionMs, tunables.maxEjectionMs);
  }
}

/** One of several servers may always be ejected, more only up to the share. */
function mayEject(
  pool: BackendPool,
  now: Instant,
  tunables: Tunables,
): boolean {
  const servers = pool.live.length;
  const ejected = pool.live.filter(other => isEjected(other, now)).length;
  const most = Math.max(
    Math.min(1, servers - 1),
    Math.floor(servers * tunables.maxEjectedShare),
  );
  return ejected < most;
}

/** Ends all ejections when a new list of servers leaves only ejected ones. */
export function endEjectionsOfAll(pool: BackendPool, now: Instant): void {
  if (pool.live.every(backend => isEjected(backend, now))) {
    for (const backend of pool.live) {
      backend.ejectedUntil = now;
    }
  }
}
