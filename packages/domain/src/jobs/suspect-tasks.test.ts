import assert from 'node:assert/strict';
import { test } from 'node:test';

import { suspicionPercent, isAbandoned, workersLostUnder } from './suspect-tasks.js';
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
  apply,
  stateOf,
  startOn,
  taskOf,
  testJob,
  endRun,
} from './test-support.js';

const CALM: LossEvidence = {
  lossKind: 'crashed',
  fleetSize: 40,
  lostBy: 0,
  now: 0,
  leadsSince: 0,
};

function siteOf(...jobs: string[]): JobsState {
  return stateOf(...jobs.map(id => testJob(id, [{ tasks: 3 }])));
}

/** Runs the first task of each job on one worker. */
function together(state: JobsState, ...jobs: string[]): Run[] {
  return jobs.map(job => startOn(state, taskOf(state, job, 0, 0), 'w'));
}

/** Makes a run be known to have been at work for `span`. */
function workFor(run: Run, span: number): void {
  if (run.progress !== undefined) {
    run.progress.confirmed = true;
    run.progress.seenAt = run.openedAt + span;
  }
}

function lose(
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

function loseNext(
  state: JobsState,
  task: Task,
  suspicion: Suspicion,
  age = UNKNOWN_SPAN,
): void {
  lose(state, startOn(state, task, `w${task.lastRun + 1}`), suspicion, age);
}

function told(judged: ReadonlyMap<Run, LossAttribution>): Suspicion[] {
  return [...judged.values()].map(({ suspicion }) => suspicion);
}

function lossesUntilGivenUp(...suspicions: Suspicion[]): number {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isAbandoned(task)) {
    loseNext(state, task, suspicions[losses] ?? suspicions.at(-1) ?? 'sole');
    losses += 1;
  }
  return losses;
}

test('only what began lately can be the reason of a loss', () => {
  const state = siteOf('a', 'b');
  const [recent, settled] = together(state, 'a', 'b');
  assert.ok(recent && settled);
  workFor(recent, SETTLED_MS - 1);
  workFor(settled, SETTLED_MS);
  const found = attributeLoss(state, [recent, settled], CALM);
  assert.deepEqual(told(found), ['sole', 'cleared']);
});

test('tasks of several jobs share the suspicion, those of one job have it alone', () => {
  const state = siteOf('a', 'b');
  const runs = together(state, 'a', 'b');
  const shared = attributeLoss(state, runs, CALM);
  assert.deepEqual(told(shared), ['shared', 'shared']);
  const second = startOn(state, taskOf(state, 'a', 0, 1), 'w');
  const own = runs.slice(0, 1).concat(second);
  const sole = attributeLoss(state, own, CALM);
  assert.deepEqual(told(sole), ['sole', 'sole']);
});

test('a worker that may only be out of reach raises doubts', () => {
  const state = siteOf('a');
  const runs = together(state, 'a');
  const found = attributeLoss(state, runs, { ...CALM, lossKind: 'unknown' });
  assert.deepEqual(told(found), ['doubtful']);
});

test('where workers are lost with nothing to blame, losses say little', () => {
  const state = siteOf('a', 'b');
  const [run] = together(state, 'a');
  assert.ok(run);
  const other = taskOf(state, 'b', 0, 0);
  const small = { ...CALM, fleetSize: 6 };
  const judge = (evidence: LossEvidence): Suspicion | undefined =>
    attributeLoss(state, [run], evidence).get(run)?.suspicion;
  assert.equal(judge(small), 'sole');
  // One in a minute, of six: a sound worker is lost within 5 s with a chance above a hundredth.
  loseNext(state, other, 'unexplained');
  assert.equal(judge(small), 'doubtful');
  assert.equal(judge(CALM), 'sole');
  for (let loss = 2; loss <= 5; loss += 1) {
    loseNext(state, other, 'unexplained');
  }
  assert.equal(judge(CALM), 'doubtful');
  const later = { ...small, now: 60_000 };
  assert.equal(judge(later), 'sole');
});

