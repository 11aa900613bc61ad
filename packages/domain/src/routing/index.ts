/** Decisions on requests: choice of a backend server, admission, retries and ejection. */
export * from './dispatcher.js';
