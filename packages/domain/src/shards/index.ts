/** Shard ownership through leases in the log. */
export * from './assignment.js';
export * from './decide.js';
export * from './leases.js';
export * from './records.js';
export * from './snapshot.js';
