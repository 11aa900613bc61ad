/*
 * Guards against jobs that fail because many workers crash together: five losses at one age gave a task up,
 * although more than half of the workers were lost each time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Run, Task } from './job.js';
import { refOf, type JobsState } from './jobs-state.js';
import type { LossAttribution } from './loss.js';
import {
  attributeLoss,
  unsettledJobs,
  type LossEvidence,
} from './loss-attribution.js';
import { LostContacts } from './lost-contacts.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { imageOf } from './restate.js';
import { isAbandoned, isSuspect } from './suspect-tasks.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

const FLEET_SIZE = 10;
const AGE = { from: 1_000, to: 1_010 };
const CRASH: LossEvidence = {
  lossKind: 'crashed',
  fleetSize: FLEET_SIZE,
  leadsSince: 0,
  lostBy: 0,
  now: 0,
};

/** Returns a state with jobs of ten tasks each. */
function stateWith(...jobs: string[]): JobsState {
  return stateOf(...jobs.map(id => testJob(id, [{ tasks: 10 }])));
}

/** Starts tasks of a job on `w0` and so on, and notes that these workers are lost. */
function loseTogether(state: JobsState, job: string, workers: number): Run[] {
  return Array.from({ length: workers }, (_, at) => {
    const run = startOn(state, taskOf(state, job, 0, at), `w${at}`);
    const jobs = unsettledJobs(state, [run], 0);
    state.lostContacts.noteLost(`w${at}`, 0, jobs);
    return run;
  });
}

function judge(
  state: JobsState,
  run: Run,
  evidence = CRASH,
): LossAttribution | undefined {
  state.lostContacts.noteLost(run.worker, 0, unsettledJobs(state, [run], 0));
  return attributeLoss(state, [run], evidence).get(run);
}

function loseWith(
  state: JobsState,
  task: Task,
  concurrentShare: number,
  losses: number,
  age = AGE,
): void {
  for (let at = 0; at < losses; at += 1) {
    const { number: run } = startOn(state, task, `lost${task.lastRun}`);
    const lost = { task: refOf(task), run, checkpoint: '', age };
    const suspicion = 'doubtful';
    const loss = { suspicion, noise: 0.05, concurrentShare } as const;
    applyRecord(state, { kind: 'lost', ...lost, ...loss });
  }
}

test('a loss is doubtful if workers of other jobs are lost at the same time', () => {
  const state = stateWith('a', 'b');
  loseTogether(state, 'b', 5);
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  const judged = judge(state, run);
  assert.equal(judged?.suspicion, 'doubtful');
  assert.equal(judged.concurrentShare, 1);
});

test('the share counts the workers that run on', () => {
  const state = stateWith('a', 'b');
  loseTogether(state, 'b', 3);
  for (let at = 5; at < 8; at += 1) {
    startOn(state, taskOf(state, 'b', 0, at), `w${at}`);
  }
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  assert.equal(judge(state, run)?.concurrentShare, 0.5);
});

test('workers that run the same job are no other cause', () => {
  const state = stateWith('a');
  const [run] = loseTogether(state, 'a', 6);
  assert.ok(run);
  const judged = judge(state, run);
  assert.equal(judged?.suspicion, 'sole');
  assert.equal(judged.concurrentShare, 0);
});

test('workers that a suspected task explains are no other cause', () => {
  const state = stateWith('a', 'b');
  loseWith(state, taskOf(state, 'b', 0, 9), 0, 3);
  assert.ok(isSuspect(taskOf(state, 'b', 0, 9)));
  loseTogether(state, 'b', 5);
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  assert.equal(judge(state, run)?.concurrentShare, 0);
});

test('one other worker that is lost at the same time is no common cause', () => {
  const state = stateWith('a', 'b');
  loseTogether(state, 'b', 1);
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  assert.equal(judge(state, run)?.concurrentShare, 0);
});

test('workers that answer again were not lost', () => {
  const state = stateWith('a', 'b');
  for (const { worker } of loseTogether(state, 'b', 5)) {
    state.lostContacts.noteAnswered(worker);
  }
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  assert.equal(judge(state, run)?.suspicion, 'sole');
});

// Guards against three losses that decide while other lost workers are only known as silent.
test('workers that are silent make losses doubtful before their loss is known', () => {
  const state = stateWith('a', 'b');
  loseTogether(state, 'b', 1);
  const run = startOn(state, taskOf(state, 'a', 0, 0), 'own');
  const judged = judge(state, run, { ...CRASH, fleetSize: 6 });
  assert.equal(judged?.suspicion, 'doubtful');
  assert.ok(judged.noise > 0);
});

test('losses of many workers at once neither abandon a task nor make it suspected', () => {
  const state = stateWith('a');
  const task = taskOf(state, 'a', 0, 0);
  loseWith(state, task, 0.6, 10);
  assert.equal(isAbandoned(task), false);
  assert.equal(isSuspect(task), false);
});

test('a task that is lost alone as well is abandoned', () => {
  const state = stateWith('a');
  const task = taskOf(state, 'a', 0, 0);
  loseWith(state, task, 0.2, 2);
  loseWith(state, task, 0, 2);
  assert.equal(isAbandoned(task), false);
  loseWith(state, task, 0, 1);
  assert.ok(isAbandoned(task));
});

// Guards against a task that crashes its workers within milliseconds while others are lost at the same moment.
test('a task whose runs are lost with others is abandoned if they had just started', () => {
  const state = stateWith('a');
  const task = taskOf(state, 'a', 0, 0);
  loseWith(state, task, 0.2, 4, { from: 8, to: 21 });
  assert.equal(isAbandoned(task), false);
  loseWith(state, task, 0.2, 1, { from: 8, to: 21 });
  assert.ok(isAbandoned(task));
});

test('lost contacts are forgotten after a while', () => {
  const contacts = new LostContacts();
  contacts.noteLost('w1', 0, new Set());
  contacts.noteLost('w2', 19_000, new Set());
  assert.deepEqual(contacts.lostSince(0, new Set()), ['w1', 'w2']);
  contacts.noteLost('w3', 25_000, new Set());
  assert.deepEqual(contacts.lostSince(0, new Set()), ['w2', 'w3']);
});

test('the share survives the encoding in the journal and in restated jobs', () => {
  const state = stateWith('a');
  const task = taskOf(state, 'a', 0, 0);
  const lost = { kind: 'lost', task: refOf(task), run: 1 } as const;
  const loss = { suspicion: 'doubtful', age: AGE, checkpoint: '' } as const;
  for (const noise of [{}, { noise: 0.1 }]) {
    const record = { ...lost, ...loss, ...noise, concurrentShare: 0.5 };
    assert.deepEqual(decodeJournal(encodeRecord(record)), record);
  }
  loseWith(state, task, 0.5, 1);
  const image = imageOf(task.step.occurrence.job, state);
  const read = decodeJournal(encodeRecord({ kind: 'restate', image }));
  assert.ok(read?.kind === 'restate');
  const reader = stateOf();
  applyRecord(reader, read);
  const [restored] = taskOf(reader, 'a', 0, 0).lossHistory.losses;
  assert.equal(restored?.concurrentShare, 0.5);
});
