import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '../core/time.js';
import { planSpeculativeCopies } from './speculative-copies.js';
import { refOf, type JobsState } from './jobs-state.js';
import type { Run, Task } from './job.js';
import { planStarts, type PlanInput } from './plan.js';
import type { PlanWorker } from './placement.js';
import {
  applyRecord,
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const SETTLED_MS = 5_000;
const WORKERS = ['w1', 'w2', 'w3'].map(id => testWorker(id));

/** Starts a task and loses its worker; the loss may have been caused by another job as well. */
function startAndLose(state: JobsState, task: Task): void {
  const { number } = startOn(state, task, `lost${task.lastRun}`);
  const lost = { task: refOf(task), run: number, checkpoint: '' };
  applyRecord(state, {
    kind: 'lost',
    ...lost,
    suspicion: 'shared',
    age: UNKNOWN_SPAN,
  });
}

function makeSuspect(state: JobsState, job: string, index = 0): Task {
  const task = taskOf(state, job, 0, index);
  startAndLose(state, task);
  startAndLose(state, task);
  return task;
}

function markSettled(run: Run): Run {
  if (run.progress !== undefined) {
    run.progress.confirmed = true;
    run.progress.seenAt = run.openedAt + SETTLED_MS;
  }
  return run;
}

/** Plans one round at `now` and returns the tasks that start, with their workers. */
function planRound(
  state: JobsState,
  workers: readonly PlanWorker[] = WORKERS,
  now = 0,
): string[] {
  const input: PlanInput = {
    ...planInput(state, workers),
    time: { now, nowWall: now },
    leadsSince: 0,
  };
  const started: string[] = [];
  planStarts(input, decision => {
    applyDecision(state, decision);
    const { job } = decision.task.step.occurrence;
    started.push(`${job.spec.id}${decision.task.index} ${decision.worker}`);
  });
  return started;
}

test('a suspected task starts on a worker without recently started runs, and nothing starts beside it', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 7 }]),
  );
  startOn(state, taskOf(state, 'b', 0, 0), 'w1');
  startOn(state, taskOf(state, 'b', 0, 1), 'w3');
  makeSuspect(state, 'a');
  const started = planRound(state);
  assert.equal(started[0], 'a0 w2');
  assert.equal(started.length, 6);
  assert.ok(started.slice(1).every(at => !at.endsWith('w2')));
});

test('other tasks start beside a suspected task once it has settled', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 3 }]),
  );
  const [only] = WORKERS;
  assert.ok(only);
  const run = startOn(state, makeSuspect(state, 'a'), 'w1');
  assert.deepEqual(planRound(state, [only]), []);
  markSettled(run);
  assert.deepEqual(planRound(state, [only]), ['b0 w1', 'b1 w1', 'b2 w1']);
});

test('if no worker is free, one is reserved, and the suspected task starts there once it is free', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 9 }]),
  );
  const busy = ['w1', 'w1', 'w2', 'w3', 'w3'].map((worker, at) =>
    startOn(state, taskOf(state, 'b', 0, at), worker),
  );
  makeSuspect(state, 'a');
  // w2 has the fewest other runs.
  const started = planRound(state);
  assert.deepEqual(started, ['b5 w1', 'b6 w1', 'b7 w3', 'b8 w3']);
  assert.deepEqual(planRound(state, WORKERS, 1_999), []);
  const [, , onReserved] = busy;
  assert.ok(onReserved);
  const end = { task: refOf(onReserved.task), run: 1, checkpoint: '' };
  applyRecord(state, { kind: 'end', ...end, how: 'done' });
  assert.deepEqual(planRound(state, WORKERS, 1_999), ['a0 w2']);
});

test('a suspected task that has waited too long starts on the worker with the fewest other runs', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 5 }]),
  );
  ['w1', 'w1', 'w2', 'w3', 'w3'].forEach((worker, at) =>
    startOn(state, taskOf(state, 'b', 0, at), worker),
  );
  makeSuspect(state, 'a');
  assert.deepEqual(planRound(state, WORKERS, 1_999), []);
  assert.deepEqual(planRound(state, WORKERS, 2_000), ['a0 w2']);
});

test('suspected tasks start on different workers', () => {
  const state = stateOf(testJob('a', [{ tasks: 3 }]));
  [0, 1, 2].forEach(index => makeSuspect(state, 'a', index));
  assert.deepEqual(planRound(state), ['a0 w1', 'a1 w2', 'a2 w3']);
});

