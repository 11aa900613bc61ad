import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Scenario, SIZE, task } from './history.fixture.test.js';

const THREE = { tasks: 3, after: [], size: SIZE };

test('a start over 2 s after its worker announced that it is leaving is a violation', () => {
  const scenario = new Scenario([THREE]);
  scenario.now = 1_000;
  scenario.history.recordLeaving('w1');
  scenario.startRun(3_001, task(), 1);
  assert.deepEqual(scenario.violatedGuarantees(), ['not_on_leaving']);
});

test('a start soon after the announcement, a delayed one and one elsewhere are no violations', () => {
  const scenario = new Scenario([THREE]);
  scenario.now = 1_000;
  scenario.history.recordLeaving('w1');
  scenario.startRun(3_000, task(0), 1);
  scenario.startDelayedRun(9_000, task(1), 1);
  scenario.startRun(9_000, task(2), 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a start over 5 s after its zone was evacuated and before that is taken back is a violation', () => {
  const scenario = new Scenario([THREE]);
  scenario.now = 1_000;
  scenario.history.recordEvacuation('a');
  scenario.startRun(6_001, task(), 1);
  scenario.now = 7_000;
  scenario.history.recordEvacuationEnd('a');
  assert.deepEqual(scenario.violatedGuarantees(), ['not_in_evacuated']);
});

test('a start soon after an evacuation, after its end, a delayed one and one elsewhere are no violations', () => {
  const scenario = new Scenario([THREE]);
  scenario.addWorker('w3', [], 'b');
  scenario.now = 1_000;
  scenario.history.recordEvacuation('a');
  scenario.startRun(6_000, task(0), 1);
  scenario.startDelayedRun(7_000, task(1), 1);
  scenario.startRun(7_000, task(2), 1, 'w3');
  scenario.now = 8_000;
  scenario.history.recordEvacuationEnd('a');
  scenario.startRun(8_100, task(0, 0), 2, 'w2');
  assert.ok(!scenario.violatedGuarantees().includes('not_in_evacuated'));
});

test('a start beyond the capacity of its worker is a violation', () => {
  const scenario = new Scenario([THREE]);
  for (const index of [0, 1, 2]) {
    scenario.startRun(100, task(index), 1);
  }
  assert.deepEqual(scenario.violatedGuarantees(), ['within_room']);
});

test('a start beyond the capacity is a violation even if its order was delayed', () => {
  const scenario = new Scenario([THREE]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(100, task(1), 1);
  scenario.startDelayedRun(200, task(2), 1);
  assert.deepEqual(scenario.violatedGuarantees(), ['within_room']);
});

test('a best-effort filler beyond the memory of its worker is a violation', () => {
  const scenario = new Scenario([{ ...THREE, filler: true }]);
  for (const index of [0, 1, 2]) {
    scenario.startRun(100, task(index), 1);
  }
  assert.deepEqual(scenario.violatedGuarantees(), ['within_room']);
});

test('a start on capacity that has just become free is no violation', () => {
  const scenario = new Scenario([THREE]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(100, task(1), 1);
  scenario.endRun(200, task(0), 1, 'stopped');
  scenario.startRun(200, task(2), 1);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('best-effort fillers may exceed the CPU of their worker', () => {
  const size = { ...SIZE, memoryMiB: 10 };
  const scenario = new Scenario([{ ...THREE, size, filler: true }]);
  for (const index of [0, 1, 2]) {
    scenario.startRun(100, task(index), 1);
  }
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a start on a worker without the required label is a violation', () => {
  const scenario = new Scenario([{ ...THREE, label: 'fast' }]);
  scenario.addWorker('w3', ['slow', 'fast']);
  scenario.startRun(100, task(0), 1, 'w3');
  assert.deepEqual(scenario.violatedGuarantees(), []);
  scenario.startRun(200, task(1), 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(), ['right_worker']);
});

test('a start beyond the maximum number per worker is a violation', () => {
  const scenario = new Scenario([{ ...THREE, maxPerWorker: 1 }]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(200, task(1), 1);
  assert.deepEqual(scenario.violatedGuarantees(), ['right_worker']);
});

test('ended tasks and tasks of other steps do not count towards the maximum per worker', () => {
  const single = { tasks: 2, after: [], maxPerWorker: 1 };
  const scenario = new Scenario([single, single]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(100, task(0, 1), 1);
  scenario.endRun(200, task(0), 1, 'done');
  scenario.startRun(200, task(1), 1);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a start beyond a reduced capacity is a violation, unless it was reduced just before', () => {
  const shrunk = { ...SIZE, cpuMilli: 1_000, memoryMiB: 1_000 };
  for (const [startedAt, expected] of [
    [4_199, []],
    [4_200, ['within_room']],
  ] as const) {
    const scenario = new Scenario([{ tasks: 2, after: [], size: SIZE }]);
    scenario.startRun(50, task(0), 1);
    scenario.now = 100;
    scenario.history.recordCapacityChange('w1', shrunk);
    scenario.startRun(startedAt, task(1), 1);
    assert.deepEqual(scenario.violatedGuarantees(), expected);
  }
});

test('an increased capacity may be used at once', () => {
  const scenario = new Scenario([{ tasks: 2, after: [], size: SIZE }]);
  scenario.startRun(50, task(0), 1);
  scenario.now = 100;
  scenario.history.recordCapacityChange('w1', { ...SIZE, cpuMilli: 1_000 });
  scenario.now = 9_000;
  scenario.history.recordCapacityChange('w1', {
    ...SIZE,
    cpuMilli: 2_000,
    memoryMiB: 2_000,
  });
  scenario.startRun(9_001, task(1), 1);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});