test('a task is given up after three to five losses, by what else could be the reason', () => {
  assert.equal(lossesUntilGivenUp('sole'), 3);
  assert.equal(lossesUntilGivenUp('shared', 'sole'), 3);
  assert.equal(lossesUntilGivenUp('shared', 'shared', 'sole'), 3);
  assert.equal(lossesUntilGivenUp('shared'), 4);
  assert.equal(lossesUntilGivenUp('doubtful'), 5);
  assert.equal(lossesUntilGivenUp('sole', 'sole', 'doubtful'), 5);
  assert.equal(lossesUntilGivenUp('doubtful', 'shared', 'shared', 'sole'), 4);
});

test('the job of a task that is given up has failed, also where the task lasts', () => {
  const state = stateOf(testJob('a', [{ tasks: 2, lasting: true }]));
  const task = taskOf(state, 'a', 0, 0);
  loseNext(state, task, 'shared');
  loseNext(state, task, 'sole');
  const { job } = task.step.occurrence;
  assert.equal(statusOf(job), 'queued');
  loseNext(state, task, 'sole');
  assert.equal(statusOf(job), 'failed');
  assert.deepEqual(workersLostUnder(task), ['w1', 'w2', 'w3']);
  assert.equal(state.open.has(job), false);
});

test('a run that had long been at work clears its task', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  loseNext(state, task, 'sole');
  loseNext(state, task, 'sole');
  loseNext(state, task, 'cleared');
  loseNext(state, task, 'sole');
  assert.equal(isAbandoned(task), false);
  assert.deepEqual(workersLostUnder(task), ['w4']);
});

test('ends that are no losses add no blame', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const how of ['lapsed', 'void', 'stopped', 'broken'] as const) {
    endRun(state, startOn(state, task, 'w'), how);
  }
  assert.equal(suspicionPercent(task), 0);
});

test('blame outlives the records of the losses', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  loseNext(state, task, 'sole');
  loseNext(state, task, 'sole');
  const reader = stateOf();
  const image = imageOf(task.step.occurrence.job, state);
  apply(reader, { kind: 'restate', image });
  const restored = taskOf(reader, 'a', 0, 0);
  assert.deepEqual(workersLostUnder(restored), ['w1', 'w2']);
  loseNext(reader, restored, 'sole');
  assert.ok(isAbandoned(restored));
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
  const state = siteOf('a', 'b');
  const [guilty, beside] = ['a', 'b'].map(job => taskOf(state, job, 0, 0));
  assert.ok(guilty && beside);
  for (const worker of ['w1', 'w2']) {
    const runs = [guilty, beside].map(task => startOn(state, task, worker));
    runs.forEach(run => {
      lose(state, run, 'shared');
    });
  }
  loseNext(state, beside, 'sole');
  assert.equal(isAbandoned(beside), true);
  const again = siteOf('a', 'b');
  const [first, second] = ['a', 'b'].map(job => taskOf(again, job, 0, 0));
  assert.ok(first && second);
  for (const worker of ['w1', 'w2']) {
    const runs = [first, second].map(task => startOn(again, task, worker));
    runs.forEach(run => {
      lose(again, run, 'shared');
    });
  }
  loseNext(again, first, 'sole');
  loseNext(again, second, 'sole');
  assert.equal(isAbandoned(second), false);
  loseNext(again, second, 'sole');
  assert.equal(isAbandoned(second), true);
});

test('losses that an earlier version recorded as lapses count once a later one leads', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  for (let run = 1; run <= 4; run += 1) {
    startOn(state, task, `w${run}`);
    const text = JSON.stringify(['e', 'a.0.0.0', run, 'lapsed']);
    const earlier = decodeJournal(new TextEncoder().encode(text));
    assert.ok(earlier);
    apply(state, earlier);
  }
  assert.equal(isAbandoned(task), false);
  loseNext(state, task, 'sole');
  assert.equal(isAbandoned(task), true);
});