test('after one loss the tasks that were lost together start on different workers', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 1 }]),
  );
  for (const job of ['a', 'b']) {
    startAndLose(state, taskOf(state, job, 0, 0));
  }
  assert.deepEqual(planRound(state).sort(), ['a0 w1', 'b0 w2']);
});

test('a suspected task blocks only one worker for the other tasks of its step', () => {
  const state = stateOf(testJob('a', [{ tasks: 5 }]));
  startOn(state, taskOf(state, 'a', 0, 1), 'w1');
  makeSuspect(state, 'a', 0);
  const [only] = WORKERS;
  assert.ok(only);
  const others = [only, testWorker('w2')];
  startOn(state, taskOf(state, 'a', 0, 2), 'w2');
  startOn(state, taskOf(state, 'a', 0, 3), 'w2');
  assert.deepEqual(planRound(state, others), ['a4 w2']);
});

test('all members of a gang with a suspected member start together', () => {
  const state = stateOf(testJob('a', [{ tasks: 3, gang: true }]));
  makeSuspect(state, 'a', 1);
  const tasks = state.jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
  assert.equal(tasks.length, 3);
  assert.equal(planRound(state).length, 3);
});

test('no speculative copy is started of a task with lost workers', () => {
  const state = stateOf(testJob('a', [{ tasks: 1, speculative: true }]));
  const task = taskOf(state, 'a', 0, 0);
  startAndLose(state, task);
  markSettled(startOn(state, task, 'w1'));
  const input = {
    ...planInput(state, WORKERS),
    time: { now: 60_000, nowWall: 0 },
  };
  const copies: string[] = [];
  planSpeculativeCopies(input, ({ worker }) => copies.push(worker));
  assert.equal(copies.length, 0);
  task.lossHistory.losses = [];
  planSpeculativeCopies(input, ({ worker }) => copies.push(worker));
  assert.equal(copies.length, 1);
});

/** Loses workers under a task together with others, so often that the next loss may decide. */
function loseOften(state: JobsState, task: Task): void {
  for (let at = 0; at < 4; at += 1) {
    const { number: run } = startOn(state, task, `lost${task.lastRun}`);
    const lost = { task: refOf(task), run, checkpoint: '' };
    const loss = { suspicion: 'doubtful', age: UNKNOWN_SPAN } as const;
    const record = { kind: 'lost', ...lost, ...loss } as const;
    applyRecord(state, { ...record, concurrentShare: 0.5 });
  }
}

function loseWorkers(state: JobsState, at: number): void {
  for (const worker of ['x1', 'x2', 'x3']) {
    state.lostContacts.noteLost(worker, at, new Set());
  }
}

// Guards against a task that costs more workers than callers accept: a loss among many others decides nothing.
test('a task that was lost often does not start while workers are lost together', () => {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  loseOften(state, taskOf(state, 'a', 0, 0));
  loseWorkers(state, 0);
  assert.deepEqual(planRound(state, WORKERS, 2_900), []);
  assert.deepEqual(planRound(state, WORKERS, 3_100), ['a0 w1']);
});

test('a task that was lost often waits no longer than 6 s', () => {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  loseOften(state, taskOf(state, 'a', 0, 0));
  loseWorkers(state, 5_000);
  assert.deepEqual(planRound(state, WORKERS, 5_900), []);
  assert.deepEqual(planRound(state, WORKERS, 6_100), ['a0 w1']);
});

test('a task that was lost less often starts while workers are lost together', () => {
  const state = stateOf(testJob('a', [{ tasks: 1 }]));
  startAndLose(state, taskOf(state, 'a', 0, 0));
  loseWorkers(state, 0);
  assert.deepEqual(planRound(state, WORKERS, 100), ['a0 w1']);
});

// Guards against several tasks that crash their workers at the same moment and so hide each other.
test('tasks of different jobs that were lost together start in turn', () => {
  const state = stateOf(...['a', 'b'].map(id => testJob(id, [{ tasks: 1 }])));
  loseOften(state, taskOf(state, 'a', 0, 0));
  loseOften(state, taskOf(state, 'b', 0, 0));
  assert.equal(planRound(state).length, 1);
  assert.equal(planRound(state, WORKERS, 1_400).length, 0);
  assert.equal(planRound(state, WORKERS, 1_600).length, 1);
});

test('tasks of many jobs that were lost together start at once', () => {
  const ids = Array.from({ length: 9 }, (_, at) => `j${at}`);
  const state = stateOf(...ids.map(id => testJob(id, [{ tasks: 1 }])));
  for (const id of ids) {
    loseOften(state, taskOf(state, id, 0, 0));
  }
  assert.equal(planRound(state).length, 9);
});
