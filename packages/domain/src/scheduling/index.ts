/** Decisions on tasks: placement, quotas, preemption and their records. */
export * from './add-shards.js';
export * from './describe.js';
export * from './fold.js';
export * from './ids.js';
export * from './job.js';
export { withinEvictionBudget } from './planning/evict.js';
export { observeWorker, type SeenAttempt } from './planning/learn.js';
export * from './planning/plan.js';
export * from './records.js';
export * from './shard.js';
export * from './snapshot.js';
export * from './state.js';
export * from './task.js';
export * from './verdict.js';
export * from './view.js';
export * from './worker.js';
