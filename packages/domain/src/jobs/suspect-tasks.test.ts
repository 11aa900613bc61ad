import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  suspicionPercent,
  isAbandoned,
  workersLostUnder,
} from './suspect-tasks.js';
import type { Run, Task } from './job.js';
import { statusOf } from './job.js';
import { applyInbox } from './fold.js';
import { forgetFinishedJobs, refOf, type JobsState } from './jobs-state.js';
import { UNKNOWN_SPAN } from '../core/time.js';
import type { Suspicion } from './loss.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { imageOf } from './restate.js';
import {
  SETTLED_MS,
  attributeLoss,
  type LossAttribution,
  type LossEvidence,
} from './loss-attribution.js';
import {
  applyRecord,
  stateOf,
  startOn,
  taskOf,
  testJob,
  endRun,
} from './test-support.js';

const CONFIRMED_CRASH: LossEvidence = {
  lossKind: 'crashed',
  fleetSize: 40,
  lostBy: 0,
  now: 0,
  leadsSince: 0,
};

function stateWithJobs(...jobs: string[]): JobsState {
  return stateOf(...jobs.map(id => testJob(id, [{ tasks: 3 }])));
}

/** Runs the first task of each job on one worker. */
function startTogether(state: JobsState, ...jobs: string[]): Run[] {
  return jobs.map(job => startOn(state, taskOf(state, job, 0, 0), 'w'));
}

/** Marks a run as confirmed and last seen `runTimeMs` after its start. */
function setRunTime(run: Run, runTimeMs: number): void {
  if (run.progress !== undefined) {
    run.progress.confirmed = true;
    run.progress.seenAt = run.openedAt + runTimeMs;
  }
}

function loseRun(
  state: JobsState,
  run: Run,
  suspicion: Suspicion,
  age = UNKNOWN_SPAN,
): void {
  const { task, number } = run;
  const ref = refOf(task);
  const ended = { task: ref, run: number, checkpoint: '', suspicion, age };
  applyRecord(state, { kind: 'lost', ...ended });
}

function startAndLose(
  state: JobsState,
  task: Task,
  suspicion: Suspicion,
  age = UNKNOWN_SPAN,
): void {
  loseRun(state, startOn(state, task, `w${task.lastRun + 1}`), suspicion, age);
}

function suspicionsIn(judged: ReadonlyMap<Run, LossAttribution>): Suspicion[] {
  return [...judged.values()].map(({ suspicion }) => suspicion);
}

function lossesUntilAbandoned(...suspicions: Suspicion[]): number {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isAbandoned(task)) {
    startAndLose(
      state,
      task,
      suspicions[losses] ?? suspicions.at(-1) ?? 'sole',
    );
    losses += 1;
  }
  return losses;
}

test('only recently started runs are suspected of causing a loss', () => {
  const state = stateWithJobs('a', 'b');
  const [recent, settled] = startTogether(state, 'a', 'b');
  assert.ok(recent && settled);
  setRunTime(recent, SETTLED_MS - 1);
  setRunTime(settled, SETTLED_MS);
  const found = attributeLoss(state, [recent, settled], CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(found), ['sole', 'cleared']);
});

test('runs of several jobs share the suspicion, runs of a single job do not', () => {
  const state = stateWithJobs('a', 'b');
  const runs = startTogether(state, 'a', 'b');
  const shared = attributeLoss(state, runs, CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(shared), ['shared', 'shared']);
  const second = startOn(state, taskOf(state, 'a', 0, 1), 'w');
  const own = runs.slice(0, 1).concat(second);
  const sole = attributeLoss(state, own, CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(sole), ['sole', 'sole']);
});

test('the loss of a worker that may only be unreachable is doubtful', () => {
  const state = stateWithJobs('a');
  const runs = startTogether(state, 'a');
  const found = attributeLoss(state, runs, {
    ...CONFIRMED_CRASH,
    lossKind: 'unreachable',
  });
  assert.deepEqual(suspicionsIn(found), ['doubtful']);
});

