import assert from 'node:assert/strict';
import { test } from 'node:test';

import { isBrokenGang } from './gang.js';
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

test('a job that is too late to be worth anything goes behind those that are late', () => {
  const state = stateOf(
    testJob('overdue', [{ tasks: 4 }]),
    testJob('late', [{ tasks: 4 }]),
  );
  const input = planInput(state, []);
  round(input);
  const late = state.jobs.get('late');
  assert.ok(late);
  // The objective is 2.5 s; three times as much are still worth something.
  late.seenAt = 56_000;
  const time = { now: 60_000, nowWall: 60_000 };
  const starts = round({ ...input, workers: [testWorker('w')], time });
  assert.ok(starts.every(start => start.startsWith('late')));
});

test('spreads a step as far as it asks for', () => {
  const state = stateOf(testJob('j', [{ tasks: 4, maxPerWorker: 1 }]));
  const workers = [testWorker('a'), testWorker('b')];
  assert.equal(round(planInput(state, workers)).length, 2);
});

test('only workers with the label that a step needs', () => {
  const state = stateOf(testJob('j', [{ label: 'fast' }]));
  const workers = [testWorker('a'), testWorker('b', 'r1', 'fast')];
  assert.deepEqual(round(planInput(state, workers)), ['j.0.0@b']);
});

test('prefers the rack of the data', () => {
  const state = stateOf(testJob('j', [{ dataRack: 'r2' }]));
  const workers = [testWorker('a', 'r1'), testWorker('b', 'r2')];
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

test('a gang starts whole, under one run number, or not at all', () => {
  const state = stateOf(testJob('g', [{ tasks: 6, gang: true }]));
  assert.deepEqual(round(planInput(state, [testWorker('a')])), []);
  const workers = [testWorker('a'), testWorker('b')];
  assert.equal(round(planInput(state, workers)).length, 6);
  const numbers = taskOf(state, 'g', 0, 0).step.tasks.map(
    ({ lastRun }) => lastRun,
  );
  assert.deepEqual(new Set(numbers), new Set([1]));
});

test('a gang that asks for one rack gets one where there is room', () => {
  const state = stateOf(
    testJob('g', [{ tasks: 6, gang: true, sameRack: true }]),
  );
  const workers = [
    testWorker('a', 'r1'),
    testWorker('b', 'r2'),
    testWorker('c', 'r2'),
  ];
  const starts = round(planInput(state, workers));
  assert.equal(starts.length, 6);
  assert.ok(starts.every(start => !start.endsWith('@a')));
});

test('a gang runs again only when no member is left, from one checkpoint', () => {
  const state = stateOf(testJob('g', [{ tasks: 2, gang: true }]));
  const input = planInput(state, [testWorker('a')]);
  round(input);
  const [first, second] = taskOf(state, 'g', 0, 0).step.tasks;
  const [left, right] = [first?.runs[0], second?.runs[0]];
  assert.ok(left && right);
  endRun(state, left, 'failed', 'half');
  assert.equal(isBrokenGang(right), true);
  assert.deepEqual(round(input), []);
  endRun(state, right, 'broken');
  assert.equal(round(input).length, 2);
  assert.deepEqual([first?.checkpoint, second?.checkpoint], ['half', 'half']);
});

test('one member that is done stands for its gang', () => {
  const state = stateOf(
    testJob('g', [{ tasks: 3, gang: true }, { after: [0] }]),
  );
  const input = planInput(state, [testWorker('a')]);
  round(input);
  const run = taskOf(state, 'g', 0, 1).runs[0];
  assert.ok(run);
  endRun(state, run, 'done');
  assert.equal(taskOf(state, 'g', 0, 0).step.remaining, 0);
  assert.deepEqual(round(input), ['g.1.0@a']);
});

test('a queue with advice waits for a ticket', () => {
  const advice = { decisionMs: 50, perWorkerMs: 5, validityMs: 3_000 };
  const state = stateOf(testJob('j', [{}], { advice }));
  const input = planInput(state, [testWorker('a'), testWorker('b')]);
  assert.deepEqual(round(input), []);
  const { step } = taskOf(state, 'j', 0, 0);
  const question = input.advice.requestFor(step, ['a', 'b'], 0);
  assert.deepEqual(question?.workers, ['a', 'b']);
  input.advice.recordAnswer(question, new Map([['b', 't-1']]), 3_000);
  assert.equal(input.advice.requestFor(step, ['a', 'b'], 0), undefined);
  const expired = input.advice.requestFor(step, ['a', 'b'], 4_000);
  assert.deepEqual(expired?.workers, ['b']);
  assert.deepEqual(round(input), ['j.0.0@b']);
});

/** A lasting task whose run has ended `how`, and as many tasks that end as the worker has places. */
function waitingLasting(how: 'failed' | 'lapsed'): PlanInput {
  const state = stateOf(
    testJob('lasting', [{ tasks: 1, lasting: true }]),
    testJob('ending', [{ tasks: 4 }]),
  );
  const run = startOn(state, taskOf(state, 'lasting', 0, 0), 'lost');
  state.now = 1_000;
  endRun(state, run, how);
  const time = { now: 1_100, nowWall: 1_100 };
  return { ...planInput(state, [testWorker('w')]), time };
}

test('a lasting task that has just failed waits behind tasks that end', () => {
  assert.ok(!round(waitingLasting('failed')).includes('lasting.0.0@w'));
});

test('a lasting task whose lease has lapsed waits no longer', () => {
  assert.equal(round(waitingLasting('lapsed'))[0], 'lasting.0.0@w');
});

test('a lasting task that waited before this leader took over waits no longer', () => {
  const input = { ...waitingLasting('failed'), leadsSince: 1_050 };
  assert.equal(round(input)[0], 'lasting.0.0@w');
});

test('no more tasks of a step start than may be under way', () => {
  const state = stateOf(testJob('j', [{ tasks: 4 }]));
  const input = { ...planInput(state, [testWorker('w')]), mostStarts: 3 };
  assert.equal(round(input).length, 3);
});

// Tasks that end take each turn on a full link for as long as more of them come: a lasting one never began.
test('a lasting task that never ran goes first once it has waited while the link is busy', () => {
  const planned = (isLinkBusy: boolean): string[][] => {
    const state = stateOf(
      testJob('ending', [{ tasks: 4 }]),
      testJob('lasting', [{ tasks: 1, lasting: true }]),
    );
    const input = planInput(state, [testWorker('w')]);
    const paced = { ...input, mostStarts: 1, isLinkBusy };
    const later = { ...paced, time: { now: 3_000, nowWall: 3_000 } };
    return [round(paced), round(later)];
  };
  assert.deepEqual(planned(true), [['ending.0.0@w'], ['lasting.0.0@w']]);
  assert.deepEqual(planned(false), [['ending.0.0@w'], ['ending.0.1@w']]);
});
