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

/** Plans and applies a round; returns `job.step.index@worker` of each start. */
function runRound(input: PlanInput): string[] {
  const starts: string[] = [];
  planStarts(input, decision => {
    applyDecision(input.state, decision);
    const { step, index } = decision.task;
    const { id } = step.occurrence.job.spec;
    starts.push(`${id}.${step.number}.${index}@${decision.worker}`);
  });
  return starts;
}

test('never exceeds the processors of a worker', () => {
  const state = stateOf(testJob('j', [{ tasks: 9 }]));
  assert.equal(runRound(planInput(state, [testWorker('w')])).length, 4);
});

test('never exceeds the memory of a worker', () => {
  const size = { cpuMilli: 100, memoryMiB: 3_000, accelerators: 0 };
  const state = stateOf(testJob('j', [{ tasks: 9, size }]));
  assert.equal(runRound(planInput(state, [testWorker('w')])).length, 2);
});

test('a later step waits for the earlier one', () => {
  const state = stateOf(testJob('j', [{}, { after: [0] }]));
  const input = planInput(state, [testWorker('w')]);
  assert.deepEqual(runRound(input), ['j.0.0@w']);
  assert.deepEqual(runRound(input), []);
  const run = taskOf(state, 'j', 0, 0).runs[0];
  assert.ok(run);
  endRun(state, run, 'done');
  assert.deepEqual(runRound(input), ['j.1.0@w']);
});

test('lower priority numbers go first', () => {
  const state = stateOf(
    testJob('late', [{ tasks: 4 }], { priority: 2 }),
    testJob('first', [{ tasks: 4 }], { priority: 0 }),
  );
  const starts = runRound(planInput(state, [testWorker('w')]));
  assert.ok(starts.every(start => start.startsWith('first')));
});

test('within a priority the newest job goes first', () => {
  const state = stateOf(
    testJob('long', [{ tasks: 4, estimateMs: 9_000 }]),
    testJob('short', [{ tasks: 4, estimateMs: 500 }]),
  );
  const starts = runRound(planInput(state, [testWorker('w')]));
  assert.ok(starts.every(start => start.startsWith('short')));
});

test('a job that can no longer meet its objective goes after those that can', () => {
  const state = stateOf(
    testJob('old', [{ tasks: 4 }]),
    testJob('new', [{ tasks: 4, estimateMs: 9_000 }]),
  );
  const input = planInput(state, []);
  runRound(input);
  const later = { now: 60_000, nowWall: 60_000 };
  const fresh = state.jobs.get('new');
  assert.ok(fresh);
  fresh.seenAt = 60_000;
  const workers = [testWorker('w')];
  const starts = runRound({ ...input, workers, time: later });
  assert.ok(starts.every(start => start.startsWith('new')));
});

test('a job that is too late to be of any value goes after those that are late', () => {
  const state = stateOf(
    testJob('overdue', [{ tasks: 4 }]),
    testJob('late', [{ tasks: 4 }]),
  );
  const input = planInput(state, []);
  runRound(input);
  const late = state.jobs.get('late');
  assert.ok(late);
  // The objective is 2.5 s; results keep some value up to three times as long.
  late.seenAt = 56_000;
  const time = { now: 60_000, nowWall: 60_000 };
  const starts = runRound({ ...input, workers: [testWorker('w')], time });
  assert.ok(starts.every(start => start.startsWith('late')));
});

test('respects the limit of tasks per worker of a step', () => {
  const state = stateOf(testJob('j', [{ tasks: 4, maxPerWorker: 1 }]));
  const workers = [testWorker('a'), testWorker('b')];
  assert.equal(runRound(planInput(state, workers)).length, 2);
});

test('uses only workers with the label of a step', () => {
  const state = stateOf(testJob('j', [{ label: 'fast' }]));
  const workers = [testWorker('a'), testWorker('b', 'r1', 'fast')];
  assert.deepEqual(runRound(planInput(state, workers)), ['j.0.0@b']);
});

test('prefers the rack of the data', () => {
  const state = stateOf(testJob('j', [{ dataRack: 'r2' }]));
  const workers = [testWorker('a', 'r1'), testWorker('b', 'r2')];
  assert.deepEqual(runRound(planInput(state, workers)), ['j.0.0@b']);
});

test('uses only workers of the service', () => {
  const state = stateOf(testJob('j', [{}], { service: 'other' }));
  assert.deepEqual(runRound(planInput(state, [testWorker('w')])), []);
});

test('a job that fits nowhere does not block the others', () => {
  const size = { cpuMilli: 99_000, memoryMiB: 1, accelerators: 0 };
  const state = stateOf(testJob('big', [{ size }]), testJob('j', [{}]));
  assert.deepEqual(runRound(planInput(state, [testWorker('w')])), ['j.0.0@w']);
});

test('an untrusted worker gets one batch task at a time', () => {
  const state = stateOf(
    testJob('s', [{ lasting: true, tailTargetMs: 50 }]),
    testJob('j', [{ tasks: 3 }]),
  );
  startOn(state, taskOf(state, 's', 0, 0), 'w');
  const workers = [{ ...testWorker('w'), trusted: false }];
  assert.deepEqual(runRound(planInput(state, workers)), ['j.0.0@w']);
});

test('a task avoids the worker on which it failed', () => {
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  endRun(state, startOn(state, task, 'a'), 'failed');
  const workers = [testWorker('a'), testWorker('b')];
  assert.deepEqual(runRound(planInput(state, workers)), ['j.0.0@b']);
});

