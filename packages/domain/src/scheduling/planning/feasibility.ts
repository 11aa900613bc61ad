/** Whether any worker could ever hold a job's tasks, and where else they might go. */
import { NO_RESOURCES, maxResources } from '../../core/resources.js';
import { matches } from '../../declarations/selector.js';
import type { Job } from '../job.js';
import { decision } from '../records.js';
import type { SchedulableWorker } from '../view.js';

import { couldHold, roomOf, type Holder } from './could-hold.js';
import type { QueuedJob } from './memory.js';
import { moveJob } from './moves.js';
import { decide, type Round } from './round.js';

/**
 * Tells whether some worker of the shard could hold the job's tasks. A job that none could is
 * moved to a shard that can, or answered `unschedulable`; either way it blocks nobody.
 */
export function checkFeasible(round: Round, entry: QueuedJob): boolean {
  const memory = round.schedule.planning;
  if (entry.feasibleAt === memory.fleetVersion) {
    return true;
  }
  const staying = round.view.workers.filter(isStaying);
  if (couldHold(staying, entry.job)) {
    entry.feasibleAt = memory.fleetVersion;
    return true;
  }
  const sibling = round.view.siblings.find(other =>
    couldHold(other.workers, entry.job),
  );
  if (sibling !== undefined) {
    moveJob(round, entry, sibling.shard);
    return false;
  }
  refuse(round, entry.job, reasonAgainst(round, entry.job));
  round.hopeless.push(entry.job);
  return false;
}

function isStaying(worker: SchedulableWorker): boolean {
  return worker.availability !== 'leaving';
}

function refuse(round: Round, job: Job, reason: string): void {
  if (job.unschedulableFor !== undefined) {
    return;
  }
  decide(
    round,
    decision('job_unschedulable', {
      shard: round.view.shard,
      epoch: round.view.epoch,
      job: job.spec.name,
      round: job.round,
      reason,
    }),
  );
}

function reasonAgainst(round: Round, job: Job): string {
  const { size, workers: selector } = job.spec;
  const all: Holder[] = [
    ...round.view.workers,
    ...round.view.siblings.flatMap(sibling => sibling.workers),
  ];
  const matching = all.filter(worker => matches(selector, worker.labels));
  if (matching.length === 0) {
    return 'No worker matches its selector.';
  }
  const largest = matching.map(roomOf).reduce(maxResources, NO_RESOURCES);
  const lacks = [
    lack('cores', size.cpu, largest.cpu),
    lack('MiB of memory', size.memoryMiB, largest.memoryMiB),
    lack('accelerators', size.accelerators, largest.accelerators),
  ].filter(text => text !== '');
  return lacks.length === 0
    ? 'No single worker has all it needs together.'
    : lacks.join(' ');
}

function lack(unit: string, needed: number, largest: number): string {
  return needed > largest
    ? `A task needs ${needed} ${unit}; the largest worker offers ${largest}.`
    : '';
}
