import assert from 'node:assert/strict';
import { test } from 'node:test';

import { planEvacuation } from './evacuation.js';
import type { Run } from './job.js';
import { planStarts, type Urgency } from './plan.js';
import {
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

/** One job of four lasting tasks, one of eight that end; a worker has room for four. */
const JOBS = [
  testJob('lasting', [{ tasks: 4, lasting: true }]),
  testJob('ending', [{ tasks: 8 }]),
];

function runOn(state: ReturnType<typeof stateOf>, index: number): Run {
  const run = startOn(state, taskOf(state, 'lasting', 0, index), 'leaving');
  assert.ok(run.progress);
  run.progress.confirmed = true;
  return run;
}

test('room for a lasting task that has to leave is not given to tasks that end', () => {
  const state = stateOf(...JOBS);
  const input = planInput(state, [testWorker('w')]);
  const { stop } = planEvacuation(input, [runOn(state, 0), runOn(state, 1)]);
  assert.equal(stop.length, 2);
  const started = planStarts(input, decision => {
    applyDecision(state, decision);
  });
  assert.equal(started, 2);
});

/** Has the run of the first lasting task leave with `urgency`; returns `job.index` of what starts in two places. */
function startsWith(urgency: Urgency, moving: readonly number[]): string[] {
  const state = stateOf(...JOBS);
  const size = { ...testWorker('w').info.capacity, cpuMilli: 2_000 };
  const { info } = testWorker('w');
  const worker = { info: { ...info, capacity: size }, trusted: true };
  const tasks = moving.map(at => taskOf(state, 'lasting', 0, at));
  const input = { ...planInput(state, [worker]), movingTasks: tasks };
  const leaving = runOn(state, 0);
  const starts: string[] = [];
  planStarts(
    input,
    decision => {
      applyDecision(state, decision);
      const { step, index } = decision.task;
      starts.push(`${step.occurrence.job.spec.id}.${index}`);
    },
    asked => {
      if (asked === urgency) {
        planEvacuation(input, [leaving]);
      }
    },
  );
  return starts;
}

test('an urgent lasting task has room kept ahead of all that waits', () => {
  assert.deepEqual(startsWith('urgent', []), ['ending.0']);
});

test('a patient one leaves room to tasks that end', () => {
  assert.deepEqual(startsWith('patient', []), ['ending.0', 'ending.1']);
});

test('lasting tasks that move have their places before those that have to leave', () => {
  assert.deepEqual(startsWith('urgent', [1, 2]), ['lasting.1', 'lasting.2']);
});

test('a patient lasting task has room kept ahead of lasting ones that wait', () => {
  const state = stateOf(testJob('lasting', [{ tasks: 9, lasting: true }]));
  const input = planInput(state, [testWorker('w')]);
  const leaving = [0, 1, 2].map(at => runOn(state, at));
  const started = planStarts(
    input,
    decision => {
      applyDecision(state, decision);
    },
    urgency => {
      planEvacuation(input, urgency === 'patient' ? leaving : []);
    },
  );
  assert.equal(started, 1);
});

test('tells why lasting tasks are still on a worker that leaves', () => {
  const gang = testJob('gang', [{ tasks: 1, lasting: true, gang: true }]);
  const state = stateOf(...JOBS, gang);
  const [full, unknown, stopping] = [0, 1, 2].map(at => runOn(state, at));
  const member = startOn(state, taskOf(state, 'gang', 0, 0), 'leaving');
  assert.ok(full && unknown?.progress && stopping?.progress);
  unknown.progress.confirmed = false;
  stopping.progress.stopping = true;
  const runs = [full, unknown, stopping, member];
  const { stop, stay } = planEvacuation(planInput(state, []), runs);
  assert.deepEqual(stop, []);
  assert.deepEqual(
    runs.map(run => stay.get(run)),
    ['no_room', 'not_confirmed', 'stopping', 'gang'],
  );
});
