/** Limits interference between services and batch work. */
export * from './start-interference.js';
