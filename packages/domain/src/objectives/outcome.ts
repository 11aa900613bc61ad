/** What the end of a request means for a service-level objective. */
import type { Millis } from '../core/time.js';
import type { ErrorKind } from '../errors/kinds.js';

/** How a request ended for its caller. */
export type RequestEnd =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'refused'; readonly error: ErrorKind }
  | { readonly kind: 'broken_off' }
  | { readonly kind: 'canceled' };

/** A request that counts is good, failed or slow. */
export type RequestOutcome = 'good' | 'failed' | 'slow';

/** Refusals for which the caller is to blame. */
const CALLERS_FAULT: ReadonlySet<ErrorKind> = new Set([
  'invalid',
  'unauthenticated',
  'not_found',
  'too_large',
  'header_too_large',
  'duplicate_request',
]);

const FIRST_SERVER_ERROR = 500;

/** Classifies a request; undefined when it does not count, as when its caller gave up before it was slow. */
export function outcomeOf(
  end: RequestEnd,
  durationMs: Millis,
  limitMs: Millis,
): RequestOutcome | undefined {
  const inTime = durationMs <= limitMs;
  switch (end.kind) {
    case 'answered':
      if (end.status >= FIRST_SERVER_ERROR) {
        return 'failed';
      }
      return inTime ? 'good' : 'slow';
    case 'refused':
      return CALLERS_FAULT.has(end.error) ? undefined : 'failed';
    case 'broken_off':
      return 'failed';
    case 'canceled':
      return inTime ? undefined : 'slow';
  }
}
