import assert from 'node:assert/strict';
import { test } from 'node:test';

import { blameOf, isGivenUp, lostUnder } from './blame.js';
import type { Run, Task } from './job.js';
import { statusOf } from './job.js';
import { applyInbox } from './fold.js';
import { forgetOver, refOf, type JobsState } from './jobs-state.js';
import { UNKNOWN_SPAN } from '../core/time.js';
import type { Suspicion } from './loss.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { imageOf } from './restate.js';
import {
  SETTLED_MS,
  suspicionsOf,
  type JudgedLoss,
  type LossEvidence,
} from './suspicion.js';
import {
  apply,
  stateOf,
  startOn,
  taskOf,
  testJob,
  endRun,
} from './test-support.js';

const CONFIRMED_CRASH: LossEvidence = {
  fate: 'crashed',
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

/** Makes a run be known to have been at work for `span`. */
function setRunTime(run: Run, span: number): void {
  if (run.progress !== undefined) {
    run.progress.confirmed = true;
    run.progress.seenAt = run.openedAt + span;
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
  apply(state, { kind: 'lost', ...ended });
}

function startAndLose(
  state: JobsState,
  task: Task,
  suspicion: Suspicion,
  age = UNKNOWN_SPAN,
): void {
  loseRun(state, startOn(state, task, `w${task.lastRun + 1}`), suspicion, age);
}

function suspicionsIn(judged: ReadonlyMap<Run, JudgedLoss>): Suspicion[] {
  return [...judged.values()].map(({ suspicion }) => suspicion);
}

function lossesUntilAbandoned(...suspicions: Suspicion[]): number {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isGivenUp(task)) {
    startAndLose(
      state,
      task,
      suspicions[losses] ?? suspicions.at(-1) ?? 'sole',
    );
    losses += 1;
  }
  return losses;
}

test('only what began lately can be the reason of a loss', () => {
  const state = stateWithJobs('a', 'b');
  const [recent, settled] = startTogether(state, 'a', 'b');
  assert.ok(recent && settled);
  setRunTime(recent, SETTLED_MS - 1);
  setRunTime(settled, SETTLED_MS);
  const found = suspicionsOf(state, [recent, settled], CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(found), ['sole', 'cleared']);
});

test('tasks of several jobs share the suspicion, those of one job have it alone', () => {
  const state = stateWithJobs('a', 'b');
  const runs = startTogether(state, 'a', 'b');
  const shared = suspicionsOf(state, runs, CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(shared), ['shared', 'shared']);
  const second = startOn(state, taskOf(state, 'a', 0, 1), 'w');
  const own = runs.slice(0, 1).concat(second);
  const sole = suspicionsOf(state, own, CONFIRMED_CRASH);
  assert.deepEqual(suspicionsIn(sole), ['sole', 'sole']);
});

test('a worker that may only be out of reach raises doubts', () => {
  const state = stateWithJobs('a');
  const runs = startTogether(state, 'a');
  const found = suspicionsOf(state, runs, {
    ...CONFIRMED_CRASH,
    fate: 'unknown',
  });
  assert.deepEqual(suspicionsIn(found), ['doubtful']);
});

test('where workers are lost with nothing to blame, losses say little', () => {
  const state = stateWithJobs('a', 'b');
  const [run] = startTogether(state, 'a');
  assert.ok(run);
  const other = taskOf(state, 'b', 0, 0);
  const small = { ...CONFIRMED_CRASH, fleetSize: 6 };
  const judge = (evidence: LossEvidence): Suspicion | undefined =>
    suspicionsOf(state, [run], evidence).get(run)?.suspicion;
  assert.equal(judge(small), 'sole');
  // One in a minute, of six: a sound worker is lost within 5 s with a chance above a hundredth.
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

test('a task is given up after three to five losses, by what else could be the reason', () => {
  assert.equal(lossesUntilAbandoned('sole'), 3);
  assert.equal(lossesUntilAbandoned('shared', 'sole'), 3);
  assert.equal(lossesUntilAbandoned('shared', 'shared', 'sole'), 3);
  assert.equal(lossesUntilAbandoned('shared'), 4);
  assert.equal(lossesUntilAbandoned('doubtful'), 5);
  assert.equal(lossesUntilAbandoned('sole', 'sole', 'doubtful'), 5);
  assert.equal(lossesUntilAbandoned('doubtful', 'shared', 'shared', 'sole'), 4);
});

test('the job of a task that is given up has failed, also where the task lasts', () => {
  const state = stateOf(testJob('a', [{ tasks: 2, lasting: true }]));
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'shared');
  startAndLose(state, task, 'sole');
  const { job } = task.step.occurrence;
  assert.equal(statusOf(job), 'queued');
  startAndLose(state, task, 'sole');
  assert.equal(statusOf(job), 'failed');
  assert.deepEqual(lostUnder(task), ['w1', 'w2', 'w3']);
  assert.equal(state.open.has(job), false);
});

test('a run that had long been at work clears its task', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'cleared');
  startAndLose(state, task, 'sole');
  assert.equal(isGivenUp(task), false);
  assert.deepEqual(lostUnder(task), ['w4']);
});

test('ends that are no losses add no blame', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const how of ['lapsed', 'void', 'stopped', 'broken'] as const) {
    endRun(state, startOn(state, task, 'w'), how);
  }
  assert.equal(blameOf(task), 0);
});

test('blame outlives the records of the losses', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task, 'sole');
  startAndLose(state, task, 'sole');
  const reader = stateOf();
  const image = imageOf(task.step.occurrence.job, state);
  apply(reader, { kind: 'restate', image });
  const restored = taskOf(reader, 'a', 0, 0);
  assert.deepEqual(lostUnder(restored), ['w1', 'w2']);
  startAndLose(reader, restored, 'sole');
  assert.ok(isGivenUp(restored));
});

