/**
 * Guards against moves that cost more than they gain. Under heavy load 1,305 of 32,504 runs were stopped, most
 * because they were slowed, also where the load beside them was about to fall.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FillerMoves, type FillerMove } from './filler-moves.js';
import type { Run } from './job.js';
import {
  FILLER,
  MOVE_COSTS,
  oscillatingFleet,
  type FleetOptions,
} from './oscillating-fleet.fixture.test.js';
import type { PlanInput } from './plan.js';
import { startOn, taskOf } from './test-support.js';

const SLOWED = { ...FILLER, checkpoints: true };
/** The load of `here` is a tenth above its mean and falls, or rises to its peak; others complete the period. */
const FALLING = { here: 0.47, a: 0.6, b: 0.85, c: 0.1 };
const RISING = { here: 0.07, a: 0.6, b: 0.85, c: 0.36 };

interface Scenario {
  readonly input: PlanInput;
  readonly run: Run;
  readonly moves: FillerMoves;
}

/** A filler that is limited to a fifth of its speed since 2 s before, and a free worker. */
function slowedOn(
  phases: typeof FALLING,
  options: FleetOptions = {},
): Scenario {
  const input = oscillatingFleet(phases, {
    fillers: { f: SLOWED },
    free: ['free'],
    ...options,
  });
  const run = startOn(input.state, taskOf(input.state, 'f', 0, 0), 'here');
  limit(run, 20, -2_000);
  return { input, run, moves: new FillerMoves() };
}

function limit({ progress }: Run, percent: number, since: number): void {
  assert.ok(progress);
  progress.allowedPercent = percent;
  progress.allowedSince = since;
}

function setDone({ progress }: Run, percent: number): void {
  assert.ok(progress);
  progress.percent = percent;
}

function decide({ input, run, moves }: Scenario, now = 0): FillerMove[] {
  const time = { ...input.time, now };
  return moves.decide({ ...input, time }, MOVE_COSTS, [run]);
}

test('a slowed filler stays where the load is about to fall', () => {
  const scenario = slowedOn(FALLING);
  setDone(scenario.run, 50);
  assert.deepEqual(decide(scenario), []);
});

// The present limits of the same filler would keep it here for twice its remaining time.
test('without the forecast the same filler would move', () => {
  const scenario = slowedOn(FALLING);
  setDone(scenario.run, 50);
  limit(scenario.run, 50, -2_000);
  scenario.input.interference.useForecast(false);
  assert.equal(decide(scenario).length, 1);
});

test('a slowed filler moves where the load rises, with the expected gain', () => {
  const scenario = slowedOn(RISING);
  setDone(scenario.run, 50);
  const [move] = decide(scenario);
  assert.equal(move?.to, 'free');
  assert.ok(move.gainMs > 500 && move.gainMs < 8_000, `${move.gainMs} ms`);
});

test('a filler that is almost done stays', () => {
  const scenario = slowedOn(RISING);
  setDone(scenario.run, 99);
  assert.deepEqual(decide(scenario), []);
});

test('a filler without checkpoints moves only if that outweighs its progress', () => {
  const options = { fillers: { f: FILLER } };
  const early = slowedOn(RISING, options);
  setDone(early.run, 5);
  assert.equal(decide(early).length, 1);
  const late = slowedOn(RISING, options);
  setDone(late.run, 90);
  assert.deepEqual(decide(late), []);
});

test('a filler stays if no worker has capacity, or only its own has', () => {
  for (const workers of [[], ['here']]) {
    const { input, run, moves } = slowedOn(RISING);
    const left = input.workers.filter(({ info }) => workers.includes(info.id));
    const found = moves.decide({ ...input, workers: left }, MOVE_COSTS, [run]);
    assert.deepEqual(found, []);
  }
});

// One report may be wrong, and each new limit restarts the time of the limit itself.
test('a filler moves only after it was slowed for a while', () => {
  const scenario = slowedOn(RISING);
  limit(scenario.run, 20, 0);
  assert.deepEqual(decide(scenario, 400), []);
  limit(scenario.run, 10, 700);
  assert.deepEqual(decide(scenario, 750), []);
  assert.equal(decide(scenario, 1_200).length, 1);
});

test('a filler that recovers its speed is slowed anew', () => {
  const scenario = slowedOn(RISING);
  limit(scenario.run, 20, 0);
  decide(scenario, 400);
  limit(scenario.run, 80, 500);
  decide(scenario, 700);
  limit(scenario.run, 20, 900);
  assert.deepEqual(decide(scenario, 1_200), []);
  assert.equal(decide(scenario, 1_800).length, 1);
});

test('a filler is not moved at 70 percent, while stopping, or with an unknown limit', () => {
  const fast = slowedOn(RISING);
  limit(fast.run, 70, -2_000);
  assert.deepEqual(decide(fast), []);
  const stopping = slowedOn(RISING);
  assert.ok(stopping.run.progress);
  stopping.run.progress.stopping = true;
  assert.deepEqual(decide(stopping), []);
  const unknown = slowedOn(RISING);
  assert.ok(unknown.run.progress);
  unknown.run.progress.allowedPercent = undefined;
  assert.deepEqual(decide(unknown), []);
});

// Without a period the present limits are expected to stay.
test('a filler whose loads have no period is compared by its present limit', () => {
  const scenario = slowedOn(RISING, { learnMs: 6_000 });
  assert.equal(scenario.input.interference.loadPeriod, undefined);
  setDone(scenario.run, 50);
  assert.equal(decide(scenario)[0]?.to, 'free');
});

// Comparing all workers for each slowed filler took seconds with many of them.
test('a round compares the workers once for each step and moves one filler of it', () => {
  const { input, moves } = slowedOn(RISING, {
    fillers: {
      f: SLOWED,
      g: {
        ...SLOWED,
        tasks: 30,
        size: { cpuMilli: 100, memoryMiB: 1, accelerators: 0 },
      },
    },
  });
  const runs = Array.from({ length: 30 }, (_, at) => {
    const run = startOn(input.state, taskOf(input.state, 'g', 0, at), 'here');
    limit(run, 20, -2_000);
    return run;
  });
  let passes = 0;
  const workers = [...input.workers];
  const iterate = workers[Symbol.iterator].bind(workers);
  workers[Symbol.iterator] = () => {
    passes += 1;
    return iterate();
  };
  const round = { ...input, workers };
  assert.equal(moves.decide(round, MOVE_COSTS, runs).length, 1);
  assert.ok(passes <= 2, `${passes} passes`);
});

// Runs of different steps would otherwise be stopped for the same capacity, and all but one would wait.
test('capacity is given to one move of a round', () => {
  const { input, run, moves } = slowedOn(RISING, {
    fillers: { f: SLOWED, g: SLOWED },
  });
  const other = startOn(input.state, taskOf(input.state, 'g', 0, 0), 'here');
  limit(other, 20, -2_000);
  const workers = input.workers
    .filter(({ info }) => ['here', 'free'].includes(info.id))
    .map(({ info, trusted }) => ({
      info: { ...info, capacity: { ...info.capacity, cpuMilli: 3_000 } },
      trusted,
    }));
  const round = { ...input, workers };
  const found = moves.decide(round, MOVE_COSTS, [run, other]);
  assert.deepEqual(
    found.map(({ to }) => to),
    ['free'],
  );
});

test('the same reports lead to the same moves', () => {
  assert.deepEqual(
    decide(slowedOn(RISING)).map(({ to, gainMs }) => [to, gainMs]),
    decide(slowedOn(RISING)).map(({ to, gainMs }) => [to, gainMs]),
  );
});
