/** Decisions on requests: choice of a backend server, admission, retries and ejection. */
export * from './create-dispatcher.js';
export * from './dispatcher.js';
export * from './idempotency-keys.js';
export * from './options.js';
