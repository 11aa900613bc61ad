/** Classifies requests for service-level objectives. */
import type { Millis } from '../core/time.js';
import type { ErrorKind } from '../errors/kinds.js';

/** How a request ended, as seen by its caller. */
export type RequestEnd =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'refused'; readonly error: ErrorKind }
  | { readonly kind: 'broken_off' }
  | { readonly kind: 'canceled' };

/** Outcome of a request that counts towards the objective. */
export type RequestOutcome = 'good' | 'failed' | 'slow';

/** Errors caused by the caller, which do not count towards the objective. */
const CALLER_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'invalid',
  'unauthenticated',
  'not_found',
  'too_large',
  'header_too_large',
  'duplicate_request',
]);

const FIRST_SERVER_ERROR = 500;

/** Returns the outcome of a request; undefined if it does not count, such as when its caller canceled it in time. */
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
      return CALLER_ERRORS.has(end.error) ? undefined : 'failed';
    case 'broken_off':
      return 'failed';
    case 'canceled':
      return inTime ? undefined : 'slow';
  }
}
