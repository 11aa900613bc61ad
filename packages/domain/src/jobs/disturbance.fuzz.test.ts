/*
 * Guards against a serving task staying over its tail latency target for more than the 4 s that its users
 * tolerate, while best-effort fillers run beside it. Fillers are paused once a task has been over its target
 * for 1.1 s. If its tail is slightly above the target, inaccurate readings may be below, and a single one of
 * them used to restart that time; meanwhile the model limited the wrong fillers, one after the other.
 *
 * In the first test the tail is 4 % above its target from 42.8 s on, with readings of 25, 25, 31, 21, 21, 25
 * and 26 ms against 25 ms. Fillers of the harmless image were limited first, and the task was disturbed for
 * 4,530 ms. With reports once a second the fault appeared within 3,000 random cases, with reports every 350
 * ms once in about 40,000.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import type { Instant, Millis } from '../core/time.js';
import { seededRandom, type Random } from '../index.js';
import { Interference } from './interference.js';
import type { Run } from './job.js';
import { workerRuns } from './jobs-state.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

/** Longest disturbance that users of serving tasks tolerate. */
const TOLERATED_MS: Millis = 4_000;
const CPU_MILLI = 16_000;
const FILLER_MILLI = 1_800;
const FLOOR_MS = 10;
const MAX_LOAD = 0.98;
const TICK_MS: Millis = 10;
const SIMULATED_MS: Millis = 60_000;
/** Largest relative error of a reading. */
const READING_ERROR = 0.2;
/** Time over which a worker averages its readings. */
const WINDOW_MS: Millis = 500;
/** Delay from a report to the effect of an order that follows from it, and its largest random addition. */
const ORDER_DELAY_MS: Millis = 130;
const EXTRA_ORDER_DELAY_MS: Millis = 600;
/** Poll times that the leader asks of a worker: how long it waits for an end before it reports. */
const POLL_MS: Millis = 1_000;
const TIGHT_POLL_MS: Millis = 350;
/** Largest delay of a report, which may wait until the ends listed in the last one are recorded. */
const REPORT_DELAY_MS: Millis = 500;

/** A load or pressure over time, as a step function. */
type Timeline = readonly { readonly at: Instant; readonly value: number }[];

interface Scenario {
  readonly seed: number;
  readonly targetMs: Millis;
  readonly own: { mean: number; swing: number; periodMs: Millis };
  /** Pressure of each filler image. */
  readonly pressures: readonly Timeline[];
  /** Image of each running filler. */
  readonly fillers: readonly number[];
}

const timelines = fc
  .array(
    fc.record({
      at: fc.integer({ min: 0, max: SIMULATED_MS }),
      value: fc.oneof(
        fc.constant(0),
        fc.double({ min: 0, max: 6, noNaN: true }),
      ),
    }),
    { minLength: 1, maxLength: 5 },
  )
  .map(changes => [...changes].sort((a, b) => a.at - b.at));

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  targetMs: fc.constantFrom(25, 40, 60),
  own: fc.record({
    mean: fc.double({ min: 0.25, max: 0.6, noNaN: true }),
    swing: fc.double({ min: 0, max: 0.5, noNaN: true }),
    periodMs: fc.integer({ min: 3_000, max: 15_000 }),
  }),
  pressures: fc.array(timelines, { minLength: 3, maxLength: 3 }),
  fillers: fc.array(fc.integer({ min: 0, max: 2 }), {
    minLength: 1,
    maxLength: 8,
  }),
});

function valueAt(timeline: Timeline, now: Instant): number {
  return timeline.findLast(({ at }) => at <= now)?.value ?? 0;
}

/** A simulated worker with one serving task and some fillers, and a leader that limits the fillers. */
class SimulatedWorker {
  longestDisturbanceMs: Millis = 0;
  private readonly state;
  private readonly serving: Run;
  private readonly fillers: readonly Run[];
  private readonly model = new Interference();
  private readonly random: Random;
  /** Speed of each filler, in percent. */
  private readonly speeds: number[];
  private readonly orders: { at: Instant; filler: number; percent: number }[] =
    [];
  private readonly tails: Millis[] = [];
  private disturbedMs: Millis = 0;

  constructor(private readonly scenario: Scenario) {
    this.random = seededRandom(scenario.seed);
    const size = { cpuMilli: FILLER_MILLI, memoryMiB: 1, accelerators: 0 };
    const servingStep = {
      lasting: true,
      tailTargetMs: scenario.targetMs,
      image: 's',
    };
    const fillerJobs = scenario.fillers.map((image, at) =>
      testJob(`f${at}`, [{ filler: true, image: `f${image}`, size }]),
    );
    this.state = stateOf(testJob('s', [servingStep]), ...fillerJobs);
    this.serving = startOn(this.state, taskOf(this.state, 's', 0, 0), 'w');
    this.fillers = scenario.fillers.map((_, at) =>
      startOn(this.state, taskOf(this.state, `f${at}`, 0, 0), 'w'),
    );
    this.speeds = scenario.fillers.map(() => 100);
  }

