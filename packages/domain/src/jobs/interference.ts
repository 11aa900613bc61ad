/**
 * How fillers disturb tasks that serve, learnt from their tail latencies, and what follows.
 *
 * A serving task is taken for a queue: its tail is `floor / (1 - load)`. The load is its own, which
 * all tasks of a step share, times `1 + sum of pressure * used` over the fillers beside it: `used`
 * is a filler's share of the worker's processors, and the pressure depends on the images of both. Own
 * loads and pressures are estimates with a variance, corrected by each report in proportion to what
 * it tells of each.
 */
import type { Instant, Millis } from '../core/time.js';
import { Estimates, type Drift, type Estimate } from './estimate.js';
import { FillerSpeeds, HARMLESS_GAIN, servingOf } from './filler-speeds.js';
import type { Run, Step } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import {
  MAX_LEARNED_ENTRIES,
  roundEstimate,
  type LearnedEstimates,
  type ReceivedEstimates,
} from './learned-estimates.js';
import { OverTarget } from './over-target.js';
import type { StepSpec } from './spec.js';
import { Trends, type TrendModel } from './trend.js';

/** Pressure of a pair of images before anything was learnt: low, so that pairs are tried. */
const FIRST_PRESSURE: Estimate = { mean: 0.8, variance: 2 ** 2 };
const MAX_PRESSURE = 12;
/** Growth of a pressure's variance each second: pressures change within seconds, large ones by more. */
const PRESSURE_DRIFT: Drift = { fixed: 0.05, ofMean: 0.25 ** 2 };
/**
 * A step's own load before a tail was seen, and how it swings: by up to 0.1 a second, and that turns over
 * within some 3 s.
 */
const LOAD_MODEL: TrendModel = {
  mean: 0.5,
  variance: 0.2 ** 2,
  rateVariance: 0.07 ** 2,
  drift: 0.001,
  rateDrift: 0.003,
};
/** Variance of a load read off one tail: tails without any filler scatter by 0.06 around the trend. */
const TAIL_VARIANCE = 0.05 ** 2;
/** How far ahead a load is looked at when fillers are limited: until the next report. */
const LIMIT_AHEAD_MS: Millis = 350;
/** How far ahead a load is looked at when a filler is placed: most of a run. */
const PLACE_AHEAD_MS: Millis = 1_200;
/** For how long a rate of change is taken to hold. */
const RATE_REACH_MS: Millis = 2_000;
/** An own load is never taken for less, so that a gain on it can be learnt. */
const MIN_LOAD = 0.05;
/** Loads above this are not told apart by the tail. */
const MAX_LOAD = 0.98;
/** A tail target is taken for this many times the floor before a tail was seen. */
const FIRST_TARGET_FACTOR = 5;
/** Low tails, as a share of which the floor is taken: tasks are never quite idle. */
const FLOOR_SHARE = 0.78;
/** Weight of a tail below the low one, and of one above it: about one in a hundred is below. */
const LOWER_WEIGHT = 0.2;
const HIGHER_WEIGHT = 0.001;
/**
 * Load kept free below the target, beyond what the trend foresees. By the trend and this margin callers are
 * served 0.013 more of what their work is worth than by the newest load and a margin of 0.12 for places and
 * 0.06 for limits: the mean of ten simulated days on 45 workers. Without the trend, margins of 0.03 keep
 * tasks that serve over their target for 1.35 times as long as this one does with it.
 */
const CONTROL_MARGIN = 0.02;
/** Standard deviations added to a pressure when a filler is placed, and when it is limited. */
const PLACE_CAUTION = 0.3;
const LIMIT_CAUTION = 0.3;
/**
 * A task over its target for this long has every filler that presses on it paused, and after twice
 * as long every filler beside it: it may be disturbed for some 4 s on end at most.
 */
