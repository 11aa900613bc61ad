export * from './interference.js';
export * from './job.js';
export * from './jobs-state.js';
export * from './order.js';
export * from './plan.js';
export * from './records.js';
export * from './run-times.js';
export * from './spec.js';
