import assert from 'node:assert/strict';
import { test } from 'node:test';

import { planMovesOffLeaving } from './moves-off-leaving.js';
import type { Run } from './job.js';
import { planStarts, type MoveUrgency } from './plan.js';
import {
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

/** A job of four long-running tasks, and one of eight batch tasks; a worker has capacity for four. */
const JOBS = [
  testJob('lasting', [{ tasks: 4, lasting: true }]),
  testJob('ending', [{ tasks: 8 }]),
];

function startOnLeaving(state: ReturnType<typeof stateOf>, index: number): Run {
  const run = startOn(state, taskOf(state, 'lasting', 0, index), 'leaving');
  assert.ok(run.progress);
  run.progress.confirmed = true;
  return run;
}

test('capacity for a long-running task that has to move is not given to batch tasks', () => {
  const state = stateOf(...JOBS);
  const input = planInput(state, [testWorker('w')]);
  const { stop } = planMovesOffLeaving(input, [
    startOnLeaving(state, 0),
    startOnLeaving(state, 1),
  ]);
  assert.equal(stop.length, 2);
  const started = planStarts(input, decision => {
    applyDecision(state, decision);
  });
  assert.equal(started, 2);
});

/** Moves a long-running task off a leaving worker with `urgency`; returns `job.index` of each start on a worker for two. */
function startsWhileLeaving(
  urgency: MoveUrgency,
  moving: readonly number[],
): string[] {
  const state = stateOf(...JOBS);
  const size = { ...testWorker('w').info.capacity, cpuMilli: 2_000 };
  const { info } = testWorker('w');
  const worker = { info: { ...info, capacity: size }, trusted: true };
  const tasks = moving.map(at => taskOf(state, 'lasting', 0, at));
  const input = { ...planInput(state, [worker]), movingTasks: tasks };
  const leaving = startOnLeaving(state, 0);
  const starts: string[] = [];
  planStarts(
    input,
    decision => {
      applyDecision(state, decision);
      const { step, index } = decision.task;
      starts.push(`${step.occurrence.job.spec.id}.${index}`);
    },
    current => {
      if (current === urgency) {
        planMovesOffLeaving(input, [leaving]);
      }
    },
  );
  return starts;
}

test('capacity for an urgent long-running task is reserved before all waiting tasks', () => {
  assert.deepEqual(startsWhileLeaving('urgent', []), ['ending.0']);
});

test('a patient long-running task leaves capacity to batch tasks', () => {
  assert.deepEqual(startsWhileLeaving('patient', []), ['ending.0', 'ending.1']);
});

test('moving long-running tasks start before capacity is reserved for further ones', () => {
  assert.deepEqual(startsWhileLeaving('urgent', [1, 2]), [
    'lasting.1',
    'lasting.2',
  ]);
});

test('capacity for a patient long-running task is reserved before waiting ones', () => {
  const state = stateOf(testJob('lasting', [{ tasks: 9, lasting: true }]));
  const input = planInput(state, [testWorker('w')]);
  const leaving = [0, 1, 2].map(at => startOnLeaving(state, at));
  const started = planStarts(
    input,
    decision => {
      applyDecision(state, decision);
    },
    urgency => {
      planMovesOffLeaving(input, urgency === 'patient' ? leaving : []);
    },
  );
  assert.equal(started, 1);
});

test('returns why long-running tasks stay on a leaving worker', () => {
  const gang = testJob('gang', [{ tasks: 1, lasting: true, gang: true }]);
  const state = stateOf(...JOBS, gang);
  const [full, unknown, stopping] = [0, 1, 2].map(at =>
    startOnLeaving(state, at),
  );
  const member = startOn(state, taskOf(state, 'gang', 0, 0), 'leaving');
  assert.ok(full && unknown?.progress && stopping?.progress);
  unknown.progress.confirmed = false;
  stopping.progress.stopping = true;
  const runs = [full, unknown, stopping, member];
  const { stop, stay } = planMovesOffLeaving(planInput(state, []), runs);
  assert.deepEqual(stop, []);
  assert.deepEqual(
    runs.map(run => stay.get(run)),
    ['no_room', 'not_confirmed', 'stopping', 'gang'],
  );
});
