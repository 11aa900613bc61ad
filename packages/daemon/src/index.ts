/** The daemon's parts. */
export * from './log/index.js';
export * from './parts.js';
