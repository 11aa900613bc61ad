/** Streams of the log: record envelope and folds. */
export * from './dedupe.js';
export * from './record.js';
export * from './snapshot.js';
