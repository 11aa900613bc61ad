/**
 * Pattern: lasting tasks that serve hold nine tenths of a fleet's processors, and the load of each job
 * swings alike in all of its tasks and unlike that of other jobs. What fills beside them has to suit the
 * highest load on its worker: with tasks of four jobs on a worker one of them is nearly always high.
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
const TASKS = 4;

/** Plans until nothing starts any more; returns the jobs that serve at each worker. */
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
      { tasks: TASKS, size, lasting: true, tailTargetMs: 50, image: image(at) },
    ]),
  );
  return stateOf(...jobs);
}

test('a worker serves for one job where each job fits on a worker', () => {
  const jobs = placeAll(servingJobs(() => 's'));
  assert.deepEqual(
    jobs.map(({ size }) => size),
    Array.from({ length: WORKERS }, () => 1),
  );
});

test('a worker serves for one image where each image has whole workers', () => {
  const jobs = placeAll(servingJobs(at => `s${at % 2}`));
  assert.ok(jobs.every(({ size }) => size === 1));
});
