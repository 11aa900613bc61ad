import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference, shouldRelocateFiller } from './interference.js';
import type { Run } from './job.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

const CPU_MILLI = 10_000;
const REPORT_MS = 1_000;
const TARGET_MS = 50;
const FLOOR_MS = 10;
const OWN_LOAD = 0.5;

interface Site {
  readonly state: JobsState;
  readonly serving: Run;
  readonly filler: Run;
  readonly model: Interference;
  now: number;
}

function site(): Site {
  const serves = { lasting: true, tailTargetMs: TARGET_MS, image: 's' };
  const size = { cpuMilli: 1_000, memoryMiB: 1, accelerators: 0 };
  const fills = { filler: true, image: 'f', size };
  const state = stateOf(testJob('s', [serves]), testJob('f', [fills]));
  return {
    state,
    serving: startOn(state, taskOf(state, 's', 0, 0), 'w'),
    filler: startOn(state, taskOf(state, 'f', 0, 0), 'w'),
    model: new Interference(),
    now: 0,
  };
}

/** Lets the model see reports of a filler with `pressure` at its present share. */
function report(at: Site, pressure: number, times: number): void {
  const load = workerRuns(at.state, 'w');
  for (let i = 0; i < times; i += 1) {
    at.now += REPORT_MS;
    const { progress } = at.filler;
    assert.ok(progress && at.serving.progress);
    assert.ok(progress.allowedPercent !== undefined);
    const used = 0.1 * (progress.allowedPercent / 100);
    progress.reading = used * CPU_MILLI;
    const total = Math.min(0.98, OWN_LOAD * (1 + pressure * used));
    at.serving.progress.reading = FLOOR_MS / (1 - total);
    at.model.learnFromReport(load, CPU_MILLI, at.now);
    const share = at.model.shares(load, CPU_MILLI, at.now).get(at.filler);
    progress.allowedPercent = share ?? 100;
  }
}

test('a filler that does not disturb keeps its speed', () => {
  const at = site();
  report(at, 0, 20);
  assert.equal(at.filler.progress?.allowedPercent, 100);
});

test('a filler that disturbs is slowed until the tail is below its target', () => {
  const at = site();
  report(at, 12, 20);
  assert.ok((at.filler.progress?.allowedPercent ?? 100) < 100);
  assert.ok((at.serving.progress?.reading ?? 99) <= TARGET_MS);
});

test('a slowed filler gets its speed back when it no longer disturbs', () => {
  const at = site();
  report(at, 12, 20);
  report(at, 0, 60);
  assert.ok((at.filler.progress?.allowedPercent ?? 0) >= 90);
});

test('places a filler beside those that it does not disturb', () => {
  const at = site();
  report(at, 8, 20);
  const load = workerRuns(at.state, 'w');
  const { spec } = at.filler.task.step;
  const beside = at.model.speedOf(load, CPU_MILLI, spec);
  const alone = at.model.speedOf(workerRuns(at.state, 'x'), CPU_MILLI, spec);
  assert.ok(beside < 0.7);
  assert.equal(alone, 1);
});

test('every filler is paused when a task stays over its target', () => {
  const at = site();
  const load = workerRuns(at.state, 'w');
  assert.ok(at.serving.progress && at.filler.progress);
  at.serving.progress.reading = 10 * TARGET_MS;
  at.filler.progress.reading = 0;
  at.model.learnFromReport(load, CPU_MILLI, 1_000);
  at.model.learnFromReport(load, CPU_MILLI, 3_500);
  assert.equal(at.model.shares(load, CPU_MILLI, 3_500).get(at.filler), 0);
});

// Seen: a task was over its target for 3.6 s by its readings, while fillers that had been moved away were placed
// beside it again, twice: the model found room for them with each reading that was a little below the target.
test('no filler begins beside a task that has been over its target for a while', () => {
  const at = site();
  report(at, 0, 20);
  const load = workerRuns(at.state, 'w');
  const size = { cpuMilli: 200, memoryMiB: 1, accelerators: 0 };
  const spec = { ...at.filler.task.step.spec, size };
  const speedAfter = (reading: number): number => {
    assert.ok(at.serving.progress && at.filler.progress);
    // It is paused, so that the model blames something else.
    at.filler.progress.reading = 0;
    at.serving.progress.reading = reading;
    at.now += 350;
    at.model.learnFromReport(load, CPU_MILLI, at.now);
    return at.model.speedOf(load, CPU_MILLI, spec);
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

test('a filler that would lose much of its work stays', () => {
  const at = site();
  assert.ok(at.filler.progress);
  at.filler.progress.allowedPercent = 20;
  at.filler.progress.percent = 10;
  assert.equal(shouldRelocateFiller(at.filler, 3_000), true);
  at.filler.progress.percent = 60;
  assert.equal(shouldRelocateFiller(at.filler, 3_000), false);
});

test('a filler is slowed only after a while', () => {
  const at = site();
  assert.ok(at.filler.progress);
  at.filler.progress.allowedPercent = 20;
  at.filler.progress.allowedSince = 1_000;
  assert.equal(shouldRelocateFiller(at.filler, 1_200), false);
  assert.equal(shouldRelocateFiller(at.filler, 3_000), true);
});
