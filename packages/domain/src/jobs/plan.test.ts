import assert from 'node:assert/strict';
import { test } from 'node:test';

import { planStarts, type PlanInput } from './plan.js';
import {
  applyDecision,
  endRun,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

/** Plans and applies one round; returns `job.step.index@worker` of each start. */
function round(input: PlanInput): string[] {
  const starts: string[] = [];
  planStarts(input, decision => {
    applyDecision(input.state, decision);
    const { step, index } = decision.task;
    const { id } = step.occurrence.job.spec;
    starts.push(`${id}.${step.number}.${index}@${decision.worker}`);
  });
  return starts;
}

test('never gives a worker more than its capacity', () => {
  const state = stateOf(testJob('j', [{ tasks: 9 }]));
  assert.equal(round(planInput(state, [testWorker('w')])).length, 4);
});

test('counts memory as well', () => {
  const size = { cpuMilli: 100, memoryMiB: 3_000, accelerators: 0 };
  const state = stateOf(testJob('j', [{ tasks: 9, size }]));
  assert.equal(round(planInput(state, [testWorker('w')])).length, 2);
});

test('a later step waits for the earlier one', () => {
  const state = stateOf(testJob('j', [{}, { after: [0] }]));
  const input = planInput(state, [testWorker('w')]);
  assert.deepEqual(round(input), ['j.0.0@w']);
  assert.deepEqual(round(input), []);
  const run = taskOf(state, 'j', 0, 0).runs[0];
  assert.ok(run);
  endRun(state, run, 'done');
  assert.deepEqual(round(input), ['j.1.0@w']);
});

test('lower priority numbers go first', () => {
  const state = stateOf(
    testJob('late', [{ tasks: 4 }], { priority: 2 }),
    testJob('first', [{ tasks: 4 }], { priority: 0 }),
  );
  const starts = round(planInput(state, [testWorker('w')]));
  assert.ok(starts.every(start => start.startsWith('first')));
});

test('within a priority the one that has to start soonest goes first', () => {
  const state = stateOf(
    testJob('long', [{ tasks: 4, estimateMs: 9_000 }]),
    testJob('short', [{ tasks: 4, estimateMs: 500 }]),
  );
  const starts = round(planInput(state, [testWorker('w')]));
  assert.ok(starts.every(start => start.startsWith('short')));
});

test('a job that can no longer meet its objective goes behind those that can', () => {
  const state = stateOf(
    testJob('old', [{ tasks: 4 }]),
    testJob('new', [{ tasks: 4, estimateMs: 9_000 }]),
  );
  const input = planInput(state, []);
  round(input);
  const later = { now: 60_000, nowWall: 60_000 };
  const fresh = state.jobs.get('new');
  assert.ok(fresh);
  fresh.seenAt = 60_000;
  const workers = [testWorker('w')];
  const starts = round({ ...input, workers, time: later });
  assert.ok(starts.every(start => start.startsWith('new')));
});

test('spreads a step as far as it asks for', () => {
  const state = stateOf(testJob('j', [{ tasks: 4, maxPerWorker: 1 }]));
  const workers = [testWorker('a'), testWorker('b')];
  assert.equal(round(planInput(state, workers)).length, 2);
});

test('only workers with the label that a step needs', () => {
  const state = stateOf(testJob('j', [{ label: 'fast' }]));
  const workers = [testWorker('a'), testWorker('b', ['fast'])];
  assert.deepEqual(round(planInput(state, workers)), ['j.0.0@b']);
});

test('prefers the rack of the data', () => {
  const state = stateOf(testJob('j', [{ dataRack: 'r2' }]));
  const workers = [testWorker('a', ['r1']), testWorker('b', ['r2'])];
  assert.deepEqual(round(planInput(state, workers)), ['j.0.0@b']);
});

test('only workers of the service', () => {
  const state = stateOf(testJob('j', [{}], { service: 'other' }));
  assert.deepEqual(round(planInput(state, [testWorker('w')])), []);
});

test('a job that fits nowhere does not hold up the others', () => {
  const size = { cpuMilli: 99_000, memoryMiB: 1, accelerators: 0 };
  const state = stateOf(testJob('big', [{ size }]), testJob('j', [{}]));
  assert.deepEqual(round(planInput(state, [testWorker('w')])), ['j.0.0@w']);
});

test('a worker that has to prove itself gets one run that ends', () => {
  const state = stateOf(
    testJob('s', [{ lasting: true, tailTargetMs: 50 }]),
    testJob('j', [{ tasks: 3 }]),
  );
  startOn(state, taskOf(state, 's', 0, 0), 'w');
  const workers = [{ ...testWorker('w'), trusted: false }];
  assert.deepEqual(round(planInput(state, workers)), ['j.0.0@w']);
});

test('a task avoids the worker on which it failed', () => {
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  endRun(state, startOn(state, task, 'a'), 'failed');
  const workers = [testWorker('a'), testWorker('b')];
  assert.deepEqual(round(planInput(state, workers)), ['j.0.0@b']);
});

test('tasks that serve are packed beside those of their image', () => {
  const serving = { lasting: true, tailTargetMs: 50, tasks: 1 };
  const state = stateOf(
    testJob('a', [{ ...serving, image: 'x' }]),
    testJob('b', [{ ...serving, image: 'y' }]),
    testJob('c', [{ ...serving, image: 'x' }]),
  );
  const starts = round(planInput(state, [testWorker('v'), testWorker('w')]));
  const place = new Map(
    starts.map(start => start.split('@') as [string, string]),
  );
  assert.equal(place.get('a.0.0'), place.get('c.0.0'));
  assert.notEqual(place.get('a.0.0'), place.get('b.0.0'));
});

test('an occurrence starts when it is due', () => {
  const repetition = { times: 2, firstAtWall: 1_000, everyMs: 500 };
  const state = stateOf({ ...testJob('j', [{}]), repetition });
  const input = planInput(state, [testWorker('w')]);
  assert.deepEqual(round(input), []);
  const due = { ...input, time: { now: 0, nowWall: 1_600 } };
  assert.equal(round(due).length, 2);
});
