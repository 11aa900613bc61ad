/*
 * Guards against hosts that show a job differently: the leader forgets suspected tasks of a cancelled job in
 * its rounds, other hosts do not, and what is taken back or discounted later then differs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox } from './fold.js';
import type { JobsState } from './jobs-state.js';
import { refOf } from './jobs-state.js';
import { Quarantine } from './quarantine.js';
import { workersLostUnder } from './suspect-tasks.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

const AGE = { from: 0, to: 10 };

function lose(state: JobsState, worker: string): void {
  const task = taskOf(state, 'a', 0, 0);
  const { number: run } = startOn(state, task, worker);
  const lost = { task: refOf(task), run, checkpoint: '' };
  applyRecord(state, { kind: 'lost', ...lost, suspicion: 'sole', age: AGE });
}

/** Applies the same records on a host; only a leader plans rounds. */
function play(leads: boolean): JobsState {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  lose(state, 'w1');
  lose(state, 'w2');
  const task = taskOf(state, 'a', 0, 0);
  const { number: run } = startOn(state, task, 'w3');
  applyInbox(state, { kind: 'cancel', job: 'a' });
  if (leads) {
    new Quarantine({ state, now: 0, leadsSince: 0 });
  }
  applyRecord(state, { kind: 'reached', worker: 'w1', incarnation: 'w1' });
  const lost = { task: refOf(task), run, checkpoint: '' };
  applyRecord(state, { kind: 'lost', ...lost, suspicion: 'sole', age: AGE });
  return state;
}

test('a loss is taken back on all hosts alike, also after the job was cancelled', () => {
  const [leader, reader] = [play(true), play(false)];
  assert.deepEqual(
    workersLostUnder(taskOf(leader, 'a', 0, 0)),
    workersLostUnder(taskOf(reader, 'a', 0, 0)),
  );
  assert.equal(leader.jobs.get('a')?.failure, reader.jobs.get('a')?.failure);
});
