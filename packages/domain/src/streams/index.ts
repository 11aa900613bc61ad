/** Streams of the log: record envelope, deduplication and snapshots. */
export * from './dedupe.js';
export * from './record.js';
export * from './snapshot.js';
