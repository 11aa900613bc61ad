import assert from 'node:assert/strict';
import { test } from 'node:test';

import { isStalled, WorkerHealth } from './worker-health.js';
import { endRun, startOn, stateOf, taskOf, testJob } from './test-support.js';

test('a worker is trusted until a run fails there', () => {
  const health = new WorkerHealth();
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  assert.equal(health.trustIn('w', 0), 'full');
  health.noteFailure('w', task, 0);
  assert.equal(health.trustIn('w', 100), 'none');
  assert.equal(health.trustIn('w', 2_000), 'one_run');
  health.noteDone('w');
  assert.equal(health.trustIn('w', 2_000), 'full');
});

test('rests grow with failures in a row, up to a bound', () => {
  const health = new WorkerHealth();
  const task = taskOf(stateOf(testJob('j', [{}])), 'j', 0, 0);
  for (let i = 0; i < 9; i += 1) {
    health.noteFailure('w', task, 0);
  }
  assert.equal(health.trustIn('w', 3_900), 'none');
  assert.equal(health.trustIn('w', 4_100), 'one_run');
});

test('a task that failed elsewhere is blamed, not the worker', () => {
  const health = new WorkerHealth();
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  endRun(state, startOn(state, task, 'other'), 'failed');
  health.noteFailure('w', task, 0);
  assert.equal(health.trustIn('w', 0), 'full');
});

test('a run without progress is stalled, unless it is throttled', () => {
  const state = stateOf(testJob('j', [{}]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  assert.ok(run.progress);
  run.progress.confirmed = true;
  run.progress.seenAt = 3_000;
  assert.equal(isStalled(run, 3_000), true);
  run.progress.allowedPercent = 20;
  assert.equal(isStalled(run, 3_000), false);
});

test('a run that was not reported again is not stalled', () => {
  const state = stateOf(testJob('j', [{}]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  assert.ok(run.progress);
  run.progress.confirmed = true;
  run.progress.seenAt = 500;
  assert.equal(isStalled(run, 9_000), false);
});
