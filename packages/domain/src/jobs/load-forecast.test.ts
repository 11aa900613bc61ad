/**
 * Guards against fillers being placed by the load of the next second alone: they run for 2 to 4 s, in which an
 * oscillating load changes from its trough to its peak, where they are almost paused.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference } from './interference.js';
import { workerRuns } from './jobs-state.js';
import { parseEstimates } from './learned-estimates.js';
import {
  FILLER,
  oscillatingFleet,
  PERIOD_MS,
} from './oscillating-fleet.fixture.test.js';
import { findWorker, planStarts, type PlanInput } from './plan.js';
import { applyDecision, startOn, taskOf } from './test-support.js';

/** Low now and about to rise to its peak; at its mean and falling; two others. */
const PHASES = { rising: 0.8, falling: 0.5, a: 0.2, b: 0.7 };

function chosenWorker(input: PlanInput): string | undefined {
  const workers = input.workers.filter(({ info }) =>
    ['rising', 'falling'].includes(info.id),
  );
  const task = taskOf(input.state, 'f', 0, 0);
  return findWorker({ ...input, workers }, task)?.info.id;
}

test('a filler goes where the load stays low over its run', () => {
  assert.equal(chosenWorker(oscillatingFleet(PHASES)), 'falling');
});

test('without move costs it goes where the load is low now', () => {
  const input = oscillatingFleet(PHASES, { hasMoveCosts: false });
  assert.equal(input.interference.loadPeriod, undefined);
  assert.equal(chosenWorker(input), 'rising');
});

// Samples and the period remain known then, and must not affect any decision.
test('once move costs are undefined, decisions are those of a model that never forecast', () => {
  const options = { fillers: { f: FILLER, g: FILLER } };
  const before = oscillatingFleet(PHASES, options);
  const never = oscillatingFleet(PHASES, { ...options, hasMoveCosts: false });
  const decisions = (input: PlanInput): unknown => {
    const { state, interference } = input;
    const chosen = chosenWorker(input);
    const { step } = taskOf(state, 'f', 0, 0);
    startOn(state, taskOf(state, 'g', 0, 0), 'rising');
    return input.workers.map(({ info }) => {
      const load = workerRuns(state, info.id);
      return [
        chosen,
        interference.speeds().meanSpeedOf(load, 4_000, step),
        [...interference.speedLimits(load, 4_000, 0).values()],
        interference.hasLowHeadroom(load, 4_000),
      ];
    });
  };
  assert.ok(before.interference.loadPeriod !== undefined);
  before.interference.useForecast(false);
  assert.equal(before.interference.loadPeriod, undefined);
  assert.deepEqual(
    decisions({ ...before, moveCosts: undefined }),
    decisions(never),
  );
});

// Before a period is known, all decisions are those of the linear extrapolation.
test('without a period speeds are the same as without a span', () => {
  const input = oscillatingFleet(PHASES, { learnMs: 6_000 });
  assert.equal(input.interference.loadPeriod, undefined);
  const { step } = taskOf(input.state, 'f', 0, 0);
  const averaged = input.interference.speeds(() => 4_000);
  const present = input.interference.speeds();
  for (const { info } of input.workers) {
    const load = workerRuns(input.state, info.id);
    const expected = Math.min(1, present.speedOf(load, 4_000, step.spec));
    const found = averaged.meanSpeedOf(load, 4_000, step);
    assert.ok(Math.abs(found - expected) < 1e-9, info.id);
  }
});

// A filler runs at full speed until its first limit takes effect, and would put the task over its target.
test('a filler does not start beside a load at its peak that is about to fall', () => {
  const input = oscillatingFleet({ ...PHASES, peak: 0.36 });
  const { step } = taskOf(input.state, 'f', 0, 0);
  const speeds = input.interference.speeds(() => 8_000);
  const load = workerRuns(input.state, 'peak');
  assert.ok(speeds.meanSpeedOf(load, 4_000, step) < 0.5);
});

test('the speed over a run counts the fillers that are already there', () => {
  const input = oscillatingFleet(PHASES, { fillers: { f: FILLER, g: FILLER } });
  const { step } = taskOf(input.state, 'f', 0, 0);
  const speedNow = (): number =>
    input.interference
      .speeds(() => 4_000)
      .meanSpeedOf(workerRuns(input.state, 'falling'), 4_000, step);
  const alone = speedNow();
  startOn(input.state, taskOf(input.state, 'g', 0, 0), 'falling');
  assert.ok(speedNow() < alone);
});

test('limits look ahead by the forecast', () => {
  const input = oscillatingFleet(PHASES);
  const run = startOn(input.state, taskOf(input.state, 'f', 0, 0), 'rising');
  const load = workerRuns(input.state, 'rising');
  const { interference } = input;
  const now = interference.limitsAhead(load, 4_000, 250).get(run) ?? 0;
  const atPeak = interference.limitsAhead(load, 4_000, 4_500).get(run) ?? 0;
  assert.equal(now, 100);
  assert.ok(atPeak <= 20, `${atPeak} %`);
  assert.equal(interference.speedLimits(load, 4_000, 0).get(run), 100);
});

test('a round starts fillers only where their mean speed allows it', () => {
  const input = oscillatingFleet(PHASES);
  planStarts(input, decision => {
    assert.notEqual(decision.worker, 'rising');
    applyDecision(input.state, decision);
  });
  assert.equal(taskOf(input.state, 'f', 0, 0).status, 'running');
});

test('the next leader forecasts after half a period', () => {
  const { interference } = oscillatingFleet(PHASES);
  const found = interference.loadPeriod;
  assert.ok(found !== undefined);
  assert.ok(Math.abs(found.periodMs / PERIOD_MS - 1) < 0.03);
  const learnt = { runTimes: [], ...interference.learnedEstimates() };
  const row: unknown = JSON.parse(JSON.stringify(learnt));
  const earlier = parseEstimates(row as typeof learnt);
  const options = { learnMs: 6_000, earlier };
  const next = oscillatingFleet(PHASES, options);
  const seeded = next.interference.loadPeriod?.periodMs ?? 0;
  assert.ok(Math.abs(seeded - found.periodMs) < 1);
  assert.equal(chosenWorker(next), 'falling');
});

test('invalid periods of a record are dropped', () => {
  for (const loadPeriodMs of [null, 'x', -1, 0, 3_999, 40_001, Infinity, {}]) {
    const row = { loadPeriodMs } as never;
    assert.ok(!('loadPeriodMs' in parseEstimates(row)), JSON.stringify(row));
  }
  const kept = parseEstimates({ loadPeriodMs: 10_000 });
  assert.equal(kept.loadPeriodMs, 10_000);
  const model = new Interference({ estimates: kept, readAt: 0 });
  assert.equal(model.learnedEstimates().loadPeriodMs, 10_000);
});
