/*
 * Guards against a leader that sorts the runs of all workers anew in each round and with each report: on a fleet
 * of 624 workers that was a fifth of its planning, though only a few of them had changed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { closeRun, workerRuns } from './jobs-state.js';
import { runViewsOf } from './run-views.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

test('runs of a worker are sorted by kind once, and kept up to date', () => {
  const state = stateOf(
    testJob('j', [
      { tasks: 2, filler: true },
      { tasks: 1, lasting: true, tailTargetMs: 50 },
    ]),
  );
  const { runs } = workerRuns(state, 'w');
  const filler = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  const views = runViewsOf(runs);
  const { lastingChanges } = views;
  const serving = startOn(state, taskOf(state, 'j', 1, 0), 'w');
  assert.equal(runViewsOf(runs), views);
  assert.deepEqual(views.fillers, [filler]);
  assert.deepEqual(views.batch, [filler]);
  assert.deepEqual(views.serving, [serving]);
  assert.deepEqual(views.servingSteps, [serving.task.step]);
  assert.deepEqual(views.lasting, [serving]);
  assert.ok(views.lastingChanges > lastingChanges);
  closeRun(state, filler);
  closeRun(state, serving);
  assert.deepEqual(runViewsOf(runs).fillers, []);
  assert.deepEqual(runViewsOf(runs).servingSteps, []);
  const other = startOn(state, taskOf(state, 'j', 0, 1), 'w');
  assert.deepEqual(runViewsOf(runs).fillers, [other]);
  assert.deepEqual(runViewsOf(runs).batch, [other]);
});
