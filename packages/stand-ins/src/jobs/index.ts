export * from './fault-times.js';
export * from './gangs.js';
export * from './history-facts.js';
export * from './job-history.js';
export * from './memory-fleet.js';
export * from './memory-job-log.js';
export * from './memory-worker.js';
export * from './log-partition.js';
