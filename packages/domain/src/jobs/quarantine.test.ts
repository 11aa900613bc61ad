import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '../core/time.js';
import { planSpeculativeCopies } from './speculative-copies.js';
import { refOf, type JobsState } from './jobs-state.js';
import type { Run, Task } from './job.js';
import { planStarts, type PlanInput } from './plan.js';
import type { PlanWorker } from './placement.js';
import {
  apply,
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const SETTLED = 5_000;
const WORKERS = ['w1', 'w2', 'w3'].map(id => testWorker(id));

/** Loses a run of a task with some worker, so that others may be the reason as well. */
function loseOnce(state: JobsState, task: Task): void {
  const { number } = startOn(state, task, `lost${task.lastRun}`);
  const lost = { task: refOf(task), run: number, checkpoint: '' };
  apply(state, {
    kind: 'lost',
    ...lost,
    suspicion: 'shared',
    age: UNKNOWN_SPAN,
  });
}

function suspect(state: JobsState, job: string, index = 0): Task {
  const task = taskOf(state, job, 0, index);
  loseOnce(state, task);
  loseOnce(state, task);
  return task;
}

function settle(run: Run): Run {
  if (run.progress !== undefined) {
    run.progress.confirmed = true;
    run.progress.seenAt = run.openedAt + SETTLED;
  }
  return run;
}

/** Plans one round at `now` and returns where tasks began. */
function round(
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

test('a suspected task begins where nothing else has just begun, and nothing joins it', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 7 }]),
  );
  startOn(state, taskOf(state, 'b', 0, 0), 'w1');
  startOn(state, taskOf(state, 'b', 0, 1), 'w3');
  suspect(state, 'a');
  const started = round(state);
  assert.equal(started[0], 'a0 w2');
  assert.equal(started.length, 6);
  assert.ok(started.slice(1).every(at => !at.endsWith('w2')));
});

test('others begin beside it once it has settled', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 3 }]),
  );
  const [only] = WORKERS;
  assert.ok(only);
  const run = startOn(state, suspect(state, 'a'), 'w1');
  assert.deepEqual(round(state, [only]), []);
  settle(run);
  assert.deepEqual(round(state, [only]), ['b0 w1', 'b1 w1', 'b2 w1']);
});

test('where no worker is free one is kept for it, and it waits no longer than it has to', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 9 }]),
  );
  const busy = ['w1', 'w1', 'w2', 'w3', 'w3'].map((worker, at) =>
    startOn(state, taskOf(state, 'b', 0, at), worker),
  );
  suspect(state, 'a');
  // w2 has the fewest others.
  const started = round(state);
  assert.deepEqual(started, ['b5 w1', 'b6 w1', 'b7 w3', 'b8 w3']);
  assert.deepEqual(round(state, WORKERS, 1_999), []);
  const [, , onKept] = busy;
  assert.ok(onKept);
  const end = { task: refOf(onKept.task), run: 1, checkpoint: '' };
  apply(state, { kind: 'end', ...end, how: 'done' });
  assert.deepEqual(round(state, WORKERS, 1_999), ['a0 w2']);
});

test('a suspected task that has waited for long begins beside the fewest others', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 5 }]),
  );
  ['w1', 'w1', 'w2', 'w3', 'w3'].forEach((worker, at) =>
    startOn(state, taskOf(state, 'b', 0, at), worker),
  );
  suspect(state, 'a');
  assert.deepEqual(round(state, WORKERS, 1_999), []);
  assert.deepEqual(round(state, WORKERS, 2_000), ['a0 w2']);
});

test('suspected tasks are kept apart from each other', () => {
  const state = stateOf(testJob('a', [{ tasks: 3 }]));
  [0, 1, 2].forEach(index => suspect(state, 'a', index));
  assert.deepEqual(round(state), ['a0 w1', 'a1 w2', 'a2 w3']);
});

test('after one loss tasks that were lost together go to different workers', () => {
  const state = stateOf(
    testJob('a', [{ tasks: 1 }]),
    testJob('b', [{ tasks: 1 }]),
  );
  for (const job of ['a', 'b']) {
    loseOnce(state, taskOf(state, job, 0, 0));
  }
  assert.deepEqual(round(state).sort(), ['a0 w1', 'b0 w2']);
});

test('a suspected task keeps no place from tasks like it', () => {
  const state = stateOf(testJob('a', [{ tasks: 5 }]));
  startOn(state, taskOf(state, 'a', 0, 1), 'w1');
  suspect(state, 'a', 0);
  const [only] = WORKERS;
  assert.ok(only);
  const others = [only, testWorker('w2')];
  startOn(state, taskOf(state, 'a', 0, 2), 'w2');
  startOn(state, taskOf(state, 'a', 0, 3), 'w2');
  assert.deepEqual(round(state, others), ['a4 w2']);
});

test('members of a suspected gang start together in the end', () => {
  const state = stateOf(testJob('a', [{ tasks: 3, gang: true }]));
  suspect(state, 'a', 1);
  const tasks = state.jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
  assert.equal(tasks.length, 3);
  assert.equal(round(state).length, 3);
});

test('no copy is started of a task under which a worker was lost', () => {
  const state = stateOf(testJob('a', [{ tasks: 1, speculative: true }]));
  const task = taskOf(state, 'a', 0, 0);
  loseOnce(state, task);
  settle(startOn(state, task, 'w1'));
  const input = {
    ...planInput(state, WORKERS),
    time: { now: 60_000, nowWall: 0 },
  };
  const copies: string[] = [];
  planSpeculativeCopies(input, ({ worker }) => copies.push(worker));
  assert.equal(copies.length, 0);
  task.blame.losses = [];
  planSpeculativeCopies(input, ({ worker }) => copies.push(worker));
  assert.equal(copies.length, 1);
});
