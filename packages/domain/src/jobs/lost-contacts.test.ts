/* A worker that was noted as lost and is registered again under the same id, with a new link. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { OtherLosses } from './other-losses.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

test('the record that a worker was reached ends its silence', () => {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  const task = taskOf(state, 'a', 0, 0);
  const run = startOn(state, task, 'w3');
  state.lostContacts.noteLost('w1', 0, new Set());
  state.lostContacts.noteLost('w2', 0, new Set());
  applyRecord(state, { kind: 'reached', worker: 'w1', incarnation: 'w1' });
  applyRecord(state, { kind: 'reached', worker: 'w2', incarnation: 'w2' });
  const others = new OtherLosses(state, { fleetSize: 3, lostBy: 0, now: 0 });
  assert.equal(others.noiseFor(run), 0);
  assert.equal(others.concurrentShareFor(run), 0);
});
