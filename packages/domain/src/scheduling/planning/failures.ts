/** Judging of failures: workers that fail unrelated jobs, and jobs that fail on healthy workers. */
import type { Millis } from '../../core/time.js';
import type { Job } from '../job.js';
import { decision } from '../records.js';
import type { WorkerLoad } from '../worker.js';

import { decide, type Round } from './round.js';

/** Jobs that a worker must fail, without a success between, to be quarantined. */
const JOBS_FOR_QUARANTINE = 3;
/** Workers on which a job must fail, without a success between, to be held. */
const WORKERS_FOR_HOLD = 3;
/** Part of a shard's workers that may be in quarantine at a time. */
const QUARANTINED_SHARE = 1 / 3;
const QUARANTINE_MS: Millis = 60_000;
const QUARANTINE_MAX_MS: Millis = 3_600_000;

/** Quarantines failing workers, releases those whose probe passed, and holds failing jobs. */
export function judgeFailures(round: Round): void {
  const workers = [...round.schedule.workers.values()];
  for (const load of workers) {
    judgeWorker(round, load);
  }
  for (const job of round.schedule.planning.suspects) {
    judgeJob(round, job);
  }
}

function judgeWorker(round: Round, load: WorkerLoad): void {
  if (load.quarantinedUntilWall !== undefined) {
    judgeProbe(round, load);
    return;
  }
  const jobs = unrelatedFailures(round, load);
  if (jobs >= JOBS_FOR_QUARANTINE && mayQuarantine(round)) {
    quarantine(round, load, `Tasks of ${jobs} jobs failed on it.`);
  }
}

/** Counts the jobs that failed on the worker and do not fail everywhere. */
function unrelatedFailures(round: Round, load: WorkerLoad): number {
  if (load.failures.length < JOBS_FOR_QUARANTINE) {
    return 0;
  }
  const jobs = new Set(load.failures.map(failure => failure.job));
  const unrelated = [...jobs].filter(name => {
    const failedOn = round.schedule.jobs.get(name)?.failedOn.size ?? 1;
    return failedOn < WORKERS_FOR_HOLD;
  });
  return unrelated.length;
}

function mayQuarantine(round: Round): boolean {
  let quarantined = 1;
  for (const load of round.schedule.workers.values()) {
    quarantined += load.quarantinedUntilWall === undefined ? 0 : 1;
  }
  return quarantined <= Math.max(1, round.rooms.size * QUARANTINED_SHARE);
}

function judgeProbe(round: Round, load: WorkerLoad): void {
  switch (load.probe) {
    case 'none':
      return;
    case 'passed':
      decide(
        round,
        decision('worker_released', {
          shard: round.view.shard,
          epoch: round.view.epoch,
          worker: load.id,
          round: load.quarantines,
        }),
      );
      return;
    case 'failed':
      quarantine(round, load, 'A task failed that probed it.');
      return;
  }
}

function quarantine(round: Round, load: WorkerLoad, reason: string): void {
  const span = Math.min(
    QUARANTINE_MAX_MS,
    QUARANTINE_MS * 2 ** load.quarantines,
  );
  decide(
    round,
    decision('worker_quarantined', {
      shard: round.view.shard,
      epoch: round.view.epoch,
      worker: load.id,
      round: load.quarantines,
      reason,
      untilWall: round.now + span,
    }),
  );
  const room = round.rooms.get(load.id);
  if (room !== undefined) {
    room.open = false;
  }
}

function judgeJob(round: Round, job: Job): void {
  if (job.failedOn.size < WORKERS_FOR_HOLD || job.heldFor !== undefined) {
    return;
  }
  const healthy = [...job.failedOn].filter(worker => isHealthy(round, worker));
  if (healthy.length < WORKERS_FOR_HOLD) {
    return;
  }
  decide(
    round,
    decision('job_held', {
      shard: round.view.shard,
      epoch: round.view.epoch,
      job: job.spec.name,
      round: job.round,
      reason: `Its tasks failed on ${healthy.length} workers without a success.`,
    }),
  );
}

/** Tells whether a worker is not under suspicion itself. */
function isHealthy(round: Round, worker: string): boolean {
  const load = round.schedule.workers.get(worker);
  if (load === undefined) {
    return true;
  }
  const jobs = new Set(load.failures.map(failure => failure.job));
  return load.quarantinedUntilWall === undefined && jobs.size < 2;
}
