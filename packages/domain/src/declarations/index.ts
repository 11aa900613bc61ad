/** Declarations of operators and their selectors. */
export * from './parse.js';
export * from './schemas.js';
export * from './selector.js';