test('tasks of jobs that are over are suspected no more', () => {
  const state = siteOf('a', 'b');
  for (const job of ['a', 'b']) {
    loseNext(state, taskOf(state, job, 0, 0), 'shared');
  }
  applyInbox(state, { kind: 'cancel', job: 'a' });
  forgetFinishedJobs(state, 0, 0);
  assert.deepEqual([...state.suspects], [taskOf(state, 'b', 0, 0)]);
});

/** How many losses at these ages, known to some 0.4 s, it takes until a task is given up; at most ten. */
function lossesAt(suspicion: Suspicion, ...ages: number[]): number {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  let losses = 0;
  while (!isAbandoned(task) && losses < 10) {
    const from = ages[losses % ages.length] ?? 0;
    loseNext(state, task, suspicion, { from, to: from + 400 });
    losses += 1;
  }
  return losses;
}

// Seen: a sound lasting task given up where each worker is lost every 13 s, after five losses at any age.
test('a task that is lost at all ages is not given up, one that always is at the same is', () => {
  assert.equal(lossesAt('doubtful', 0, 1_500, 3_000, 4_500), 10);
  assert.equal(lossesAt('sole', 100, 4_000), 5);
  assert.equal(lossesAt('doubtful', 3_900, 3_600), 5);
  assert.equal(lossesAt('shared', 0), 4);
  assert.equal(lossesAt('sole', 0), 3);
});

test('a loss beside four at the same age does not keep a task from being given up', () => {
  assert.equal(lossesAt('doubtful', 0, 0, 3_000, 0, 0, 0), 6);
});

test('losses of which nothing is known but that they happened may all be at one age', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const from of [0, 2_000, 0, 4_000]) {
    loseNext(state, task, 'doubtful', { from, to: Infinity });
  }
  assert.ok(!isAbandoned(task));
  loseNext(state, task, 'doubtful', { from: 100, to: Infinity });
  assert.ok(isAbandoned(task));
});

// It crashes at the same work: at another age for each checkpoint from which it resumes.
test('runs that resumed from checkpoints of their own are not compared by their ages', () => {
  const state = siteOf('a');
  const task = taskOf(state, 'a', 0, 0);
  for (const [at, from] of [3_500, 700, 100].entries()) {
    task.checkpoint = at === 0 ? '' : `c${at}`;
    loseNext(state, task, 'sole', { from, to: from + 100 });
  }
  assert.ok(isAbandoned(task));
});

test('a loss at an age that is hardly known is doubtful', () => {
  const state = siteOf('a');
  const [run] = together(state, 'a');
  assert.ok(run);
  const judge = (lostBy: number): Suspicion | undefined =>
    attributeLoss(state, [run], { ...CALM, lostBy }).get(run)?.suspicion;
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
  const state = siteOf('a');
  const lostTask = taskOf(state, 'a', 0, 0);
  lostTask.checkpoint = 'c';
  loseNext(state, lostTask, 'sole', { from: 100, to: 400 });
  const image = imageOf(lostTask.step.occurrence.job, state);
  const read = decodeJournal(encodeRecord({ kind: 'restate', image }));
  assert.ok(read?.kind === 'restate');
  const reader = stateOf();
  apply(reader, read);
  assert.deepEqual(taskOf(reader, 'a', 0, 0).blame.losses, [
    {
      worker: 'w1',
      charge: 'sole',
      age: { from: 100, to: 400 },
      resumedFrom: 'c',
    },
  ]);
});

// Seen: a sound task given up after three losses at one age by chance, where a worker starts again every 2 s.
test('workers that are lost without a task make its losses doubtful, its own do not', () => {
  const state = siteOf('a', 'b');
  const small = { ...CALM, fleetSize: 6 };
  const judge = (job: string): Suspicion | undefined => {
    const task = taskOf(state, job, 0, 0);
    const run = startOn(state, task, `${job}${task.lastRun + 1}`);
    const judged = attributeLoss(state, [run], small).get(run);
    lose(state, run, judged?.suspicion ?? 'cleared', { from: 0, to: 0 });
    return judged?.suspicion;
  };
  assert.deepEqual([judge('a'), judge('a'), judge('a')], Array(3).fill('sole'));
  assert.equal(judge('b'), 'doubtful');
});
