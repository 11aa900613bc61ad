import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Scenario, SIZE, task } from './history.fixture.test.js';

const LONG_RUNNING = { tasks: 1, after: [], lasting: true, size: SIZE };

/** A scenario with one run of the only task, from 1 s to 10 s. */
function scenarioOfOneRun(): Scenario {
  const scenario = new Scenario([LONG_RUNNING]);
  scenario.startRun(1_000, task(), 1);
  scenario.endRun(10_000, task(), 1, 'stopped');
  return scenario;
}

test('a long-running task that does not run for 9 s despite free capacity is a violation', () => {
  const scenario = scenarioOfOneRun();
  assert.deepEqual(scenario.violatedGuarantees(19_000), []);
  assert.deepEqual(scenario.violatedGuarantees(19_001), ['lasting_runs']);
});

test('a long-running task that never runs is a violation', () => {
  assert.deepEqual(new Scenario([LONG_RUNNING]).violatedGuarantees(9_001), [
    'lasting_runs',
  ]);
});

test('a long-running task that runs again in time is no violation', () => {
  const scenario = scenarioOfOneRun();
  scenario.startRun(19_000, task(), 2);
  assert.deepEqual(scenario.violatedGuarantees(60_000), []);
});

test('a long-running task that does not run after a fault is a violation 7 s later', () => {
  const scenario = scenarioOfOneRun();
  scenario.faults.add({ from: 13_000, until: 20_000, of: 'log' });
  assert.deepEqual(scenario.violatedGuarantees(27_001), []);
  assert.deepEqual(scenario.violatedGuarantees(27_002), ['lasting_runs']);
});

test('a long-running task without free capacity for two of its kind is no violation', () => {
  const scenario = scenarioOfOneRun();
  scenario.history.recordWorkerEnd('w1');
  scenario.history.jobs.set('b', {
    steps: [{ tasks: 1, after: [], size: SIZE }],
    maxAttempts: 2,
    cancelledAt: Infinity,
  });
  const other = { job: 'b', occurrence: 0, step: 0, index: 0 };
  scenario.startRun(11_000, other, 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(60_000), []);
  scenario.endRun(60_000, other, 1, 'done', 'w2');
  assert.deepEqual(scenario.violatedGuarantees(63_001), ['lasting_runs']);
});

test('capacity on workers that are leaving or lack the label does not count', () => {
  const scenario = scenarioOfOneRun();
  scenario.history.recordLeaving('w1');
  scenario.history.recordLeaving('w2');
  assert.deepEqual(scenario.violatedGuarantees(60_000), []);
  const labelled = new Scenario([{ ...LONG_RUNNING, label: 'fast' }]);
  assert.deepEqual(labelled.violatedGuarantees(60_000), []);
});

test('a long-running task that was cancelled, or waits for another step, is no violation', () => {
  const scenario = new Scenario([LONG_RUNNING], { cancelRequestedAt: 2_000 });
  assert.deepEqual(scenario.violatedGuarantees(60_000), []);
  const second = new Scenario([
    { tasks: 1, after: [] },
    { ...LONG_RUNNING, after: [0] },
  ]);
  assert.deepEqual(second.violatedGuarantees(60_000), []);
});

test('capacity on workers that already run the maximum number of tasks of the step does not count', () => {
  const scenario = new Scenario([
    { ...LONG_RUNNING, tasks: 3, maxPerWorker: 1 },
  ]);
  scenario.startRun(1_000, task(0), 1, 'w1');
  scenario.startRun(1_000, task(1), 1, 'w2');
  assert.deepEqual(scenario.violatedGuarantees(60_000), []);
  scenario.addWorker('w3');
  scenario.addWorker('w4');
  assert.deepEqual(scenario.violatedGuarantees(63_001), ['lasting_runs']);
});