const OVER_MS: Millis = 1_100;
/** Room for a further gain of the load below which a worker is watched closely. */
const TIGHT_GAIN = 0.3;
/** Shares are ordered in steps of this many percent, so that small changes cause no order. */
const SHARE_STEP = 10;
/** Span of the readings in a report, in milliseconds. */
const READING_SPAN_MS: Millis = 500;

/** A filler that ended a short while ago, and the share of the processors it used. */
interface EndedFiller {
  readonly spec: StepSpec;
  readonly at: Instant;
  readonly used: number;
}

/** A filler's part in a reading. */
interface Part {
  readonly spec: StepSpec;
  readonly used: number;
}

/** A run that was over its target, and for how long. */
export interface OverRun {
  readonly run: Run;
  readonly overMs: Millis;
}

/** Learns pressures and loads, and limits fillers by them. */
export class Interference {
  private readonly pressures = new Estimates<string>(
    FIRST_PRESSURE,
    PRESSURE_DRIFT,
  );
  private readonly loads = new Trends<Step>(LOAD_MODEL);
  /** Monotonic time of the newest report. */
  private reportedAt: Instant = -Infinity;
  /** Low tail by image. */
  private readonly low = new Map<string, Millis>();
  private readonly ended = new Map<WorkerRuns, EndedFiller[]>();
  private readonly over = new OverTarget();

  /** Creates a model that begins with what an earlier one has learnt. */
  constructor(earlier?: ReceivedEstimates) {
    if (earlier !== undefined) {
      const { learnt, readAt } = earlier;
      for (const [pair, mean, variance] of learnt.pressures) {
        this.pressures.seed(pair, { mean, variance }, readAt);
      }
      for (const [image, low] of learnt.lowTails) {
        this.low.set(image, low);
      }
    }
  }

  /** Returns what was learnt, for another model to begin with. */
  learnt(): Pick<LearnedEstimates, 'pressures' | 'lowTails'> {
    const pressures = [...this.pressures.entries()].slice(-MAX_LEARNED_ENTRIES);
    return {
      pressures: pressures.map(([pair, { mean, variance }]) => [
        pair,
        roundEstimate(mean),
        roundEstimate(variance),
      ]),
      lowTails: [...this.low]
        .slice(-MAX_LEARNED_ENTRIES)
        .map(([image, low]) => [image, roundEstimate(low)]),
    };
  }

  /** Notes that a filler has ended, whose effect is in the readings for a while. */
  recordFillerEnd(
    load: WorkerRuns,
    run: Run,
    cpuMilli: number,
    now: Instant,
  ): void {
    const { spec } = run.task.step;
    if (spec.filler) {
      const used = (run.progress?.reading ?? 0) / cpuMilli;
      const list = this.ended.get(load) ?? [];
      this.ended.set(load, [...list, { spec, at: now, used }]);
    }
  }

  /**
   * Takes in a report of a worker with `cpuMilli`, whose runs' readings are up to date; returns the tasks
   * that were over their targets and are no more.
   */
  learnFromReport(load: WorkerRuns, cpuMilli: number, now: Instant): OverRun[] {
    this.reportedAt = now;
    const parts = this.partsOf(load, cpuMilli, now);
    const ended: OverRun[] = [];
    for (const run of servingOf(load.runs)) {
      const tail = run.progress?.reading ?? 0;
      if (tail > 0) {
        const overMs = this.over.note(run, tail, now);
        if (overMs !== undefined) {
          ended.push({ run, overMs });
        }
        this.learnFrom(run.task.step, tail, parts, now);
      }
    }
    return ended;
  }

  /** Share of its speed, 0 to 1, at which one more filler could run beside what is there. */
  speedOf(load: WorkerRuns, cpuMilli: number, filler: StepSpec): number {
    return this.speeds().of(load, cpuMilli, filler);
  }