// Guards against abandoning a healthy task because its workers left.
test('a worker that has left as announced counts against no run', () => {
  const state = stateWithJobs('a', 'b');
  const [recent, settled] = startTogether(state, 'a', 'b');
  assert.ok(recent && settled);
  setRunTime(settled, SETTLED_MS);
  const evidence = { ...CONFIRMED_CRASH, lossKind: 'left' } as const;
  const found = attributeLoss(state, [recent, settled], evidence);
  assert.deepEqual(suspicionsIn(found), ['unrelated', 'cleared']);
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'unrelated');
  assert.deepEqual(workersLostUnder(task), ['w2', 'w3']);
  startAndLose(state, task, 'sole');
  assert.ok(isAbandoned(task));
});

test('losses are doubtful while many other workers are lost', () => {
  const state = stateWithJobs('a', 'b');
  const [run] = startTogether(state, 'a');
  assert.ok(run);
  const other = taskOf(state, 'b', 0, 0);
  const small = { ...CONFIRMED_CRASH, fleetSize: 6 };
  const judge = (evidence: LossEvidence): Suspicion | undefined =>
    attributeLoss(state, [run], evidence).get(run)?.suspicion;
  assert.equal(judge(small), 'sole');
  // One of six workers per minute: a healthy worker is lost within 5 s with a probability above 1 %.
  startAndLose(state, other, 'unexplained');
  assert.equal(judge(small), 'doubtful');
  assert.equal(judge(CONFIRMED_CRASH), 'sole');
  for (let loss = 2; loss <= 5; loss += 1) {
    startAndLose(state, other, 'unexplained');
  }
  assert.equal(judge(CONFIRMED_CRASH), 'doubtful');
  const later = { ...small, now: 60_000 };
  assert.equal(judge(later), 'sole');
});

test('a task is abandoned after three to five losses, depending on their other possible causes', () => {
  assert.equal(lossesUntilAbandoned('sole'), 3);
  assert.equal(lossesUntilAbandoned('shared', 'sole'), 3);
  assert.equal(lossesUntilAbandoned('shared', 'shared', 'sole'), 3);
  assert.equal(lossesUntilAbandoned('shared'), 4);
  assert.equal(lossesUntilAbandoned('doubtful'), 5);
  assert.equal(lossesUntilAbandoned('sole', 'sole', 'doubtful'), 5);
  assert.equal(lossesUntilAbandoned('doubtful', 'shared', 'shared', 'sole'), 4);
});

test('the job of an abandoned task fails, also if the task is long-running', () => {
  const state = stateOf(testJob('a', [{ tasks: 2, lasting: true }]));
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'shared');
  startAndLose(state, task, 'sole');
  const { job } = task.step.occurrence;
  assert.equal(statusOf(job), 'queued');
  startAndLose(state, task, 'sole');
  assert.equal(statusOf(job), 'failed');
  assert.deepEqual(workersLostUnder(task), ['w1', 'w2', 'w3']);
  assert.equal(state.openJobs.has(job), false);
});

test('the loss of a run that had been running for long clears its task', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'cleared');
  startAndLose(state, task, 'sole');
  assert.equal(isAbandoned(task), false);
  assert.deepEqual(workersLostUnder(task), ['w4']);
});

test('ends other than losses add no suspicion', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const how of ['lapsed', 'void', 'stopped', 'broken'] as const) {
    endRun(state, startOn(state, task, 'w'), how);
  }
  assert.equal(suspicionPercent(task), 0);
});

test('restated jobs keep the losses of their tasks', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'sole');
  const reader = stateOf();
  const image = imageOf(task.step.occurrence.job, state);
  applyRecord(reader, { kind: 'restate', image });
  const restored = taskOf(reader, 'a', 0, 0);
  assert.deepEqual(workersLostUnder(restored), ['w1', 'w2']);
  startAndLose(reader, restored, 'sole');
  assert.ok(isAbandoned(restored));
});

test('earlier versions read a loss as an expired lease, and their expired leases are read as doubtful losses', () => {
  const task = { job: 'a', occurrence: 0, step: 0, index: 0 };
  const lost = { kind: 'lost', task, run: 1, checkpoint: '' } as const;
  const row: unknown = JSON.parse(
    new TextDecoder().decode(
      encodeRecord({ ...lost, suspicion: 'shared', age: UNKNOWN_SPAN }),
    ),
  );
  assert.deepEqual(row, ['e', 'a.0.0.0', 1, 'lapsed', '', 'shared']);
  const encode = (earlier: unknown): Uint8Array =>
    new TextEncoder().encode(JSON.stringify(earlier));
  for (const earlier of [
    ['e', 'a.0.0.0', 1, 'lapsed'],
    ['e', 'a.0.0.0', 1, 'lapsed', '', 'of a later version'],
  ]) {
    const read = decodeJournal(encode(earlier));
    assert.deepEqual(read, {
      ...lost,
      suspicion: 'doubtful',
      age: UNKNOWN_SPAN,
    });
  }
  const expired = { kind: 'end', task, run: 1, how: 'lapsed' } as const;
  const present = { ...expired, checkpoint: 'c' };
  assert.deepEqual(decodeJournal(encodeRecord(present)), present);
});

