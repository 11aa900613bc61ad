/** Errors of the closed list on the Connect protocol. */
import { Code, ConnectError } from '@connectrpc/connect';
import {
  ERROR_RESPONSES,
  type AppError,
  type ConnectCode,
} from '@paddlewind/domain';
import {
  ERROR_KIND_HEADER,
  ERROR_PATH_HEADER,
  OUTCOME_HEADER,
  RETRY_AFTER_MS_HEADER,
} from '@paddlewind/protocol';
import type { Result } from 'true-myth';

const CODES: Readonly<Record<ConnectCode, Code>> = {
  canceled: Code.Canceled,
  unknown: Code.Unknown,
  invalid_argument: Code.InvalidArgument,
  deadline_exceeded: Code.DeadlineExceeded,
  not_found: Code.NotFound,
  resource_exhausted: Code.ResourceExhausted,
  failed_precondition: Code.FailedPrecondition,
  aborted: Code.Aborted,
  out_of_range: Code.OutOfRange,
  unimplemented: Code.Unimplemented,
  internal: Code.Internal,
  unavailable: Code.Unavailable,
  unauthenticated: Code.Unauthenticated,
};

/** Builds the Connect error of `err`, with its kind and details as headers. */
export function toConnectError(err: AppError): ConnectError {
  const headers = new Headers({
    [ERROR_KIND_HEADER]: err.kind,
    [OUTCOME_HEADER]: err.outcome,
  });
  if (err.path !== undefined && isHeaderSafe(err.path)) {
    headers.set(ERROR_PATH_HEADER, err.path);
  }
  if (err.retryAfterMs !== undefined) {
    headers.set(RETRY_AFTER_MS_HEADER, String(Math.ceil(err.retryAfterMs)));
  }
  const code = CODES[ERROR_RESPONSES[err.kind].connectCode];
  return new ConnectError(err.message, code, headers);
}

/** Returns the value, or throws the Connect error, as handlers of connect-es do. */
export function unwrap<T>(result: Result<T, AppError>): T {
  if (result.isErr) {
    throw toConnectError(result.error);
  }
  return result.value;
}

function isHeaderSafe(text: string): boolean {
  return /^[\x20-\x7e]*$/.test(text);
}
