/** Streams of the log: record envelope and folds. */
export * from './record.js';