  /** Returns the speeds of further fillers for as long as runs only begin and nothing is learnt. */
  speeds(): FillerSpeeds {
    return new FillerSpeeds({
      leftBeside: (serving, load, cpuMilli) =>
        this.freeGain(serving, PLACE_AHEAD_MS) -
        this.gainBy(serving, fillersOf(load), cpuMilli),
      // Sooner, a reading that is a little above would cost fillers 0.01 of what their work is worth.
      isOver: run => this.over.spanOf(run, this.reportedAt) > OVER_MS,
      pressure: (serving, filler) => {
        const { mean, variance } = this.pressureOf(serving, filler);
        return mean + PLACE_CAUTION * Math.sqrt(variance);
      },
    });
  }

  /** Tells whether fillers leave a serving task so little room that its next swing may use it up. */
  hasLowHeadroom(load: WorkerRuns, cpuMilli: number): boolean {
    const fillers = fillersOf(load);
    return (
      fillers.length > 0 &&
      servingOf(load.runs).some(({ task }) => {
        const gain = this.gainBy(task.step, fillers, cpuMilli);
        return this.freeGain(task.step, LIMIT_AHEAD_MS) - gain < TIGHT_GAIN;
      })
    );
  }

  /** Shares in percent that keep every serving task of the worker below its target. */
  shares(load: WorkerRuns, cpuMilli: number, now: Instant): Map<Run, number> {
    const fillers = fillersOf(load);
    const shares = new Map(fillers.map(run => [run, 100]));
    for (const run of servingOf(load.runs)) {
      const overMs = this.over.spanOf(run, now);
      if (overMs > 2 * OVER_MS) {
        return new Map(fillers.map(filler => [filler, 0]));
      }
      const free =
        overMs > OVER_MS ? 0 : this.freeGain(run.task.step, LIMIT_AHEAD_MS);
      this.limit(run.task.step, free, fillers, shares, cpuMilli);
    }
    return shares;
  }

  /** Cuts the shares of the fillers that press on `serving` the most until they fit. */
  private limit(
    serving: Step,
    free: number,
    fillers: readonly Run[],
    shares: Map<Run, number>,
    cpuMilli: number,
  ): void {
    const pressing = fillers
      .map(run => ({ run, full: this.gainBy(serving, [run], cpuMilli) }))
      .filter(({ full }) => full > HARMLESS_GAIN)
      .sort((a, b) => a.full - b.full);
    let left = Math.max(0, free);
    for (const { run, full } of pressing) {
      const allowed = shares.get(run) ?? 100;
      const percent = Math.floor((100 * left) / full);
      const stepped = Math.floor(percent / SHARE_STEP) * SHARE_STEP;
      const kept = Math.min(allowed, Math.max(0, stepped));
      shares.set(run, kept);
      left = Math.max(0, left - (full * kept) / 100);
    }
  }

  private partsOf(load: WorkerRuns, cpuMilli: number, now: Instant): Part[] {
    const recent = (this.ended.get(load) ?? []).filter(
      ({ at }) => now - at < READING_SPAN_MS,
    );
    this.ended.set(load, recent);
    const running = fillersOf(load).map(run => ({
      spec: run.task.step.spec,
      used: (run.progress?.reading ?? 0) / cpuMilli,
    }));
    const left = recent.map(({ spec, at, used }) => ({
      spec,
      used: used * (1 - (now - at) / READING_SPAN_MS),
    }));
    return [...running, ...left].filter(({ used }) => used > 0);
  }

