/** The scheduler of an entry host. */
export * from './scheduler.js';
export * from './types.js';
