/** Service-level objectives: sliding windows, error budgets, burn rates and alerts. */
export * from './alerts.js';
export * from './burn.js';
export * from './ledger.js';
export * from './outcome.js';
export * from './window-counter.js';