test('losses explained by an abandoned task count less against tasks beside it', () => {
  const state = stateWithJobs('a', 'b');
  const [other, beside] = ['a', 'b'].map(job => taskOf(state, job, 0, 0));
  assert.ok(other && beside);
  for (const worker of ['w1', 'w2']) {
    const runs = [other, beside].map(task => startOn(state, task, worker));
    runs.forEach(run => {
      loseRun(state, run, 'shared');
    });
  }
  startAndLose(state, beside, 'sole');
  assert.equal(isAbandoned(beside), true);
  const again = stateWithJobs('a', 'b');
  const [first, second] = ['a', 'b'].map(job => taskOf(again, job, 0, 0));
  assert.ok(first && second);
  for (const worker of ['w1', 'w2']) {
    const runs = [first, second].map(task => startOn(again, task, worker));
    runs.forEach(run => {
      loseRun(again, run, 'shared');
    });
  }
  startAndLose(again, first, 'sole');
  startAndLose(again, second, 'sole');
  assert.equal(isAbandoned(second), false);
  startAndLose(again, second, 'sole');
  assert.equal(isAbandoned(second), true);
});

test('losses that an earlier version recorded as expired leases count under a leader of this version', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (let run = 1; run <= 4; run += 1) {
    startOn(state, task, `w${run}`);
    const text = JSON.stringify(['e', 'a.0.0.0', run, 'lapsed']);
    const earlier = decodeJournal(new TextEncoder().encode(text));
    assert.ok(earlier);
    applyRecord(state, earlier);
  }
  assert.equal(isAbandoned(task), false);
  startAndLose(state, task, 'sole');
  assert.equal(isAbandoned(task), true);
});

test('tasks of finished jobs are no longer suspected', () => {
  const state = stateWithJobs('a', 'b');
  for (const job of ['a', 'b']) {
    startAndLose(state, taskOf(state, job, 0, 0), 'shared');
  }
  applyInbox(state, { kind: 'cancel', job: 'a' });
  forgetFinishedJobs(state, 0, 0);
  assert.deepEqual([...state.suspects], [taskOf(state, 'b', 0, 0)]);
});

/** Returns the number of losses at these ages, known within 0.4 s, until a task is abandoned; at most ten. */
function lossesUntilAbandonedAt(
  suspicion: Suspicion,
  ...ages: number[]
): number {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isAbandoned(task) && losses < 10) {
    const from = ages[losses % ages.length] ?? 0;
    startAndLose(state, task, suspicion, { from, to: from + 400 });
    losses += 1;
  }
  return losses;
}

// Guards against abandoning a healthy long-running task after five losses at any age, as happened when every
// worker was lost once in 13 s.
test('a task is abandoned if its runs are lost at the same age, but not at different ages', () => {
  assert.equal(lossesUntilAbandonedAt('doubtful', 0, 1_500, 3_000, 4_500), 10);
  assert.equal(lossesUntilAbandonedAt('sole', 100, 4_000), 5);
  assert.equal(lossesUntilAbandonedAt('doubtful', 3_900, 3_600), 5);
  assert.equal(lossesUntilAbandonedAt('shared', 0), 4);
  assert.equal(lossesUntilAbandonedAt('sole', 0), 3);
});

test('a loss at another age does not prevent a task from being abandoned', () => {
  assert.equal(lossesUntilAbandonedAt('doubtful', 0, 0, 3_000, 0, 0, 0), 6);
});

test('losses without an upper bound on their age may all have happened at the same age', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const from of [0, 2_000, 0, 4_000]) {
    startAndLose(state, task, 'doubtful', { from, to: Infinity });
  }
  assert.ok(!isAbandoned(task));
  startAndLose(state, task, 'doubtful', { from: 100, to: Infinity });
  assert.ok(isAbandoned(task));
});

