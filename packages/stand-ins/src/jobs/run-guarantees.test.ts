import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Scenario, task } from './history.fixture.test.js';

const ONE = { tasks: 1, after: [] };
const COPIES = { ...ONE, speculative: true };

test('two concurrent runs of a task are a violation', () => {
  const scenario = new Scenario([ONE]);
  scenario.startRun(100, task(), 1, 'w1');
  scenario.startRun(200, task(), 2, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), ['one_place_at_a_time']);
});

test('consecutive runs of a task and speculative copies are no violations', () => {
  const scenario = new Scenario([ONE]);
  scenario.startRun(100, task(), 1, 'w1');
  scenario.endRun(200, task(), 1, 'stopped');
  scenario.startRun(200, task(), 2, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), []);
  const copied = new Scenario([COPIES]);
  copied.startRun(100, task(), 1, 'w1');
  copied.startRun(200, task(), 2, 'w2');
  assert.deepEqual(copied.violatedGuarantees(), []);
});

test('a run after an acknowledged end is a violation', () => {
  const scenario = new Scenario([ONE]);
  scenario.startRun(100, task(), 1);
  scenario.endRun(200, task(), 1, 'done');
  scenario.startRun(300, task(), 2);
  assert.deepEqual(scenario.violatedGuarantees(), ['finish_once']);
});

test('a speculative copy that starts over 1 s after an acknowledged end is a violation', () => {
  const scenario = new Scenario([COPIES]);
  scenario.startRun(100, task(), 1);
  scenario.endRun(200, task(), 1, 'done');
  scenario.startRun(1_201, task(), 2);
  assert.deepEqual(scenario.violatedGuarantees(), ['finish_once']);
});

test('a run after an unacknowledged end, or a copy soon after an end, is no violation', () => {
  const scenario = new Scenario([ONE]);
  scenario.startRun(100, task(), 1);
  scenario.endRunUnacknowledged(200, task(), 1, 'done');
  scenario.startRun(300, task(), 2);
  assert.deepEqual(scenario.violatedGuarantees(), []);
  const copied = new Scenario([COPIES]);
  copied.startRun(100, task(), 1);
  copied.endRun(200, task(), 1, 'done');
  copied.startRun(1_200, task(), 2);
  assert.deepEqual(copied.violatedGuarantees(), []);
});

test('a step that starts before the step it depends on is done is a violation', () => {
  const scenario = new Scenario([
    { tasks: 2, after: [] },
    { tasks: 1, after: [0] },
  ]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(100, task(1), 1);
  scenario.endRun(200, task(0), 1, 'done');
  scenario.startRun(300, task(0, 1), 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), ['steps_in_order']);
});

test('a step that starts after the step it depends on is no violation', () => {
  const scenario = new Scenario([ONE, { tasks: 1, after: [0] }]);
  scenario.startRun(100, task(), 1);
  scenario.endRun(200, task(), 1, 'done');
  scenario.startRun(200, task(0, 1), 1);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a step may start once one member of the gang it depends on is done', () => {
  const scenario = new Scenario([
    { tasks: 2, after: [], gang: true },
    { tasks: 1, after: [0] },
  ]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(100, task(1), 1);
  scenario.endRun(200, task(0), 1, 'done');
  scenario.startRun(200, task(0, 1), 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('an attempt beyond the maximum is a violation', () => {
  const scenario = new Scenario([ONE]);
  for (const run of [1, 2, 3]) {
    scenario.startRun(run * 100, task(), run);
    scenario.endRun(run * 100 + 50, task(), run, 'failed');
  }
  assert.deepEqual(scenario.violatedGuarantees(), ['attempts_bounded']);
});

test('a speculative copy that starts over 1 s after the last acknowledged attempt is a violation', () => {
  const scenario = new Scenario([COPIES]);
  for (const run of [1, 2]) {
    scenario.startRun(run * 100, task(), run);
    scenario.endRun(run * 100 + 50, task(), run, 'failed');
  }
  scenario.startRun(1_251, task(), 3);
  assert.deepEqual(scenario.violatedGuarantees(), ['attempts_bounded']);
});

test('stopped runs and failures of a long-running task do not count as attempts', () => {
  const scenario = new Scenario([ONE]);
  const longRunning = new Scenario([{ ...ONE, lasting: true }]);
  for (const run of [1, 2, 3]) {
    scenario.startRun(run * 100, task(), run);
    scenario.endRun(run * 100 + 50, task(), run, 'stopped');
    longRunning.startRun(run * 100, task(), run);
    longRunning.endRun(run * 100 + 50, task(), run, 'failed');
  }
  assert.deepEqual(scenario.violatedGuarantees(), []);
  assert.deepEqual(longRunning.violatedGuarantees(), []);
});

test('a run that starts over 3 s after the cancellation is a violation', () => {
  const scenario = new Scenario([ONE], { cancelledAt: 1_000 });
  scenario.startRun(4_001, task(), 1);
  assert.deepEqual(scenario.violatedGuarantees(), ['nothing_after_cancel']);
});

test('a run within 3 s of the cancellation, or on a delayed order, is no violation', () => {
  const scenario = new Scenario([ONE], { cancelledAt: 1_000 });
  scenario.startRun(4_000, task(), 1);
  scenario.endRun(4_100, task(), 1, 'stopped');
  scenario.startDelayedRun(9_000, task(), 2);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a third start after a task crashed three workers is a violation, a second one is not', () => {
  const scenario = new Scenario([ONE]);
  for (let run = 1; run <= 5; run += 1) {
    scenario.startRun(run * 100, task(), run, 'w1');
    scenario.crashWorker(run * 100 + 10, task(), run, 'w1');
  }
  assert.deepEqual(scenario.violatedGuarantees(), []);
  scenario.startRun(600, task(), 6, 'w1');
  assert.deepEqual(scenario.violatedGuarantees(), ['crashes_bounded']);
});
