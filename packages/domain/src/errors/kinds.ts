/** The closed list of error kinds and the one table from kind to answer. */

/** Every kind of error that the system reports. */
export const ERROR_KINDS = [
  'invalid',
  'unauthenticated',
  'not_found',
  'conflict',
  'too_large',
  'header_too_large',
  'unschedulable',
  'quota_exceeded',
  'overloaded',
  'deadline_unmet',
  'no_backend',
  'not_ready',
  'not_owner',
  'log_unavailable',
  'log_trimmed',
  'unsupported_record',
  'duplicate_request',
  'backend_failed',
  'timeout',
  'canceled',
  'internal',
] as const;

/** A kind of error. */
export type ErrorKind = (typeof ERROR_KINDS)[number];

/** What is known of the effect: `not_run` is claimed only when certain. */
export type Outcome = 'run' | 'not_run' | 'unknown';

/** Connect code names, as in the Connect protocol. */
export type ConnectCode =
  | 'canceled'
  | 'unknown'
  | 'invalid_argument'
  | 'deadline_exceeded'
  | 'not_found'
  | 'resource_exhausted'
  | 'failed_precondition'
  | 'aborted'
  | 'out_of_range'
  | 'unimplemented'
  | 'internal'
  | 'unavailable'
  | 'unauthenticated';

/** How one kind of error is answered on each surface. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  readonly connectCode: ConnectCode;
  readonly exitCode: number;
  readonly outcome: Outcome;
  /** Whether the same call may succeed later without a change. */
  readonly retryable: boolean;
}

function answer(
  httpStatus: number,
  connectCode: ConnectCode,
  exitCode: number,
  outcome: Outcome,
  retryable: boolean,
): ErrorAnswer {
  return { httpStatus, connectCode, exitCode, outcome, retryable };
}

/** The table from kind to answer. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  invalid: answer(400, 'invalid_argument', 2, 'not_run', false),
  unauthenticated: answer(401, 'unauthenticated', 3, 'not_run', false),
  not_found: answer(404, 'not_found', 4, 'not_run', false),
  conflict: answer(409, 'aborted', 5, 'not_run', false),
  too_large: answer(413, 'out_of_range', 2, 'not_run', false),
  header_too_large: answer(431, 'out_of_range', 2, 'not_run', false),
  unschedulable: answer(422, 'failed_precondition', 6, 'not_run', false),
  quota_exceeded: answer(429, 'resource_exhausted', 7, 'not_run', true),
  overloaded: answer(503, 'resource_exhausted', 8, 'not_run', true),
  deadline_unmet: answer(503, 'resource_exhausted', 8, 'not_run', true),
  no_backend: answer(503, 'unavailable', 8, 'not_run', true),
  not_ready: answer(503, 'unavailable', 8, 'not_run', true),
  not_owner: answer(503, 'unavailable', 8, 'not_run', true),
  log_unavailable: answer(503, 'unavailable', 8, 'not_run', true),
  log_trimmed: answer(503, 'out_of_range', 8, 'not_run', true),
  unsupported_record: answer(501, 'unimplemented', 9, 'not_run', false),
  duplicate_request: answer(409, 'aborted', 5, 'unknown', false),
  backend_failed: answer(502, 'unknown', 10, 'unknown', false),
  timeout: answer(504, 'deadline_exceeded', 10, 'unknown', false),
  canceled: answer(499, 'canceled', 10, 'unknown', false),
  internal: answer(500, 'internal', 1, 'unknown', false),
};
