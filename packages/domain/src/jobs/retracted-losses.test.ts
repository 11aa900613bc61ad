/*
 * Guards against jobs that fail because workers were out of reach: one that had lost its registry entry as well
 * was taken for crashed, and that still counted after it had answered again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { incarnationOf } from './incarnation.js';
import type { Task } from './job.js';
import { refOf, type JobsState } from './jobs-state.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { isAbandoned, workersLostUnder } from './suspect-tasks.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

const AGE = { from: 0, to: 10 };

function stateWithTask(): { state: JobsState; task: Task } {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  return { state, task: taskOf(state, 'a', 0, 0) };
}

function loseWith(state: JobsState, task: Task, worker: string): void {
  const { number: run } = startOn(state, task, worker);
  const lost = { task: refOf(task), run, checkpoint: '' };
  applyRecord(state, { kind: 'lost', ...lost, suspicion: 'sole', age: AGE });
}

test('the loss of a worker that answers again is taken back', () => {
  const { state, task } = stateWithTask();
  loseWith(state, task, 'w1');
  loseWith(state, task, 'w2');
  applyRecord(state, { kind: 'reached', worker: 'w1', incarnation: 'w1' });
  assert.deepEqual(workersLostUnder(task), ['w2']);
  assert.deepEqual([...state.workerLosses.keys()], ['w2']);
  loseWith(state, task, 'w3');
  assert.equal(isAbandoned(task), false);
  loseWith(state, task, 'w4');
  assert.equal(isAbandoned(task), true);
});

test('a loss stays if a later incarnation of the worker answers', () => {
  const { state, task } = stateWithTask();
  const before = incarnationOf('w', 1_000);
  const after = incarnationOf('w', 2_000);
  loseWith(state, task, before);
  applyRecord(state, { kind: 'reached', worker: 'w', incarnation: after });
  assert.deepEqual(workersLostUnder(task), [before]);
  applyRecord(state, { kind: 'reached', worker: 'w', incarnation: before });
  assert.deepEqual(workersLostUnder(task), []);
});

test('earlier versions do not record which incarnation was reached', () => {
  const reached = { kind: 'reached', worker: 'w' } as const;
  assert.deepEqual(decodeJournal(encodeRecord(reached)), reached);
  const known = { ...reached, incarnation: incarnationOf('w', 1_000) };
  assert.deepEqual(decodeJournal(encodeRecord(known)), known);
  const { state, task } = stateWithTask();
  loseWith(state, task, 'w');
  applyRecord(state, reached);
  assert.deepEqual(workersLostUnder(task), []);
});
