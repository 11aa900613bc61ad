/** Validates, compares and folds the configuration. */
export * from './change-set.js';
export * from './diff.js';
export * from './fold.js';
export * from './ledger.js';
export * from './rules.js';
export * from './state.js';
export * from './validate.js';
