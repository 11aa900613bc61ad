/** The error value that components return in a true-myth `Result`. */
import { ERROR_RESPONSES, type ErrorKind, type Outcome } from './kinds.js';

/** Error of a known kind; `outcome` defaults to that of the kind unless the creator overrides it. */
export interface AppError {
  readonly kind: ErrorKind;
  /** Short, human-readable description. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Path in the input, such as `services[0].slots`. */
  readonly path?: string;
  /** Time that the caller should wait before a retry. */
  readonly retryAfterMs?: number;
}

/** Optional fields of an error. */
export type AppErrorDetails = Partial<
  Pick<AppError, 'outcome' | 'path' | 'retryAfterMs'>
>;

/** Creates an error of `kind`. */
export function appError(
  kind: ErrorKind,
  message: string,
  details: AppErrorDetails = {},
): AppError {
  return { kind, message, outcome: ERROR_RESPONSES[kind].outcome, ...details };
}
