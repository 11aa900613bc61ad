/** Access to the log: group commit, followers, snapshots and recovery. */
export * from './committer.js';
export * from './fold-follower.js';
export * from './follow-retained.js';
export * from './follow-snapshots.js';
export * from './follower.js';
export * from './recovery.js';
export * from './snapshot-writer.js';
export * from './snapshot-text.js';
export * from './timing.js';
