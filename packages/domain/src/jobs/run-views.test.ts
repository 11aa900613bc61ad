/*
 * Guards against a leader that sorts the runs of all workers anew in each round and with each report: on a fleet
 * of 624 workers that was a fifth of its planning, though only a few of them had changed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { closeRun, workerRuns } from './jobs-state.js';
import { runViewsOf } from './run-views.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

test('runs of a worker are sorted anew only when they change', () => {
  const state = stateOf(
    testJob('j', [
      { tasks: 2, filler: true },
      { tasks: 1, lasting: true, tailTargetMs: 50 },
    ]),
  );
  const { runs } = workerRuns(state, 'w');
  const filler = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  const serving = startOn(state, taskOf(state, 'j', 1, 0), 'w');
  const views = runViewsOf(runs);
  assert.deepEqual(views.fillers, [filler]);
  assert.deepEqual(views.batch, [filler]);
  assert.deepEqual(views.serving, [serving]);
  assert.deepEqual(views.lasting, [serving]);
  assert.equal(runViewsOf(runs), views);
  closeRun(state, filler);
  assert.deepEqual(runViewsOf(runs).fillers, []);
  const other = startOn(state, taskOf(state, 'j', 0, 1), 'w');
  assert.deepEqual(runViewsOf(runs).fillers, [other]);
});
