/** Declarations of operators and their selectors. */
export * from './schemas.js';
export * from './selector.js';
