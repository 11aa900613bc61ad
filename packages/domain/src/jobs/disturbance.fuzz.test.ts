/*
 * Seen once, on a quiet day: a task that serves was over its target for more than the 4 s that its users
 * bear, while others filled beside it. How: its tail stood a little above the target; the readings are
 * rough, so that some of them were below. Cause: what fills is paused once a task was over its target for
 * 1.1 s in all readings, and one reading below began that time anew; meanwhile the model blamed the wrong
 * fillers, one after the other. Figures: in the case below the tail stands 4 % above its target from
 * 42.8 s on, with readings of 25, 25, 31, 21, 21, 25 and 26 ms against 25 ms; fillers of the image that
 * did not press went first, and the task was disturbed for 4,530 ms. With reports once a second, as on
 * the day on which it was seen, it came within 3,000 drawn cases; with reports of 350 ms once in some
 * 40,000.
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

/** What the users of tasks that serve bear. */
const BORNE_MS: Millis = 4_000;
const CPU_MILLI = 16_000;
const FILLER_MILLI = 1_800;
const FLOOR_MS = 10;
const MAX_LOAD = 0.98;
const STEP_MS: Millis = 10;
const PLAY_MS: Millis = 60_000;
/** How far a reading may be off, as a share. */
const ROUGHNESS = 0.2;
/** Span over which a worker averages its readings. */
const WINDOW_MS: Millis = 500;
/** Time from a report to the effect of an order that follows from it, and by how much more it may be. */
const ORDER_MS: Millis = 130;
const ORDER_LATE_MS: Millis = 600;
/** How long a worker waits for an end before it reports, as the leader asks it to. */
const LOOK_MS: Millis = 1_000;
const TIGHT_LOOK_MS: Millis = 350;
/** By how much a report may be late: the last one waits for a record of the ends that it listed. */
const REPORT_LATE_MS: Millis = 500;

/** A load or pressure that changes at some times to some values. */
type Course = readonly { readonly at: Instant; readonly value: number }[];

interface Case {
  readonly seed: number;
  readonly targetMs: Millis;
  readonly own: { mean: number; swing: number; periodMs: Millis };
  /** Pressures of the images of fillers. */
  readonly pressures: readonly Course[];
  /** Image of each filler that runs. */
  readonly fillers: readonly number[];
}

const course = fc
  .array(
    fc.record({
      at: fc.integer({ min: 0, max: PLAY_MS }),
      value: fc.oneof(
        fc.constant(0),
        fc.double({ min: 0, max: 6, noNaN: true }),
      ),
    }),
    { minLength: 1, maxLength: 5 },
  )
  .map(changes => [...changes].sort((a, b) => a.at - b.at));

const found: fc.Arbitrary<Case> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  targetMs: fc.constantFrom(25, 40, 60),
  own: fc.record({
    mean: fc.double({ min: 0.25, max: 0.6, noNaN: true }),
    swing: fc.double({ min: 0, max: 0.5, noNaN: true }),
    periodMs: fc.integer({ min: 3_000, max: 15_000 }),
  }),
  pressures: fc.array(course, { minLength: 3, maxLength: 3 }),
  fillers: fc.array(fc.integer({ min: 0, max: 2 }), {
    minLength: 1,
    maxLength: 8,
  }),
});

function valueAt(of: Course, now: Instant): number {
  return of.findLast(({ at }) => at <= now)?.value ?? 0;
}

/** A worker with one task that serves, some that fill, and a leader that limits these. */
class Worker {
  longestMs: Millis = 0;
  private readonly state;
  private readonly serving: Run;
  private readonly fillers: readonly Run[];
  private readonly model = new Interference();
  private readonly random: Random;
  /** Share of its speed at which each filler works. */
  private readonly working: number[];
  private readonly orders: { at: Instant; filler: number; share: number }[] =
    [];
  private readonly tails: Millis[] = [];
  private disturbedMs: Millis = 0;

