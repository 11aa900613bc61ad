/**
 * Guards against wrong remaining times: of runs that report no share of their work, that were limited, resumed
 * or taken over from an earlier leader, and of runs that have outlived their expected time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { knownRunTimeMs, limitSpeed } from './full-speed.js';
import type { Run, RunProgress } from './job.js';
import { createRunTimeDistributions } from './run-time-distributions.js';
import { createRunTimes } from './run-times.js';
import {
  completeRuns,
  drawSteps,
  TRANSCRIPTION,
} from './run-time-loads.fixture.test.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

const EXPECTED_MS = 1_000;
const MODELS = {
  averages: createRunTimes(),
  distributions: createRunTimeDistributions(),
};

interface StartedRun {
  readonly run: Run;
  readonly progress: RunProgress;
}

/** Returns a run that started at time 0. */
function startRun(progress: Partial<RunProgress> = {}): StartedRun {
  const state = stateOf(testJob('j', [{ estimateMs: EXPECTED_MS, tasks: 2 }]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w1');
  assert.ok(run.progress);
  Object.assign(run.progress, { confirmed: true, ...progress });
  return { run, progress: run.progress };
}

for (const [name, times] of Object.entries(MODELS)) {
  test(`the pace of a run tells its remaining time: ${name}`, () => {
    const { run } = startRun({ percent: 25, seenAt: 1_000 });
    assert.equal(times.remainingMs(run, 1_000), 3_000);
    assert.equal(times.remainingMs(run, 1_500), 2_500);
    assert.equal(times.remainingMs(run, 9_000), 0);
  });

  test(`a limited run's pace is that at full speed: ${name}`, () => {
    const { run, progress } = startRun();
    limitSpeed(progress, 20, 500);
    limitSpeed(progress, 100, 1_500);
    Object.assign(progress, { percent: 50, seenAt: 1_800 });
    assert.equal(Math.round(times.remainingMs(run, 1_800)), 1_000);
  });

  // Time lost after the last report would otherwise be taken from the time before it: the run would seem done.
  test(`a limit that changes after the last report is no pace: ${name}`, () => {
    const { run, progress } = startRun({ percent: 20, seenAt: 600 });
    limitSpeed(progress, 20, 0);
    limitSpeed(progress, 100, 1_500);
    assert.equal(Math.round(times.remainingMs(run, 1_500)), 300);
  });

  test(`a paused run does not come nearer to its end: ${name}`, () => {
    const { run, progress } = startRun({ percent: 25, seenAt: 1_000 });
    limitSpeed(progress, 0, 1_000);
    assert.equal(times.remainingMs(run, 1_500), 3_000);
  });

  test(`a resumed run takes the share that is left: ${name}`, () => {
    const { run } = startRun({ percent: 80, seenAt: 100 });
    run.task.checkpoint = 'c';
    assert.equal(Math.round(times.remainingMs(run, 100)), 200);
  });

  // After a change of leaders, the share that was done before would otherwise seem to have taken no time.
  test(`a run of an earlier leader goes by what this one has seen: ${name}`, () => {
    const { run, progress } = startRun({ percent: 60, initialPercent: 60 });
    assert.equal(Math.round(times.remainingMs(run, 0)), 400);
    Object.assign(progress, { percent: 80, seenAt: 1_000 });
    assert.equal(times.remainingMs(run, 1_000), 1_000);
  });

  test(`a run without reports takes about what is expected: ${name}`, () => {
    const { run } = startRun();
    const remaining = times.remainingMs(run, 0);
    assert.ok(Math.abs(remaining - EXPECTED_MS) < 10);
    assert.ok(times.remainingMs(run, 500) < remaining);
  });
}

test('by averages nothing remains of a run after its expected time', () => {
  const { run } = startRun();
  assert.equal(MODELS.averages.remainingMs(run, 5 * EXPECTED_MS), 0);
});

test('by distributions the rest grows with the time a run has outlived', () => {
  const { run } = startRun();
  const rests = [3, 6, 12, 24, 48].map(factor =>
    MODELS.distributions.remainingMs(run, factor * EXPECTED_MS),
  );
  assert.deepEqual(
    rests,
    rests.toSorted((a, b) => a - b),
  );
  assert.ok((rests[0] ?? 0) > EXPECTED_MS);
});

// Without completed runs of the step, only the time that a run has lasted shows that its step is of the tail.
test('the rest of runs without reports is about right under a load with a tail', () => {
  const load = { ...TRANSCRIPTION, estimateSigma: 0.2 };
  const models = {
    averages: createRunTimes(),
    distributions: createRunTimeDistributions(),
  };
  for (const step of drawSteps(load, 300)) {
    completeRuns(models, step, load.tasks);
  }
  for (const share of [0, 0.5, 1, 3]) {
    let actual = 0;
    let expected = 0;
    for (const { step, runs, runTimes } of drawSteps(
      { ...load, seed: 9 },
      500,
    )) {
      const now = share * models.distributions.expectedMs(step);
      runs.forEach((run, at) => {
        if ((runTimes[at] ?? 0) > now) {
          actual += (runTimes[at] ?? 0) - now;
          expected += models.distributions.remainingMs(run, now);
        }
      });
    }
    assert.ok(actual > 0);
    const ratio = expected / actual;
    assert.ok(ratio > 0.7 && ratio < 1.4, `${share}: ${ratio}`);
  }
});

test('the time of a limited run is that at full speed, as far as it is known', () => {
  const { run, progress } = startRun();
  assert.equal(knownRunTimeMs(run, 1_000), 1_000);
  limitSpeed(progress, 50, 1_000);
  assert.equal(knownRunTimeMs(run, 2_000), 1_500);
  limitSpeed(progress, 0, 2_000);
  assert.equal(knownRunTimeMs(run, 3_000), 1_500);
  assert.equal(knownRunTimeMs(run, 30_000), undefined);
  limitSpeed(progress, 100, 3_000);
  progress.allowedPercent = undefined;
  assert.equal(knownRunTimeMs(run, 3_500), undefined);
});
