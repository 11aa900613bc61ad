/**
 * Order of jobs under overload, with wide and small jobs whose value is 0.3 of a mean job plus 0.7 by their
 * work. Ordered by latest possible start, each would start at the last moment and most would end late;
 * ordered by value per work alone, small jobs would starve wide ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { planStarts } from './plan.js';
import { createRunTimes } from './run-times.js';
import type { JobsState } from './jobs-state.js';
import {
  applyDecision,
  endRun,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';
import { valuePerWork } from './job-value.js';

function valuePerWorkOf(state: JobsState, job: string): number {
  const { occurrence } = taskOf(state, job, 0, 0).step;
  return valuePerWork(occurrence, 4_000, createRunTimes());
}

/** Returns the jobs whose tasks start first on a worker with capacity for `taskSlots` tasks. */
function firstStartedJobs(state: JobsState, taskSlots: number): string[] {
  const worker = testWorker('w');
  const capacity = { ...worker.info.capacity, cpuMilli: taskSlots * 1_000 };
  const info = { ...worker.info, capacity };
  const started: string[] = [];
  planStarts(planInput(state, [{ ...worker, info }]), decision => {
    applyDecision(state, decision);
    started.push(decision.task.step.occurrence.job.spec.id);
  });
  return started;
}

test('of jobs that have not started the newest goes first, whatever its size', () => {
  const wide = testJob('wide', [{ tasks: 8 }]);
  const small = testJob('small', [{ tasks: 2 }]);
  const arrivals = [
    [wide, small],
    [small, wide],
  ] as const;
  for (const [first, newest] of arrivals) {
    const { id } = newest;
    assert.deepEqual(firstStartedJobs(stateOf(first, newest), 2), [id, id]);
  }
});

test('of long-running jobs the oldest goes first', () => {
  const state = stateOf(
    testJob('wide', [{ tasks: 8, lasting: true }]),
    testJob('small', [{ tasks: 2, lasting: true }]),
  );
  assert.deepEqual(firstStartedJobs(state, 2), ['wide', 'wide']);
});

test('the last tasks of a wide job go before a small job that has not started', () => {
  const state = stateOf(
    testJob('small', [{ tasks: 2 }]),
    testJob('wide', [{ tasks: 8 }]),
  );
  for (let index = 0; index < 7; index += 1) {
    const run = startOn(state, taskOf(state, 'wide', 0, index), 'other');
    endRun(state, run, 'done');
  }
  assert.deepEqual(firstStartedJobs(state, 1), ['wide']);
});

test('the value of a job per outstanding work grows with each started task', () => {
  const state = stateOf(testJob('j', [{ tasks: 4 }]));
  const before = valuePerWorkOf(state, 'j');
  startOn(state, taskOf(state, 'j', 0, 0), 'w');
  assert.ok(valuePerWorkOf(state, 'j') > before);
});
