/** Ownership of shards by leases in the log. */
export * from './ownership.js';
export * from './types.js';
