import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRunTimeDistributions } from './run-time-distributions.js';
import { createRunTimes, type RunTimes } from './run-times.js';
import { isStraggler, planSpeculativeCopies } from './speculative-copies.js';
import type { Run } from './job.js';
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

const EXPECTED_MS = 1_000;
const SPECULATIVE_STEP = { speculative: true, estimateMs: EXPECTED_MS };

interface RunningTask {
  readonly state: JobsState;
  readonly run: Run;
}

/** Returns a task running on `w1` since time 0, last reported at 1 s. */
function runTask(step: object, percent: number): RunningTask {
  const state = stateOf(testJob('j', [step]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w1');
  assert.ok(run.progress);
  Object.assign(run.progress, { confirmed: true, percent, seenAt: 1_000 });
  return { state, run };
}

/** Plans a round at `now` and returns the workers of the copies. */
function planCopiesAt(
  state: JobsState,
  now: number,
  workers: string[],
  times: RunTimes = createRunTimes(),
): string[] {
  const input = {
    ...planInput(
      state,
      workers.map(id => testWorker(id)),
    ),
    times,
  };
  const copyWorkers: string[] = [];
  planSpeculativeCopies({ ...input, time: { now, nowWall: now } }, decision => {
    applyDecision(state, decision);
    copyWorkers.push(decision.worker);
  });
  return copyWorkers;
}

test('a stalled run gets one copy, on another worker', () => {
  const { state } = runTask(SPECULATIVE_STEP, 0);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w1', 'w2']), ['w2']);
  assert.deepEqual(planCopiesAt(state, 1_250, ['w1', 'w2', 'w3']), []);
});

test('a run at its usual speed gets no copy', () => {
  const { state } = runTask(SPECULATIVE_STEP, 90);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w1', 'w2']), []);
});

test('a run on a slow worker gets a copy', () => {
  const { state } = runTask(SPECULATIVE_STEP, 20);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w1', 'w2']), ['w2']);
});

test('a run on a worker that no longer reports gets a copy', () => {
  const { run } = runTask(SPECULATIVE_STEP, 90);
  assert.equal(isStraggler(run, EXPECTED_MS, 2_000), false);
  assert.equal(isStraggler(run, EXPECTED_MS, 2_700), true);
});

test('a step that does not allow copies gets none', () => {
  const { state } = runTask({ estimateMs: EXPECTED_MS }, 0);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w1', 'w2']), []);
});

test('copies count against the limit on each worker', () => {
  const { state } = runTask({ ...SPECULATIVE_STEP, maxPerWorker: 1 }, 0);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w1']), []);
});

test('the first run to complete counts, whatever happens to the other', () => {
  const { state, run } = runTask(SPECULATIVE_STEP, 0);
  planCopiesAt(state, 1_000, ['w2']);
  const { task } = run;
  const copy = task.runs.at(-1);
  assert.ok(copy !== undefined && copy !== run);
  endRun(state, copy, 'done');
  assert.equal(task.status, 'done');
  endRun(state, run, 'failed');
  assert.equal(task.status, 'done');
  assert.equal(state.jobs.get('j')?.failure, undefined);
});

test('a task keeps running when one of its copies fails', () => {
  const { state, run } = runTask(SPECULATIVE_STEP, 0);
  planCopiesAt(state, 1_000, ['w2']);
  endRun(state, run, 'failed');
  assert.equal(run.task.status, 'running');
});

/** Returns distributions that know a step's usual time from three of its tasks. */
function distributionsOf({ task }: Run): RunTimes {
  const times = createRunTimeDistributions();
  for (const factor of [0.9, 1, 1.1]) {
    times.recordRun(task.step, factor * EXPECTED_MS);
  }
  return times;
}

test('by distributions a run of a usual step that lasts far longer gets a copy', () => {
  const { state, run } = runTask({ ...SPECULATIVE_STEP, tasks: 5 }, 0);
  const times = distributionsOf(run);
  const workers = ['w1', 'w2'];
  assert.deepEqual(planCopiesAt(state, 1_500, workers, times), []);
  Object.assign(run.progress ?? {}, { seenAt: 7_000 });
  assert.deepEqual(planCopiesAt(state, 7_000, workers, times), ['w2']);
});

test('by distributions a run on a slow worker gets a copy', () => {
  const { state, run } = runTask({ ...SPECULATIVE_STEP, tasks: 5 }, 20);
  const times = distributionsOf(run);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w2'], times), ['w2']);
});

// All tasks of such a step take seven times as long, and so would the copy.
test('by distributions a step of the tail gets no copies', () => {
  const { state, run } = runTask({ ...SPECULATIVE_STEP, tasks: 5 }, 14);
  const times = createRunTimeDistributions();
  assert.deepEqual(planCopiesAt(state, 1_000, ['w2'], times), []);
  assert.equal(run.task.runs.length, 1);
  assert.deepEqual(planCopiesAt(state, 1_000, ['w2']), ['w2']);
});

test('by distributions a run on a worker that no longer reports gets a copy', () => {
  const { state, run } = runTask({ ...SPECULATIVE_STEP, tasks: 5 }, 90);
  const times = distributionsOf(run);
  assert.deepEqual(planCopiesAt(state, 2_700, ['w2'], times), ['w2']);
});
