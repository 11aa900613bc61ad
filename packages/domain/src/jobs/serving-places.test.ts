/**
 * Guards against mixing serving tasks of different jobs on a worker. They use nine tenths of a fleet's
 * processors, and the load of a job rises and falls in all of its tasks together, independently of other
 * jobs. Best-effort fillers have to suit the highest load on their worker, and with four jobs on a worker one
 * of them is nearly always high.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobsState } from './jobs-state.js';
import { planStarts } from './plan.js';
import {
  applyDecision,
  planInput,
  stateOf,
  testJob,
  testWorker,
} from './test-support.js';

const WORKERS = 8;
const TASKS_PER_JOB = 4;

/** Plans a round; returns the jobs with serving tasks on each worker. */
function placeAll(state: JobsState): Set<string>[] {
  const workers = Array.from({ length: WORKERS }, (_, at) =>
    testWorker(`w${at}`),
  );
  planStarts(planInput(state, workers), decision => {
    applyDecision(state, decision);
  });
  return workers.map(({ info }) => {
    const runs = state.workers.get(info.id)?.runs.values() ?? [];
    return new Set(
      [...runs].map(({ task }) => task.step.occurrence.job.spec.id),
    );
  });
}

function servingJobs(image: (at: number) => string): JobsState {
  const size = { cpuMilli: 1_000, memoryMiB: 100, accelerators: 0 };
  const jobs = Array.from({ length: WORKERS }, (_, at) =>
    testJob(`j${at}`, [
      {
        tasks: TASKS_PER_JOB,
        size,
        lasting: true,
        tailTargetMs: 50,
        image: image(at),
      },
    ]),
  );
  return stateOf(...jobs);
}

test('a worker serves one job if each job fits on a worker', () => {
  const jobs = placeAll(servingJobs(() => 's'));
  assert.deepEqual(
    jobs.map(({ size }) => size),
    Array.from({ length: WORKERS }, () => 1),
  );
});

test('a worker serves one job of one image if each image fills whole workers', () => {
  const jobs = placeAll(servingJobs(at => `s${at % 2}`));
  assert.ok(jobs.every(({ size }) => size === 1));
});
