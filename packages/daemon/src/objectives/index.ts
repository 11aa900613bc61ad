/** Measurement of service-level objectives and the report on burn. */
export * from './collect.js';
export * from './objectives.js';