  simulate(): void {
    let reportAt = POLL_MS;
    for (let now = 0; now < SIMULATED_MS; now += TICK_MS) {
      this.applyOrders(now);
      this.advance(now);
      if (now >= reportAt) {
        reportAt = now + this.report(now);
      }
    }
  }

  private applyOrders(now: Instant): void {
    while ((this.orders[0]?.at ?? Infinity) <= now) {
      const order = this.orders.shift();
      if (order !== undefined) {
        this.speeds[order.filler] = order.percent;
      }
    }
  }

  private advance(now: Instant): void {
    const { targetMs, own, pressures, fillers } = this.scenario;
    const swing = own.swing * Math.sin((2 * Math.PI * now) / own.periodMs);
    const load = own.mean * (1 + swing);
    let gain = 1;
    fillers.forEach((image, at) => {
      const used = ((this.speeds[at] ?? 0) / 100) * (FILLER_MILLI / CPU_MILLI);
      gain += valueAt(pressures[image] ?? [], now) * used;
    });
    const tail = tailOf(load * gain);
    this.tails.push(tail);
    const disturbed = tail > targetMs && tailOf(load) <= targetMs;
    this.disturbedMs = disturbed ? this.disturbedMs + TICK_MS : 0;
    this.longestDisturbanceMs = Math.max(
      this.longestDisturbanceMs,
      this.disturbedMs,
    );
  }

  /** Handles a report as the leader does; returns the time until the next one. */
  private report(now: Instant): Millis {
    const { model, serving, fillers } = this;
    const load = workerRuns(this.state, 'w');
    const window = this.tails.slice(-WINDOW_MS / TICK_MS);
    const mean = window.reduce((sum, tail) => sum + tail, 0) / window.length;
    const errorFactor = 1 + READING_ERROR * (2 * this.random() - 1);
    if (serving.progress !== undefined) {
      serving.progress.reading = Math.round(mean * errorFactor);
    }
    fillers.forEach(({ progress }, at) => {
      if (progress !== undefined) {
        progress.reading = ((this.speeds[at] ?? 0) / 100) * FILLER_MILLI;
      }
    });
    model.learnFromReport(load, CPU_MILLI, now);
    for (const [run, percent] of model.speedLimits(load, CPU_MILLI, now)) {
      if (run.progress?.allowedPercent !== percent) {
        this.orders.push({
          at: now + ORDER_DELAY_MS + EXTRA_ORDER_DELAY_MS * this.random(),
          filler: fillers.indexOf(run),
          percent,
        });
        if (run.progress !== undefined) {
          run.progress.allowedPercent = percent;
        }
      }
    }
    const waitMs = model.hasLowHeadroom(load, CPU_MILLI)
      ? TIGHT_POLL_MS
      : POLL_MS;
    return waitMs + REPORT_DELAY_MS * this.random();
  }
}

function tailOf(load: number): Millis {
  return FLOOR_MS / (1 - Math.min(MAX_LOAD, load));
}

/** Returns the longest time for which the serving task is disturbed. */
function longestDisturbanceOf(scenario: Scenario): Millis {
  const worker = new SimulatedWorker(scenario);
  worker.simulate();
  return worker.longestDisturbanceMs;
}

test('a task is not disturbed for long if the wrong fillers are limited first', () => {
  const longestMs = longestDisturbanceOf({
    seed: 924_590,
    targetMs: 25,
    own: { mean: 0.370_005_106_274_278_7, swing: 0, periodMs: 3_011 },
    pressures: [
      [{ at: 0, value: 0 }],
      [{ at: 0, value: 0 }],
      [{ at: 42_799, value: 6 }],
    ],
    fillers: [1, 1, 1, 1, 2],
  });
  assert.ok(longestMs < TOLERATED_MS, `disturbed for ${longestMs} ms`);
});

test('no task is disturbed for longer than its users tolerate', () => {
  fc.assert(
    fc.property(scenarios, scenario => {
      const longestMs = longestDisturbanceOf(scenario);
      assert.ok(longestMs < TOLERATED_MS, `disturbed for ${longestMs} ms`);
    }),
    {
      numRuns: Number(process.env.FUZZ_RUNS ?? 400),
      seed: Number(process.env.FUZZ_SEED ?? 20261204),
      endOnFailure: process.env.FUZZ_SHRINK === undefined,
    },
  );
});