  constructor(private readonly played: Case) {
    this.random = seededRandom(played.seed);
    const size = { cpuMilli: FILLER_MILLI, memoryMiB: 1, accelerators: 0 };
    const serves = {
      lasting: true,
      tailTargetMs: played.targetMs,
      image: 's',
    };
    const fills = played.fillers.map((image, at) =>
      testJob(`f${at}`, [{ filler: true, image: `f${image}`, size }]),
    );
    this.state = stateOf(testJob('s', [serves]), ...fills);
    this.serving = startOn(this.state, taskOf(this.state, 's', 0, 0), 'w');
    this.fillers = played.fillers.map((_, at) =>
      startOn(this.state, taskOf(this.state, `f${at}`, 0, 0), 'w'),
    );
    this.working = played.fillers.map(() => 100);
  }

  play(): void {
    let reportAt = LOOK_MS;
    for (let now = 0; now < PLAY_MS; now += STEP_MS) {
      this.carryOut(now);
      this.work(now);
      if (now >= reportAt) {
        reportAt = now + this.report(now);
      }
    }
  }

  private carryOut(now: Instant): void {
    while ((this.orders[0]?.at ?? Infinity) <= now) {
      const order = this.orders.shift();
      if (order !== undefined) {
        this.working[order.filler] = order.share;
      }
    }
  }

  private work(now: Instant): void {
    const { targetMs, own, pressures, fillers } = this.played;
    const swing = own.swing * Math.sin((2 * Math.PI * now) / own.periodMs);
    const load = own.mean * (1 + swing);
    let gain = 1;
    fillers.forEach((image, at) => {
      const used = ((this.working[at] ?? 0) / 100) * (FILLER_MILLI / CPU_MILLI);
      gain += valueAt(pressures[image] ?? [], now) * used;
    });
    const tail = tailOf(load * gain);
    this.tails.push(tail);
    const disturbed = tail > targetMs && tailOf(load) <= targetMs;
    this.disturbedMs = disturbed ? this.disturbedMs + STEP_MS : 0;
    this.longestMs = Math.max(this.longestMs, this.disturbedMs);
  }

  /** The leader takes a report in; returns when the next one comes. */
  private report(now: Instant): Millis {
    const { model, serving, fillers } = this;
    const load = workerRuns(this.state, 'w');
    const window = this.tails.slice(-WINDOW_MS / STEP_MS);
    const mean = window.reduce((sum, tail) => sum + tail, 0) / window.length;
    const rough = 1 + ROUGHNESS * (2 * this.random() - 1);
    if (serving.progress !== undefined) {
      serving.progress.reading = Math.round(mean * rough);
    }
    fillers.forEach(({ progress }, at) => {
      if (progress !== undefined) {
        progress.reading = ((this.working[at] ?? 0) / 100) * FILLER_MILLI;
      }
    });
    model.learnFromReport(load, CPU_MILLI, now);
    for (const [run, share] of model.shares(load, CPU_MILLI, now)) {
      if (run.progress?.allowedPercent !== share) {
        this.orders.push({
          at: now + ORDER_MS + ORDER_LATE_MS * this.random(),
          filler: fillers.indexOf(run),
          share,
        });
        if (run.progress !== undefined) {
          run.progress.allowedPercent = share;
        }
      }
    }
    const waitMs = model.hasLowHeadroom(load, CPU_MILLI)
      ? TIGHT_LOOK_MS
      : LOOK_MS;
    return waitMs + REPORT_LATE_MS * this.random();
  }
}

function tailOf(load: number): Millis {
  return FLOOR_MS / (1 - Math.min(MAX_LOAD, load));
}

/** The longest time for which the task that serves is disturbed. */
function longestOf(played: Case): Millis {
  const worker = new Worker(played);
  worker.play();
  return worker.longestMs;
}

test('a task is not disturbed for long where the wrong fillers are blamed first', () => {
  const longestMs = longestOf({
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
  assert.ok(longestMs < BORNE_MS, `disturbed for ${longestMs} ms`);
});

test('no task is disturbed for longer than its users bear', () => {
  fc.assert(
    fc.property(found, played => {
      const longestMs = longestOf(played);
      assert.ok(longestMs < BORNE_MS, `disturbed for ${longestMs} ms`);
    }),
    {
      numRuns: Number(process.env.FUZZ_RUNS ?? 400),
      seed: Number(process.env.FUZZ_SEED ?? 20261204),
      endOnFailure: process.env.FUZZ_SHRINK === undefined,
    },
  );
});
