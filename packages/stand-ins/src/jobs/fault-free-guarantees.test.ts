import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Scenario, task } from './history.fixture.test.js';

const ONE = { tasks: 1, after: [] };
const PAIR = { tasks: 2, after: [], gang: true };
const CANCELLED = { cancelledAt: 10_000 };

test('a run that continues for over 3.9 s after the cancellation is a violation', () => {
  const scenario = new Scenario([ONE], CANCELLED);
  scenario.startRun(9_000, task(), 1);
  assert.deepEqual(scenario.violatedGuarantees(13_901), ['ends_after_cancel']);
  scenario.endRun(14_000, task(), 1, 'done');
  assert.deepEqual(scenario.violatedGuarantees(), ['ends_after_cancel']);
});

test('a run may end within 3.9 s of the cancellation', () => {
  const scenario = new Scenario([ONE], CANCELLED);
  scenario.startRun(9_000, task(), 1);
  scenario.endRun(13_900, task(), 1, 'stopped');
  assert.deepEqual(scenario.violatedGuarantees(30_000), []);
});

test('a run that continues during a fault is a violation only after a fault-free period', () => {
  const scenario = new Scenario([ONE], CANCELLED);
  scenario.faults.add({ from: 12_000, until: 15_000, of: 'workers' });
  scenario.startRun(9_000, task(), 1);
  assert.deepEqual(scenario.violatedGuarantees(21_900), []);
  assert.deepEqual(scenario.violatedGuarantees(21_902), ['ends_after_cancel']);
});

test('a history without recorded faults has no fault-free periods', () => {
  const scenario = new Scenario([ONE], CANCELLED);
  scenario.history.faults = undefined;
  scenario.startRun(9_000, task(), 1);
  assert.deepEqual(scenario.violatedGuarantees(30_000), []);
});

test('a gang member that waits 3 s for another is a violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.startRun(100, task(0), 1);
  assert.deepEqual(scenario.violatedGuarantees(3_099), []);
  assert.deepEqual(scenario.violatedGuarantees(3_100), ['gang_together']);
});

test('a gang member with another run number does not complete the gang', () => {
  const scenario = new Scenario([PAIR]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(200, task(1), 2);
  scenario.endRun(3_100, task(0), 1, 'alone');
  assert.deepEqual(scenario.violatedGuarantees(), ['gang_together']);
});

test('a gang member that continues for 3 s after another has stopped is a violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(200, task(1), 1);
  scenario.endRun(5_000, task(1), 1, 'stopped');
  assert.deepEqual(scenario.violatedGuarantees(8_000), ['gang_together']);
});

test('a gang whose members start soon after each other and end together is no violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.startRun(100, task(0), 1);
  scenario.startRun(3_000, task(1), 1);
  scenario.endRun(9_000, task(0), 1, 'done');
  scenario.endRun(9_000, task(1), 1, 'done');
  assert.deepEqual(scenario.violatedGuarantees(30_000), []);
});

test('an incomplete gang near a fault, or while its job is cancelled, is no violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.faults.add({ from: 90, until: 90, of: 'workers' });
  scenario.startRun(100, task(0), 1);
  scenario.endRun(3_100, task(0), 1, 'alone');
  assert.deepEqual(scenario.violatedGuarantees(), []);
  const cancelled = new Scenario([PAIR], { cancelRequestedAt: 2_000 });
  cancelled.startRun(100, task(0), 1);
  cancelled.endRun(3_100, task(0), 1, 'alone');
  assert.deepEqual(cancelled.violatedGuarantees(), []);
});
