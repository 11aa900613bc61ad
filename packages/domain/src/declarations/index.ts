/** Operator declarations and their label selectors. */
export * from './parse.js';
export * from './schemas.js';
export * from './selector.js';
