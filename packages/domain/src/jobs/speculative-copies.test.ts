import assert from 'node:assert/strict';
import { test } from 'node:test';

import { isBehind, planSpeculativeCopies } from './speculative-copies.js';
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
const COPIES = { speculative: true, estimateMs: EXPECTED_MS };

interface Site {
  readonly state: JobsState;
  readonly run: Run;
}

/** A task that runs on `w1` since 0 and was last seen at 1 s. */
function site(step: object, percent: number): Site {
  const state = stateOf(testJob('j', [step]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w1');
  assert.ok(run.progress);
  Object.assign(run.progress, { confirmed: true, percent, seenAt: 1_000 });
  return { state, run };
}

/** Plans a round at `now` and returns the workers of the copies. */
function copiesAt(state: JobsState, now: number, workers: string[]): string[] {
  const input = planInput(
    state,
    workers.map(id => testWorker(id)),
  );
  const found: string[] = [];
  planSpeculativeCopies({ ...input, time: { now, nowWall: now } }, decision => {
    applyDecision(state, decision);
    found.push(decision.worker);
  });
  return found;
}

test('a run that stands still gets one copy, on another worker', () => {
  const { state } = site(COPIES, 0);
  assert.deepEqual(copiesAt(state, 1_000, ['w1', 'w2']), ['w2']);
  assert.deepEqual(copiesAt(state, 1_250, ['w1', 'w2', 'w3']), []);
});

test('a run at its usual speed gets no copy', () => {
  const { state } = site(COPIES, 90);
  assert.deepEqual(copiesAt(state, 1_000, ['w1', 'w2']), []);
});

test('a run on a slow worker gets a copy', () => {
  const { state } = site(COPIES, 20);
  assert.deepEqual(copiesAt(state, 1_000, ['w1', 'w2']), ['w2']);
});

test('a run on a worker that has fallen silent gets a copy', () => {
  const { run } = site(COPIES, 90);
  assert.equal(isBehind(run, EXPECTED_MS, 2_000), false);
  assert.equal(isBehind(run, EXPECTED_MS, 2_700), true);
});

test('a step that does not allow it has no copies', () => {
  const { state } = site({ estimateMs: EXPECTED_MS }, 0);
  assert.deepEqual(copiesAt(state, 1_000, ['w1', 'w2']), []);
});

test('copies count against the limit on each worker', () => {
  const { state } = site({ ...COPIES, maxPerWorker: 1 }, 0);
  assert.deepEqual(copiesAt(state, 1_000, ['w1']), []);
});

test('the first copy that is done counts, whatever becomes of the other', () => {
  const { state, run } = site(COPIES, 0);
  copiesAt(state, 1_000, ['w2']);
  const { task } = run;
  const copy = task.runs.at(-1);
  assert.ok(copy !== undefined && copy !== run);
  endRun(state, copy, 'done');
  assert.equal(task.status, 'done');
  endRun(state, run, 'failed');
  assert.equal(task.status, 'done');
  assert.equal(state.jobs.get('j')?.failure, undefined);
});

test('a task goes on when one of its copies fails', () => {
  const { state, run } = site(COPIES, 0);
  copiesAt(state, 1_000, ['w2']);
  endRun(state, run, 'failed');
  assert.equal(run.task.status, 'running');
});
