/** Error kinds and the response to each of them. */

/** All kinds of errors that the system reports. */
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

/** Whether the request took effect; `not_run` is reported only when this is certain. */
export type Outcome = 'run' | 'not_run' | 'unknown';

/** Code names of the Connect protocol. */
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

/** Response to an error kind over HTTP, over Connect and as an exit code of the command line. */
export interface ErrorResponse {
  readonly httpStatus: number;
  readonly connectCode: ConnectCode;
  readonly exitCode: number;
  readonly outcome: Outcome;
  /** Whether the same call may succeed later unchanged. */
  readonly retryable: boolean;
}

function response(
  httpStatus: number,
  connectCode: ConnectCode,
  exitCode: number,
  outcome: Outcome,
  retryable: boolean,
): ErrorResponse {
  return { httpStatus, connectCode, exitCode, outcome, retryable };
}

/** Response to each error kind. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  invalid: response(400, 'invalid_argument', 2, 'not_run', false),
  unauthenticated: response(401, 'unauthenticated', 3, 'not_run', false),
  not_found: response(404, 'not_found', 4, 'not_run', false),
  conflict: response(409, 'aborted', 5, 'not_run', false),
  too_large: response(413, 'out_of_range', 2, 'not_run', false),
  header_too_large: response(431, 'out_of_range', 2, 'not_run', false),
  unschedulable: response(422, 'failed_precondition', 6, 'not_run', false),
  quota_exceeded: response(429, 'resource_exhausted', 7, 'not_run', true),
  overloaded: response(503, 'resource_exhausted', 8, 'not_run', true),
  deadline_unmet: response(503, 'resource_exhausted', 8, 'not_run', true),
  no_backend: response(503, 'unavailable', 8, 'not_run', true),
  not_ready: response(503, 'unavailable', 8, 'not_run', true),
  not_owner: response(503, 'unavailable', 8, 'not_run', true),
  log_unavailable: response(503, 'unavailable', 8, 'not_run', true),
  log_trimmed: response(503, 'out_of_range', 8, 'not_run', true),
  unsupported_record: response(501, 'unimplemented', 9, 'not_run', false),
  duplicate_request: response(409, 'aborted', 5, 'unknown', false),
  backend_failed: response(502, 'unknown', 10, 'unknown', false),
  timeout: response(504, 'deadline_exceeded', 10, 'unknown', false),
  canceled: response(499, 'canceled', 10, 'unknown', false),
  internal: response(500, 'internal', 1, 'unknown', false),
};
