/**
 * Guards against learning from runs whose time is not known: resumed, lost, limited, or started under an
 * earlier leader. The averages learn from the same ends as before.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  Interference,
  WorkerHealth,
  limitSpeed,
  newProgress,
  type MoveCosts,
  type Run,
  type RunEnd,
} from '@paddlewind/domain/jobs';

import { learnedRecord, learnFromEnd } from './leader-records.js';
import { createLearnedTimes, type LearnedTimes } from './learned-times.js';
import { StubWorker } from './stub-worker.fixture.test.js';

const TASKS = 4;
const RUN_MS = 2_000;
const MOVE_COSTS: MoveCosts = { stopMs: 200, restoreMs: 100 };

/** Runs of one step, whose ends both models learn from. */
interface Scenario {
  readonly times: LearnedTimes;
  readonly runs: readonly Run[];
  /** Returns the run of the task at an index. */
  readonly run: (at: number) => Run;
  /** Ends a run `RUN_MS` after its start. */
  readonly end: (run: Run, how?: RunEnd | 'lost', leadsSince?: number) => void;
}

/** Returns runs of one step that have just started. */
function startRuns(): Scenario {
  const stub = new StubWorker(TASKS, { filler: true, image: 'f' });
  const times = createLearnedTimes(undefined, () => MOVE_COSTS);
  const now = stub.time.clock();
  const runs = Array.from({ length: TASKS }, (_, at) => stub.open(at));
  const health = new WorkerHealth();
  for (const run of runs) {
    run.progress = { ...newProgress(now), confirmed: true };
  }
  return {
    times,
    runs,
    run: at => {
      const run = runs[at];
      assert.ok(run);
      return run;
    },
    end: (run, how = 'done', leadsSince = -Infinity) => {
      learnFromEnd(run, how, { health, times, now: now + RUN_MS, leadsSince });
    },
  };
}

function expectedOf({ times, run }: Scenario): {
  readonly averages: number;
  readonly distributions: number;
} {
  const { averages, distributions } = times;
  const { step } = run(0).task;
  return {
    averages: averages.expectedMs(step),
    distributions: distributions.expectedMs(step),
  };
}

test('both models learn from a run that is done', () => {
  const scenario = startRuns();
  const before = expectedOf(scenario);
  scenario.end(scenario.run(0));
  const after = expectedOf(scenario);
  assert.notEqual(after.averages, before.averages);
  assert.notEqual(after.distributions, before.distributions);
});

test('nothing is learned from lost, failed and resumed runs', () => {
  const scenario = startRuns();
  const before = expectedOf(scenario);
  scenario.end(scenario.run(0), 'lost');
  scenario.end(scenario.run(1), 'failed');
  scenario.run(2).task.checkpoint = 'c';
  scenario.end(scenario.run(2));
  assert.deepEqual(expectedOf(scenario), before);
});

// The leader changes halfway: the next one knows when it first saw the run, not when it started.
test('the distributions do not learn from runs of an earlier leader', () => {
  const scenario = startRuns();
  const before = expectedOf(scenario);
  const run = scenario.run(0);
  scenario.end(run, 'done', run.openedAt + 1);
  const after = expectedOf(scenario);
  assert.equal(after.distributions, before.distributions);
  assert.notEqual(after.averages, before.averages);
});

test('the distributions learn the time at full speed of a limited run', () => {
  const limited = startRuns();
  const run = limited.run(0);
  assert.ok(run.progress);
  limitSpeed(run.progress, 50, run.progress.since);
  limited.end(run);
  const full = startRuns();
  full.end(full.run(0));
  const [halved, whole] = [expectedOf(limited), expectedOf(full)];
  assert.equal(halved.averages, whole.averages);
  assert.ok(halved.distributions < 0.8 * whole.distributions);
});

test('a step is learned when its last run is done, also if that was resumed', () => {
  const scenario = startRuns();
  const { times, runs, end } = scenario;
  const stepsOf = (): number | undefined =>
    times.distributions.learnedDistributions().queues[0]?.[1];
  for (const run of runs.slice(1)) {
    end(run);
    run.task.step.remaining -= 1;
  }
  assert.equal(stepsOf(), undefined);
  const last = scenario.run(0);
  last.task.checkpoint = 'c';
  end(last);
  assert.equal(stepsOf(), 1);
});

test('the distributions are in force only where runs can be moved', () => {
  const { averages, inForce } = createLearnedTimes(undefined, () => undefined);
  assert.equal(inForce(), averages);
  const moving = createLearnedTimes(undefined, () => MOVE_COSTS);
  assert.equal(moving.inForce(), moving.distributions);
});

test('the record for the next leader contains both models', () => {
  const { times, runs, end } = startRuns();
  for (const run of runs) {
    end(run);
  }
  const record = learnedRecord(times, new Interference());
  assert.ok(record.kind === 'learnt');
  const { runTimes, distributions } = record.learnt;
  assert.deepEqual(runTimes, times.averages.learnedAverages());
  assert.deepEqual(distributions, times.distributions.learnedDistributions());
  const next = createLearnedTimes(record.learnt, () => MOVE_COSTS);
  assert.deepEqual(
    next.distributions.learnedDistributions(),
    times.distributions.learnedDistributions(),
  );
});