test('an earlier version reads a loss as a lapse, and its lapses may be losses', () => {
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
  const lapsed = { kind: 'end', task, run: 1, how: 'lapsed' } as const;
  const there = { ...lapsed, checkpoint: 'c' };
  assert.deepEqual(decodeJournal(encodeRecord(there)), there);
});

test('what a task is given up for, those beside it are not to blame for', () => {
  const state = stateWithJobs('a', 'b');
  const [guilty, beside] = ['a', 'b'].map(job => taskOf(state, job, 0, 0));
  assert.ok(guilty && beside);
  for (const worker of ['w1', 'w2']) {
    const runs = [guilty, beside].map(task => startOn(state, task, worker));
    runs.forEach(run => {
      loseRun(state, run, 'shared');
    });
  }
  startAndLose(state, beside, 'sole');
  assert.equal(isGivenUp(beside), true);
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
  assert.equal(isGivenUp(second), false);
  startAndLose(again, second, 'sole');
  assert.equal(isGivenUp(second), true);
});

test('losses that an earlier version recorded as lapses count once a later one leads', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (let run = 1; run <= 4; run += 1) {
    startOn(state, task, `w${run}`);
    const text = JSON.stringify(['e', 'a.0.0.0', run, 'lapsed']);
    const earlier = decodeJournal(new TextEncoder().encode(text));
    assert.ok(earlier);
    apply(state, earlier);
  }
  assert.equal(isGivenUp(task), false);
  startAndLose(state, task, 'sole');
  assert.equal(isGivenUp(task), true);
});

test('tasks of jobs that are over are suspected no more', () => {
  const state = stateWithJobs('a', 'b');
  for (const job of ['a', 'b']) {
    startAndLose(state, taskOf(state, job, 0, 0), 'shared');
  }
  applyInbox(state, { kind: 'cancel', job: 'a' });
  forgetOver(state, 0, 0);
  assert.deepEqual([...state.suspects], [taskOf(state, 'b', 0, 0)]);
});

/** How many losses at these ages, known to some 0.4 s, it takes until a task is given up; at most ten. */
function lossesUntilAbandonedAt(
  suspicion: Suspicion,
  ...ages: number[]
): number {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isGivenUp(task) && losses < 10) {
    const from = ages[losses % ages.length] ?? 0;
    startAndLose(state, task, suspicion, { from, to: from + 400 });
    losses += 1;
  }
  return losses;
}

// Seen: a sound lasting task given up where each worker is lost every 13 s, after five losses at any age.
test('a task that is lost at all ages is not given up, one that always is at the same is', () => {
  assert.equal(lossesUntilAbandonedAt('doubtful', 0, 1_500, 3_000, 4_500), 10);
  assert.equal(lossesUntilAbandonedAt('sole', 100, 4_000), 5);
  assert.equal(lossesUntilAbandonedAt('doubtful', 3_900, 3_600), 5);
  assert.equal(lossesUntilAbandonedAt('shared', 0), 4);
  assert.equal(lossesUntilAbandonedAt('sole', 0), 3);
});

test('a loss beside four at the same age does not keep a task from being given up', () => {
  assert.equal(lossesUntilAbandonedAt('doubtful', 0, 0, 3_000, 0, 0, 0), 6);
});

test('losses of which nothing is known but that they happened may all be at one age', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const from of [0, 2_000, 0, 4_000]) {
    startAndLose(state, task, 'doubtful', { from, to: Infinity });
  }
  assert.ok(!isGivenUp(task));
  startAndLose(state, task, 'doubtful', { from: 100, to: Infinity });
  assert.ok(isGivenUp(task));
});

// It crashes at the same work: at another age for each checkpoint from which it resumes.
test('runs that resumed from checkpoints of their own are not compared by their ages', () => {
  const state = stateWithJobs('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const [at, from] of [3_500, 700, 100].entries()) {
    task.checkpoint = at === 0 ? '' : `c${at}`;
    startAndLose(state, task, 'sole', { from, to: from + 100 });
  }
  assert.ok(isGivenUp(task));
});

test('a loss at an age that is hardly known is doubtful', () => {
  const state = stateWithJobs('a');
  const [run] = startTogether(state, 'a');
  assert.ok(run);
  const judge = (lostBy: number): Suspicion | undefined =>
    suspicionsOf(state, [run], { ...CONFIRMED_CRASH, lostBy }).get(run)
      ?.suspicion;
  assert.equal(judge(1_900), 'sole');
  assert.equal(judge(2_500), 'doubtful');
});

test('ages of losses are in the journal and in restated jobs', () => {
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
  apply(reader, read);
  assert.deepEqual(taskOf(reader, 'a', 0, 0).lossHistory.losses, [
    {
      worker: 'w1',
      suspicion: 'sole',
      age: { from: 100, to: 400 },
      resumedFrom: 'c',
    },
  ]);
});

// Seen: a sound task given up after three losses at one age by chance, where a worker starts again every 2 s.
test('workers that are lost without a task make its losses doubtful, its own do not', () => {
  const state = stateWithJobs('a', 'b');
  const small = { ...CONFIRMED_CRASH, fleetSize: 6 };
  const judge = (job: string): Suspicion | undefined => {
    const task = taskOf(state, job, 0, 0);
    const run = startOn(state, task, `${job}${task.lastRun + 1}`);
    const judged = suspicionsOf(state, [run], small).get(run);
    loseRun(state, run, judged?.suspicion ?? 'cleared', { from: 0, to: 0 });
    return judged?.suspicion;
  };
  assert.deepEqual([judge('a'), judge('a'), judge('a')], Array(3).fill('sole'));
  assert.equal(judge('b'), 'doubtful');
});
