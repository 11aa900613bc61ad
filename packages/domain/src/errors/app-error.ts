/** The one error value that parts pass to one another, in a true-myth `Result`. */
import { ERROR_ANSWERS, type ErrorKind, type Outcome } from './kinds.js';

/** An error of a known kind; `outcome` is the table's unless the raiser knows better. */
export interface AppError {
  readonly kind: ErrorKind;
  /** A short sentence for a person. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Where in the input it is, such as `services[0].slots`. */
  readonly path?: string;
  /** How long the caller should wait before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Details of an error beyond its kind and message. */
export type AppErrorDetails = Partial<
  Pick<AppError, 'outcome' | 'path' | 'retryAfterMs'>
>;

/** Builds an error of `kind`. */
export function appError(
  kind: ErrorKind,
  message: string,
  details: AppErrorDetails = {},
): AppError {
  return { kind, message, outcome: ERROR_ANSWERS[kind].outcome, ...details };
}