test('serving tasks are packed beside those of their image', () => {
  const serving = { lasting: true, tailTargetMs: 50, tasks: 1 };
  const state = stateOf(
    testJob('a', [{ ...serving, image: 'x' }]),
    testJob('b', [{ ...serving, image: 'y' }]),
    testJob('c', [{ ...serving, image: 'x' }]),
  );
  const starts = runRound(planInput(state, [testWorker('v'), testWorker('w')]));
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
  assert.deepEqual(runRound(input), []);
  const due = { ...input, time: { now: 0, nowWall: 1_600 } };
  assert.equal(runRound(due).length, 2);
});

test('a gang starts all tasks, under one run number, or none', () => {
  const state = stateOf(testJob('g', [{ tasks: 6, gang: true }]));
  assert.deepEqual(runRound(planInput(state, [testWorker('a')])), []);
  const workers = [testWorker('a'), testWorker('b')];
  assert.equal(runRound(planInput(state, workers)).length, 6);
  const numbers = taskOf(state, 'g', 0, 0).step.tasks.map(
    ({ lastRun }) => lastRun,
  );
  assert.deepEqual(new Set(numbers), new Set([1]));
});

test('a gang that asks for one rack gets one if it fits there', () => {
  const state = stateOf(
    testJob('g', [{ tasks: 6, gang: true, sameRack: true }]),
  );
  const workers = [
    testWorker('a', 'r1'),
    testWorker('b', 'r2'),
    testWorker('c', 'r2'),
  ];
  const starts = runRound(planInput(state, workers));
  assert.equal(starts.length, 6);
  assert.ok(starts.every(start => !start.endsWith('@a')));
});

test('a gang restarts only when no member is left, all from the same checkpoint', () => {
  const state = stateOf(testJob('g', [{ tasks: 2, gang: true }]));
  const input = planInput(state, [testWorker('a')]);
  runRound(input);
  const [first, second] = taskOf(state, 'g', 0, 0).step.tasks;
  const [left, right] = [first?.runs[0], second?.runs[0]];
  assert.ok(left && right);
  endRun(state, left, 'failed', 'half');
  assert.equal(isBrokenGang(right), true);
  assert.deepEqual(runRound(input), []);
  endRun(state, right, 'broken');
  assert.equal(runRound(input).length, 2);
  assert.deepEqual([first?.checkpoint, second?.checkpoint], ['half', 'half']);
});

test('a gang is done when one of its members is', () => {
  const state = stateOf(
    testJob('g', [{ tasks: 3, gang: true }, { after: [0] }]),
  );
  const input = planInput(state, [testWorker('a')]);
  runRound(input);
  const run = taskOf(state, 'g', 0, 1).runs[0];
  assert.ok(run);
  endRun(state, run, 'done');
  assert.equal(taskOf(state, 'g', 0, 0).step.remaining, 0);
  assert.deepEqual(runRound(input), ['g.1.0@a']);
});

test('a queue with advice waits for a ticket', () => {
  const advice = { decisionMs: 50, perWorkerMs: 5, validityMs: 3_000 };
  const state = stateOf(testJob('j', [{}], { advice }));
  const input = planInput(state, [testWorker('a'), testWorker('b')]);
  assert.deepEqual(runRound(input), []);
  const { step } = taskOf(state, 'j', 0, 0);
  const request = input.advice.requestFor(step, ['a', 'b'], 0);
  assert.deepEqual(request?.workers, ['a', 'b']);
  input.advice.recordAnswer(request, new Map([['b', 't-1']]), 3_000);
  assert.equal(input.advice.requestFor(step, ['a', 'b'], 0), undefined);
  const expired = input.advice.requestFor(step, ['a', 'b'], 4_000);
  assert.deepEqual(expired?.workers, ['b']);
  assert.deepEqual(runRound(input), ['j.0.0@b']);
});

/** Returns a round with a long-running task whose run ended `how`, and batch tasks that fill the worker. */
function endedLongRunning(how: 'failed' | 'lapsed'): PlanInput {
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

test('a long-running task that has just failed waits behind batch tasks', () => {
  assert.ok(!runRound(endedLongRunning('failed')).includes('lasting.0.0@w'));
});

test('a long-running task whose lease has expired starts first', () => {
  assert.equal(runRound(endedLongRunning('lapsed'))[0], 'lasting.0.0@w');
});

test('a long-running task that waited before this leader took over starts first', () => {
  const input = { ...endedLongRunning('failed'), leadsSince: 1_050 };
  assert.equal(runRound(input)[0], 'lasting.0.0@w');
});

test('a round starts no more tasks than its limit', () => {
  const state = stateOf(testJob('j', [{ tasks: 4 }]));
  const input = { ...planInput(state, [testWorker('w')]), maxStarts: 3 };
  assert.equal(runRound(input).length, 3);
});

// Guards against starvation on a saturated link: a steady supply of batch tasks used all of its bandwidth,
// and a long-running task never started.
test('a long-running task that never ran starts first once it has waited while the link is busy', () => {
  const planned = (isLinkBusy: boolean): string[][] => {
    const state = stateOf(
      testJob('ending', [{ tasks: 4 }]),
      testJob('lasting', [{ tasks: 1, lasting: true }]),
    );
    const input = planInput(state, [testWorker('w')]);
    const limited = { ...input, maxStarts: 1, isLinkBusy };
    const later = { ...limited, time: { now: 3_000, nowWall: 3_000 } };
    return [runRound(limited), runRound(later)];
  };
  assert.deepEqual(planned(true), [['ending.0.0@w'], ['lasting.0.0@w']]);
  assert.deepEqual(planned(false), [['ending.0.0@w'], ['ending.0.1@w']]);
});
