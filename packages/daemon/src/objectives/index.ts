/** Measures service-level objectives and reports how fast their error budgets burn. */
export * from './collect.js';
export * from './objectives.js';
