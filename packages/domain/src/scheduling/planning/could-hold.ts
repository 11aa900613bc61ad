/** Whether workers could hold a job's tasks if they were otherwise empty. */
import {
  fits,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import { matches } from '../../declarations/selector.js';
import type { Job } from '../job.js';
import type { SiblingView } from '../view.js';

/** A worker as its shard tells others of it. */
export type Holder = SiblingView['workers'][number];

/** Tells whether any of the workers could hold one task of the job if it were otherwise empty. */
export function couldHold(workers: readonly Holder[], job: Job): boolean {
  const { size, workers: selector } = job.spec;
  return workers.some(
    worker => fits(size, roomOf(worker)) && matches(selector, worker.labels),
  );
}

/** Returns what a worker has for tasks. */
export function roomOf(worker: Holder): Resources {
  return subtractResources(worker.capacity, worker.reserved);
}
