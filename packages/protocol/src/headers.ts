/** Headers by which an error's kind and details travel beside the Connect code. */

/** Kind of the error, one of the closed list. */
export const ERROR_KIND_HEADER = 'paddlewind-error-kind';

/** What is known of the effect: `run`, `not_run` or `unknown`. */
export const OUTCOME_HEADER = 'paddlewind-outcome';

/** Place of the error in the input. */
export const ERROR_PATH_HEADER = 'paddlewind-error-path';

/** Milliseconds to wait before a retry. */
export const RETRY_AFTER_MS_HEADER = 'paddlewind-retry-after-ms';