  /** Splits the error of the expected load between own load and pressures by their variances. */
  private learnFrom(
    step: Step,
    tail: Millis,
    parts: readonly Part[],
    now: Instant,
  ): void {
    const { spec } = step;
    this.noteTail(spec, tail);
    const total = 1 - this.floorOf(spec) / tail;
    const own = this.loads.at(step, now);
    const pressing = parts.map(part => ({
      key: pairOf(spec, part.spec),
      used: part.used,
      pressure: this.pressures.at(pairOf(spec, part.spec), now),
    }));
    let gain = 1;
    let variance = TAIL_VARIANCE;
    for (const { used, pressure } of pressing) {
      gain += pressure.mean * used;
      variance += pressure.variance * (own.mean * used) ** 2;
    }
    const expected = own.mean * gain;
    variance += own.variance * gain ** 2;
    const seen = Math.min(MAX_LOAD, Math.max(0, total));
    if (seen >= MAX_LOAD && expected >= MAX_LOAD) {
      return;
    }
    const surprise = { error: seen - expected, variance };
    this.loads.correct(step, own, gain, surprise, [MIN_LOAD, MAX_LOAD]);
    for (const { key, used, pressure } of pressing) {
      const bounds = [0, MAX_PRESSURE] as const;
      const weight = own.mean * used;
      this.pressures.correct(key, pressure, weight, surprise, bounds);
    }
  }

  private noteTail(spec: StepSpec, tail: Millis): void {
    const image = spec.image ?? '';
    const low = this.low.get(image) ?? tail;
    const weight = tail < low ? LOWER_WEIGHT : HIGHER_WEIGHT;
    this.low.set(image, low + weight * (tail - low));
  }

  private floorOf(spec: StepSpec): Millis {
    const first = (spec.tailTargetMs ?? 0) / FIRST_TARGET_FACTOR;
    const low = this.low.get(spec.image ?? '');
    return low === undefined ? first : Math.min(first, low * FLOOR_SHARE);
  }

  /** Gain that fillers may give a step's own load, which is negative when that is too high. */
  private freeGain(step: Step, aheadMs: Millis): number {
    const target = step.spec.tailTargetMs ?? Infinity;
    const limit = 1 - this.floorOf(step.spec) / target - CONTROL_MARGIN;
    const own = Math.max(
      this.loads.expect(step, this.reportedAt, RATE_REACH_MS),
      this.loads.expect(step, this.reportedAt + aheadMs, RATE_REACH_MS),
      MIN_LOAD,
    );
    return limit / own - 1;
  }

  /** Gain of a step's own load by fillers at full speed. */
  private gainBy(
    serving: Step,
    fillers: readonly Run[],
    cpuMilli: number,
  ): number {
    return fillers.reduce((sum, { task }) => {
      const { spec } = task.step;
      const { mean, variance } = this.pressureOf(serving.spec, spec);
      const pressure = mean + LIMIT_CAUTION * Math.sqrt(variance);
      return sum + (pressure * spec.size.cpuMilli) / cpuMilli;
    }, 0);
  }

  private pressureOf(serving: StepSpec, filler: StepSpec): Estimate {
    return this.pressures.newest(pairOf(serving, filler));
  }
}

/** Share in percent up to which a filler is better off elsewhere. */
const SLOWED_SHARE = 40;
/** How long a filler has to be slowed before it is moved, in milliseconds. */
const SLOWED_MS: Millis = 800;

/** Share of its work in percent up to which a filler that saves no checkpoints may begin anew. */
const CHEAP_LOSS_PERCENT = 15;

/** Tells whether a filler has been slowed for so long that it should run elsewhere. */
export function shouldRelocateFiller(
  { task, progress }: Run,
  now: Instant,
): boolean {
  const { spec } = task.step;
  return (
    spec.filler &&
    progress !== undefined &&
    !progress.stopping &&
    (spec.checkpoints || progress.percent <= CHEAP_LOSS_PERCENT) &&
    (progress.allowedPercent ?? 100) <= SLOWED_SHARE &&
    now - progress.allowedSince > SLOWED_MS
  );
}

function pairOf(serving: StepSpec, filler: StepSpec): string {
  return `${serving.image ?? ''}/${filler.image ?? ''}`;
}

function fillersOf({ runs }: WorkerRuns): Run[] {
  return [...runs.values()].filter(({ task }) => task.step.spec.filler);
}