// Such a task crashes at the same point of its work, and thus at another age for each checkpoint.
test('ages of runs that resumed from different checkpoints are not compared', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const [at, from] of [3_500, 700, 100].entries()) {
    task.checkpoint = at === 0 ? '' : `c${at}`;
    startAndLose(state, task, 'sole', { from, to: from + 100 });
  }
  assert.ok(isAbandoned(task));
});

test('a loss at an imprecisely known age is doubtful', () => {
  const state = stateWithJobs('a');
  const [run] = startTogether(state, 'a');
  assert.ok(run);
  const judge = (lostBy: number): Suspicion | undefined =>
    attributeLoss(state, [run], { ...CONFIRMED_CRASH, lostBy }).get(run)
      ?.suspicion;
  assert.equal(judge(1_900), 'sole');
  assert.equal(judge(2_500), 'doubtful');
});

test('ages of losses survive the encoding in the journal and in restated jobs', () => {
  const task = { job: 'a', occurrence: 0, step: 0, index: 0 };
  const lost = { kind: 'lost', task, run: 1, checkpoint: '' } as const;
  for (const age of [
    { from: 100, to: 400 },
    { from: 100, to: Infinity },
  ]) {
    const record = { ...lost, suspicion: 'sole', age } as const;
    assert.deepEqual(decodeJournal(encodeRecord(record)), record);
  }
  const state = stateWithJobs('a');
  const lostTask = taskOf(state, 'a', 0, 0);
  lostTask.checkpoint = 'c';
  startAndLose(state, lostTask, 'sole', { from: 100, to: 400 });
  const image = imageOf(lostTask.step.occurrence.job, state);
  const read = decodeJournal(encodeRecord({ kind: 'restate', image }));
  assert.ok(read?.kind === 'restate');
  const reader = stateOf();
  applyRecord(reader, read);
  assert.deepEqual(taskOf(reader, 'a', 0, 0).lossHistory.losses, [
    {
      worker: 'w1',
      suspicion: 'sole',
      age: { from: 100, to: 400 },
      resumedFrom: 'c',
    },
  ]);
});

// Guards against abandoning a healthy task after three losses that happen to be at the same age, as occurred
// when a worker restarted every 2 s.
test('losses of a task are doubtful if other workers are lost without it, but not after its own losses', () => {
  const state = stateWithJobs('a', 'b');
  const small = { ...CONFIRMED_CRASH, fleetSize: 6 };
  const judge = (job: string): Suspicion | undefined => {
    const task = taskOf(state, job, 0, 0);
    const run = startOn(state, task, `${job}${task.lastRun + 1}`);
    const judged = attributeLoss(state, [run], small).get(run);
    loseRun(state, run, judged?.suspicion ?? 'cleared', { from: 0, to: 0 });
    return judged?.suspicion;
  };
  assert.deepEqual([judge('a'), judge('a'), judge('a')], Array(3).fill('sole'));
  assert.equal(judge('b'), 'doubtful');
});

/** Returns after how many doubtful losses a task is abandoned. */
function doubtfulLossesUntilAbandoned(
  noise: number,
  age = UNKNOWN_SPAN,
): number {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (let losses = 0; ; losses += 1) {
    if (isAbandoned(task)) {
      return losses;
    }
    const { number: run } = startOn(state, task, `w${losses}`);
    const lost = { task: refOf(task), run, checkpoint: '' };
    const loss = { suspicion: 'doubtful', age, noise } as const;
    applyRecord(state, { kind: 'lost', ...lost, ...loss });
  }
}

// Otherwise healthy tasks are abandoned where workers crash all the time: with a worker lost in one of three
// cases before a run settles, one of some 300 runs begins a series of five such losses.
test('five doubtful losses abandon a task only if they are not likely by chance', () => {
  assert.equal(doubtfulLossesUntilAbandoned(0), 5);
  assert.equal(doubtfulLossesUntilAbandoned(0.05), 5);
  assert.equal(doubtfulLossesUntilAbandoned(0.3), 10);
  const precise = { from: 100, to: 1_000 };
  assert.equal(doubtfulLossesUntilAbandoned(0.3, precise), 5);
});
