/** The log: group commit, followers and recovery. */
export * from './committer.js';
export * from './follower.js';
export * from './timing.js';
