import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference, shouldMoveFiller } from './interference.js';
import type { Run } from './job.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

const CPU_MILLI = 10_000;
const REPORT_MS = 1_000;
const TARGET_MS = 50;
const FLOOR_MS = 10;
const OWN_LOAD = 0.5;

interface Scenario {
  readonly state: JobsState;
  readonly serving: Run;
  readonly filler: Run;
  readonly model: Interference;
  now: number;
}

function createScenario(): Scenario {
  const servingStep = { lasting: true, tailTargetMs: TARGET_MS, image: 's' };
  const size = { cpuMilli: 1_000, memoryMiB: 1, accelerators: 0 };
  const fillerStep = { filler: true, image: 'f', size };
  const state = stateOf(
    testJob('s', [servingStep]),
    testJob('f', [fillerStep]),
  );
  return {
    state,
    serving: startOn(state, taskOf(state, 's', 0, 0), 'w'),
    filler: startOn(state, taskOf(state, 'f', 0, 0), 'w'),
    model: new Interference(),
    now: 0,
  };
}

/** Simulates `count` reports of a filler with `pressure` at its current limit, and applies the new limits. */
function handleReports(
  scenario: Scenario,
  pressure: number,
  count: number,
): void {
  const load = workerRuns(scenario.state, 'w');
  for (let i = 0; i < count; i += 1) {
    scenario.now += REPORT_MS;
    const { progress } = scenario.filler;
    assert.ok(progress && scenario.serving.progress);
    assert.ok(progress.allowedPercent !== undefined);
    const used = 0.1 * (progress.allowedPercent / 100);
    progress.reading = used * CPU_MILLI;
    const total = Math.min(0.98, OWN_LOAD * (1 + pressure * used));
    scenario.serving.progress.reading = FLOOR_MS / (1 - total);
    scenario.model.learnFromReport(load, CPU_MILLI, scenario.now);
    const limit = scenario.model
      .speedLimits(load, CPU_MILLI, scenario.now)
      .get(scenario.filler);
    progress.allowedPercent = limit ?? 100;
  }
}

test('a harmless filler runs at full speed', () => {
  const scenario = createScenario();
  handleReports(scenario, 0, 20);
  assert.equal(scenario.filler.progress?.allowedPercent, 100);
});

test('a disturbing filler is slowed until the tail is below its target', () => {
  const scenario = createScenario();
  handleReports(scenario, 12, 20);
  assert.ok((scenario.filler.progress?.allowedPercent ?? 100) < 100);
  assert.ok((scenario.serving.progress?.reading ?? 99) <= TARGET_MS);
});

test('a slowed filler recovers its speed when it no longer disturbs', () => {
  const scenario = createScenario();
  handleReports(scenario, 12, 20);
  handleReports(scenario, 0, 60);
  assert.ok((scenario.filler.progress?.allowedPercent ?? 0) >= 90);
});

test('a filler is slow beside a task that it disturbs, and at full speed elsewhere', () => {
  const scenario = createScenario();
  handleReports(scenario, 8, 20);
  const load = workerRuns(scenario.state, 'w');
  const { spec } = scenario.filler.task.step;
  const beside = scenario.model.speedOf(load, CPU_MILLI, spec);
  const alone = scenario.model.speedOf(
    workerRuns(scenario.state, 'x'),
    CPU_MILLI,
    spec,
  );
  assert.ok(beside < 0.7);
  assert.equal(alone, 1);
});

test('every filler is paused when a task stays over its target', () => {
  const scenario = createScenario();
  const load = workerRuns(scenario.state, 'w');
  assert.ok(scenario.serving.progress && scenario.filler.progress);
  scenario.serving.progress.reading = 10 * TARGET_MS;
  scenario.filler.progress.reading = 0;
  scenario.model.learnFromReport(load, CPU_MILLI, 1_000);
  scenario.model.learnFromReport(load, CPU_MILLI, 3_500);
  assert.equal(
    scenario.model.speedLimits(load, CPU_MILLI, 3_500).get(scenario.filler),
    0,
  );
});

// Guards against placing fillers beside a disturbed task again. A task was over its target for 3.6 s, while
// fillers moved away from it were twice placed beside it again: each reading slightly below the target made
// the model see headroom.
test('no filler is placed beside a task that has been over its target for a while', () => {
  const scenario = createScenario();
  handleReports(scenario, 0, 20);
  const load = workerRuns(scenario.state, 'w');
  const size = { cpuMilli: 200, memoryMiB: 1, accelerators: 0 };
  const spec = { ...scenario.filler.task.step.spec, size };
  const speedAfter = (reading: number): number => {
    assert.ok(scenario.serving.progress && scenario.filler.progress);
    // The filler is paused, so that the model does not attribute the tail to it.
    scenario.filler.progress.reading = 0;
    scenario.serving.progress.reading = reading;
    scenario.now += 350;
    scenario.model.learnFromReport(load, CPU_MILLI, scenario.now);
    return scenario.model.speedOf(load, CPU_MILLI, spec);
  };
  assert.equal(speedAfter(FLOOR_MS / (1 - OWN_LOAD)), 1);
  for (let reports = 0; reports < 4; reports += 1) {
    speedAfter(TARGET_MS + 1);
  }
  for (let reports = 0; reports < 3; reports += 1) {
    assert.equal(speedAfter(0.81 * TARGET_MS), 0);
  }
  assert.ok(speedAfter(FLOOR_MS / (1 - OWN_LOAD)) > 0);
});

test('a filler that would lose much of its work is not moved', () => {
  const scenario = createScenario();
  assert.ok(scenario.filler.progress);
  scenario.filler.progress.allowedPercent = 20;
  scenario.filler.progress.percent = 10;
  assert.equal(shouldMoveFiller(scenario.filler, 3_000), true);
  scenario.filler.progress.percent = 60;
  assert.equal(shouldMoveFiller(scenario.filler, 3_000), false);
});

test('a slowed filler is moved only after a while', () => {
  const scenario = createScenario();
  assert.ok(scenario.filler.progress);
  scenario.filler.progress.allowedPercent = 20;
  scenario.filler.progress.allowedSince = 1_000;
  assert.equal(shouldMoveFiller(scenario.filler, 1_200), false);
  assert.equal(shouldMoveFiller(scenario.filler, 3_000), true);
});
