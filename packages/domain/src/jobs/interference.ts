/**
 * Interference of best-effort fillers with serving tasks, learned from tail latencies, and the limits on
 * fillers that follow from it.
 *
 * A serving task is modelled as a queue with a tail latency of `floor / (1 - load)`. The load is the task's
 * own load, the same for all tasks of a step, times `1 + sum of pressure * used` over the fillers beside it:
 * `used` is the fraction of the worker's processors that a filler uses, and the pressure depends on the
 * images of both. Own loads and pressures are estimates with a variance; each report corrects them in
 * proportion to their variances.
 */
import type { Instant, Millis } from '../core/time.js';
import { Estimates, type Drift, type Estimate } from './estimate.js';
import { FillerSpeeds, NEGLIGIBLE_GAIN } from './filler-speeds.js';
import type { Run, Step } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import {
  MAX_LEARNED_ENTRIES,
  roundEstimate,
  type LearnedEstimates,
  type ReceivedEstimates,
} from './learned-estimates.js';
import { OverTargetTracker } from './over-target.js';
import { PeriodicLoads, type LoadPeriod } from './periodic-loads.js';
import { runViewsOf } from './run-views.js';
import type { StepSpec } from './spec.js';
import { Trends, type TrendModel } from './trend.js';

/** Initial pressure of a pair of images: low, so that unknown pairs are tried. */
const INITIAL_PRESSURE: Estimate = { mean: 0.8, variance: 2 ** 2 };
const MAX_PRESSURE = 12;
/** Growth of a pressure's variance per second: pressures change within seconds, large ones by more. */
const PRESSURE_DRIFT: Drift = { constant: 0.05, perSquaredMean: 0.25 ** 2 };
/** Initial own load of a step; it changes by up to 0.1 per second, and reverses within about 3 s. */
const LOAD_MODEL: TrendModel = {
  mean: 0.5,
  variance: 0.2 ** 2,
  rateVariance: 0.07 ** 2,
  drift: 0.001,
  rateDrift: 0.003,
};
/** Variance of a load derived from one tail: without fillers, loads scatter by 0.06 around the trend. */
const LOAD_READING_VARIANCE = 0.05 ** 2;
/** How far ahead loads are predicted when fillers are limited: until the next report. */
const LIMIT_AHEAD_MS: Millis = 350;
/** How far ahead loads are predicted when a filler is placed: most of its run. */
const PLACEMENT_AHEAD_MS: Millis = 1_200;
/** Longest time over which a rate of change is extrapolated. */
const MAX_EXTRAPOLATION_MS: Millis = 2_000;
/** Lower bound of own loads, so that their increase by fillers can be learned. */
const MIN_LOAD = 0.05;
/** Upper bound of loads, since tails do not distinguish loads above it. */
const MAX_LOAD = 0.98;
/** Assumed ratio of the tail target to the floor before a tail was reported. */
const INITIAL_TARGET_FACTOR = 5;
/** Floor as a fraction of the low tail, which is higher because tasks are never quite idle. */
const FLOOR_FRACTION = 0.78;
/** Weights by which the low tail follows lower and higher tails, so that about one in a hundred is below. */
const WEIGHT_BELOW_LOW_TAIL = 0.2;
const WEIGHT_ABOVE_LOW_TAIL = 0.001;
/**
 * Load kept free below the target, on top of the predicted load. Prediction with this margin serves 0.013
 * more of the value of callers' work than the latest load with margins of 0.12 for placement and 0.06 for
 * limits (mean of ten simulated days on 45 workers). The latest load with margins of 0.03 would keep serving
 * tasks over their targets for 1.35 times as long.
 */
const LOAD_MARGIN = 0.02;
/**
 * Load kept free below a forecast when a filler is placed, on top of that. Fillers start at full speed and
 * limits follow the load one report late, while the linear extrapolation counts the higher of two times.
 */
const PLACEMENT_MARGIN = 0.04;
/** Safety margin of a pressure, in standard deviations, when a filler is placed and when it is limited. */
const PLACEMENT_CAUTION_SIGMAS = 0.3;
const LIMIT_CAUTION_SIGMAS = 0.3;
/**
 * Time over the target after which the fillers that disturb a task are paused; after twice this time all
 * fillers beside it are. A task may be disturbed for at most about 4 s at a stretch.
 */
const PAUSE_AFTER_MS: Millis = 1_100;
/** Headroom for a further relative increase of a load below which the worker reports more often. */
const LOW_HEADROOM = 0.3;
/** Speed limits are multiples of this, so that small changes cause no order to the worker. */
const SPEED_STEP_PERCENT = 10;
/** Time over which the readings of a report are averaged. */
const READING_WINDOW_MS: Millis = 500;

/** A filler that ended recently, and the fraction of the processors that it used. */
interface EndedFiller {
  readonly spec: StepSpec;
  readonly at: Instant;
  readonly used: number;
}

/** The fraction of the processors that a filler used during a reading. */
interface FillerUsage {
  readonly spec: StepSpec;
  readonly used: number;
}

/** A run that was over its target but no longer is, and for how long it was. */
export interface OverTargetRun {
  readonly run: Run;
  readonly overMs: Millis;
}

/** Learns pressures and loads from reports, and derives placement speeds and limits of fillers. */
export class Interference {
  private readonly pressures = new Estimates<string>(
    INITIAL_PRESSURE,
    PRESSURE_DRIFT,
  );
  private readonly loads = new Trends<Step>(LOAD_MODEL);
  private readonly periodicLoads: PeriodicLoads<Step>;
  private usesForecast = false;
  /** Monotonic time of the newest report. */
  private reportedAt: Instant = -Infinity;
  /** Low tail by image. */
  private readonly lowTails = new Map<string, Millis>();
  private readonly endedFillers = new Map<WorkerRuns, EndedFiller[]>();
  private readonly overTarget = new OverTargetTracker();

  /** Creates a model that starts from the estimates of an earlier one, if any. */
  constructor(earlier?: ReceivedEstimates) {
    this.periodicLoads = new PeriodicLoads(earlier?.estimates.loadPeriodMs);
    if (earlier !== undefined) {
      const { estimates, readAt } = earlier;
      for (const [pair, mean, variance] of estimates.pressures) {
        this.pressures.seed(pair, { mean, variance }, readAt);
      }
      for (const [image, low] of estimates.lowTails) {
        this.lowTails.set(image, low);
      }
    }
  }

  /** Sets whether periodic loads are sampled and forecast; otherwise loads are extrapolated linearly. */
  useForecast(isUsed: boolean): void {
    this.usesForecast = isUsed;
  }

  /** The period by which loads are forecast; undefined if they are extrapolated linearly. */
  get loadPeriod(): LoadPeriod | undefined {
    return this.usesForecast ? this.periodicLoads.period : undefined;
  }

  /** Returns the learned estimates, from which another model can start. */
  learnedEstimates(): Omit<LearnedEstimates, 'runTimes'> {
    const { knownPeriodMs } = this.periodicLoads;
    const pressures = [...this.pressures.entries()].slice(-MAX_LEARNED_ENTRIES);
    return {
      pressures: pressures.map(([pair, { mean, variance }]) => [
        pair,
        roundEstimate(mean),
        roundEstimate(variance),
      ]),
      lowTails: [...this.lowTails]
        .slice(-MAX_LEARNED_ENTRIES)
        .map(([image, low]) => [image, roundEstimate(low)]),
      ...(knownPeriodMs !== undefined && {
        loadPeriodMs: roundEstimate(knownPeriodMs),
      }),
    };
  }

  /** Records the end of a filler, since the next readings still include its effect. */
  recordFillerEnd(
    load: WorkerRuns,
    run: Run,
    cpuMilli: number,
    now: Instant,
  ): void {
    const { spec } = run.task.step;
    if (spec.filler) {
      const used = (run.progress?.reading ?? 0) / cpuMilli;
      const list = this.endedFillers.get(load) ?? [];
      this.endedFillers.set(load, [...list, { spec, at: now, used }]);
    }
  }

  /**
   * Learns from a report of a worker with `cpuMilli`; the readings of its runs have to be up to date. Returns
   * the runs that were over their targets until now.
   */
  learnFromReport(
    load: WorkerRuns,
    cpuMilli: number,
    now: Instant,
  ): OverTargetRun[] {
    this.reportedAt = now;
    const usages = this.fillerUsagesOf(load, cpuMilli, now);
    const recovered: OverTargetRun[] = [];
    for (const run of runViewsOf(load.runs).serving) {
      const tail = run.progress?.reading ?? 0;
      if (tail > 0) {
        const overMs = this.overTarget.recordReading(run, tail, now);
        if (overMs !== undefined) {
          recovered.push({ run, overMs });
        }
        this.updateEstimates(run.task.step, tail, usages, now);
      }
    }
    return recovered;
  }

  /** Returns the fraction of its full speed, 0 to 1, at which one more filler could run on a worker. */
  speedOf(load: WorkerRuns, cpuMilli: number, filler: StepSpec): number {
    return this.speeds().speedOf(load, cpuMilli, filler);
  }

  /**
   * Returns the speeds of further fillers, valid as long as runs are only added and no report is handled.
   * `expectedMsOf` returns the expected time of a filler's run, over which its speed is averaged.
   */
  speeds(expectedMsOf?: (step: Step) => Millis): FillerSpeeds {
    return new FillerSpeeds({
      expectedMsOf,
      forecastHeadroom: (serving, aheadMs) =>
        this.forecastHeadroom(serving, aheadMs, PLACEMENT_MARGIN),
      gainBeside: (serving, load, cpuMilli) =>
        this.gainFrom(serving, fillersOf(load), cpuMilli),
      headroomBeside: (serving, load, cpuMilli) =>
        this.headroomOf(serving, PLACEMENT_AHEAD_MS) -
        this.gainFrom(serving, fillersOf(load), cpuMilli),
      // Without this delay, single readings slightly above the target would cost fillers 0.01 of their value.
      isOverTarget: run =>
        this.overTarget.overTargetMs(run, this.reportedAt) > PAUSE_AFTER_MS,
      pressure: (serving, filler) => {
        const { mean, variance } = this.pressureOf(serving, filler);
        return mean + PLACEMENT_CAUTION_SIGMAS * Math.sqrt(variance);
      },
    });
  }

  /** Tells whether fillers leave a serving task so little headroom that its next load swing may exceed it. */
  hasLowHeadroom(load: WorkerRuns, cpuMilli: number): boolean {
    const fillers = fillersOf(load);
    return (
      fillers.length > 0 &&
      runViewsOf(load.runs).serving.some(({ task }) => {
        const gain = this.gainFrom(task.step, fillers, cpuMilli);
        return this.headroomOf(task.step, LIMIT_AHEAD_MS) - gain < LOW_HEADROOM;
      })
    );
  }

  /** Returns speed limits of fillers in percent that keep serving tasks of the worker below their targets. */
  speedLimits(
    load: WorkerRuns,
    cpuMilli: number,
    now: Instant,
  ): Map<Run, number> {
    const fillers = fillersOf(load);
    const limits = new Map(fillers.map(run => [run, 100]));
    for (const run of runViewsOf(load.runs).serving) {
      const overMs = this.overTarget.overTargetMs(run, now);
      if (overMs > 2 * PAUSE_AFTER_MS) {
        return new Map(fillers.map(filler => [filler, 0]));
      }
      const headroom =
        overMs > PAUSE_AFTER_MS
          ? 0
          : this.headroomOf(run.task.step, LIMIT_AHEAD_MS);
      this.limitFillers(run.task.step, headroom, fillers, limits, cpuMilli);
    }
    return limits;
  }

  /** Returns the speed limits of fillers that are expected after `aheadMs`, without pauses. */
  limitsAhead(
    load: WorkerRuns,
    cpuMilli: number,
    aheadMs: Millis,
  ): Map<Run, number> {
    const fillers = fillersOf(load);
    const limits = new Map(fillers.map(run => [run, 100]));
    for (const step of runViewsOf(load.runs).servingSteps) {
      const headroom =
        this.forecastHeadroom(step, aheadMs) ??
        this.headroomOf(step, Math.min(aheadMs, LIMIT_AHEAD_MS));
      this.limitFillers(step, headroom, fillers, limits, cpuMilli);
    }
    return limits;
  }

  /** Lowers the limits of the fillers that disturb `serving` the most until the others fit its headroom. */
  private limitFillers(
    serving: Step,
    headroom: number,
    fillers: readonly Run[],
    limits: Map<Run, number>,
    cpuMilli: number,
  ): void {
    const disturbing = fillers
      .map(run => ({ run, full: this.gainFrom(serving, [run], cpuMilli) }))
      .filter(({ full }) => full > NEGLIGIBLE_GAIN)
      .sort((a, b) => a.full - b.full);
    let left = Math.max(0, headroom);
    for (const { run, full } of disturbing) {
      const allowed = limits.get(run) ?? 100;
      const percent = Math.floor((100 * left) / full);
      const stepped =
        Math.floor(percent / SPEED_STEP_PERCENT) * SPEED_STEP_PERCENT;
      const limit = Math.min(allowed, Math.max(0, stepped));
      limits.set(run, limit);
      left = Math.max(0, left - (full * limit) / 100);
    }
  }

  private fillerUsagesOf(
    load: WorkerRuns,
    cpuMilli: number,
    now: Instant,
  ): FillerUsage[] {
    const recent = (this.endedFillers.get(load) ?? []).filter(
      ({ at }) => now - at < READING_WINDOW_MS,
    );
    this.endedFillers.set(load, recent);
    const running = fillersOf(load).map(run => ({
      spec: run.task.step.spec,
      used: (run.progress?.reading ?? 0) / cpuMilli,
    }));
    const ended = recent.map(({ spec, at, used }) => ({
      spec,
      used: used * (1 - (now - at) / READING_WINDOW_MS),
    }));
    return [...running, ...ended].filter(({ used }) => used > 0);
  }

  /** Corrects own load and pressures by the error of the expected load, in proportion to their variances. */
  private updateEstimates(
    step: Step,
    tail: Millis,
    usages: readonly FillerUsage[],
    now: Instant,
  ): void {
    const { spec } = step;
    this.updateLowTail(spec, tail);
    const total = 1 - this.tailFloorOf(spec) / tail;
    const own = this.loads.at(step, now);
    const contributions = usages.map(usage => ({
      key: pairOf(spec, usage.spec),
      used: usage.used,
      pressure: this.pressures.at(pairOf(spec, usage.spec), now),
    }));
    let gain = 1;
    let variance = LOAD_READING_VARIANCE;
    for (const { used, pressure } of contributions) {
      gain += pressure.mean * used;
      variance += pressure.variance * (own.mean * used) ** 2;
    }
    const expected = own.mean * gain;
    variance += own.variance * gain ** 2;
    const observed = Math.min(MAX_LOAD, Math.max(0, total));
    if (observed >= MAX_LOAD && expected >= MAX_LOAD) {
      return;
    }
    const innovation = { error: observed - expected, variance };
    this.loads.correct(step, own, gain, innovation, [MIN_LOAD, MAX_LOAD]);
    if (this.usesForecast) {
      const estimate = this.loads.predict(step, now, 0);
      this.periodicLoads.sample(step, estimate, now);
    }
    for (const { key, used, pressure } of contributions) {
      const bounds = [0, MAX_PRESSURE] as const;
      const weight = own.mean * used;
      this.pressures.correct(key, pressure, weight, innovation, bounds);
    }
  }

  private updateLowTail(spec: StepSpec, tail: Millis): void {
    const image = spec.image ?? '';
    const low = this.lowTails.get(image) ?? tail;
    const weight = tail < low ? WEIGHT_BELOW_LOW_TAIL : WEIGHT_ABOVE_LOW_TAIL;
    this.lowTails.set(image, low + weight * (tail - low));
  }

  private tailFloorOf(spec: StepSpec): Millis {
    const initial = (spec.tailTargetMs ?? 0) / INITIAL_TARGET_FACTOR;
    const low = this.lowTails.get(spec.image ?? '');
    return low === undefined
      ? initial
      : Math.min(initial, low * FLOOR_FRACTION);
  }

  /**
   * Returns the relative increase of a step's own load that fillers may cause both now and after
   * `aheadMs`; negative if the own load alone is too high.
   */
  private headroomOf(step: Step, aheadMs: Millis): number {
    const time = this.reportedAt + aheadMs;
    const own = Math.max(
      this.loads.predict(step, this.reportedAt, MAX_EXTRAPOLATION_MS),
      this.forecastOf(step, aheadMs) ??
        this.loads.predict(step, time, MAX_EXTRAPOLATION_MS),
      MIN_LOAD,
    );
    return this.loadLimitOf(step.spec) / own - 1;
  }

  /** Returns the headroom of a step at a single time ahead, less a margin; undefined if its load is not forecast. */
  private forecastHeadroom(
    step: Step,
    aheadMs: Millis,
    margin = 0,
  ): number | undefined {
    const forecast = this.forecastOf(step, aheadMs);
    if (forecast === undefined) {
      return undefined;
    }
    const own = Math.max(MIN_LOAD, forecast) + margin;
    return this.loadLimitOf(step.spec) / own - 1;
  }

  private forecastOf(step: Step, aheadMs: Millis): number | undefined {
    if (!this.usesForecast) {
      return undefined;
    }
    const at = this.reportedAt;
    const value = this.loads.predict(step, at, MAX_EXTRAPOLATION_MS);
    return this.periodicLoads.forecast(step, { value, at }, at + aheadMs);
  }

  /** Returns the load at which a task of the step reaches its target, less a margin. */
  private loadLimitOf(spec: StepSpec): number {
    const target = spec.tailTargetMs ?? Infinity;
    return 1 - this.tailFloorOf(spec) / target - LOAD_MARGIN;
  }

  /** Returns the relative increase of a step's own load by fillers at full speed. */
  private gainFrom(
    serving: Step,
    fillers: readonly Run[],
    cpuMilli: number,
  ): number {
    return fillers.reduce((sum, { task }) => {
      const { spec } = task.step;
      const { mean, variance } = this.pressureOf(serving.spec, spec);
      const pressure = mean + LIMIT_CAUTION_SIGMAS * Math.sqrt(variance);
      return sum + (pressure * spec.size.cpuMilli) / cpuMilli;
    }, 0);
  }

  private pressureOf(serving: StepSpec, filler: StepSpec): Estimate {
    return this.pressures.latest(pairOf(serving, filler));
  }
}

/** Speed limit in percent up to which a filler should run elsewhere. */
const MOVE_BELOW_PERCENT = 40;
/** Time for which a filler has to be slowed before it is moved. */
export const MOVE_AFTER_MS: Millis = 800;

/** Progress in percent that a filler without checkpoints may lose by starting from scratch. */
const MAX_LOST_WORK_PERCENT = 15;

/** Tells whether a filler has been slowed for so long that it should move to another worker. */
export function shouldMoveFiller(
  { task, progress }: Run,
  now: Instant,
): boolean {
  const { spec } = task.step;
  return (
    spec.filler &&
    progress !== undefined &&
    !progress.stopping &&
    (spec.checkpoints || progress.percent <= MAX_LOST_WORK_PERCENT) &&
    (progress.allowedPercent ?? 100) <= MOVE_BELOW_PERCENT &&
    now - progress.allowedSince > MOVE_AFTER_MS
  );
}

function pairOf(serving: StepSpec, filler: StepSpec): string {
  return `${serving.image ?? ''}/${filler.image ?? ''}`;
}

function fillersOf({ runs }: WorkerRuns): readonly Run[] {
  return runViewsOf(runs).fillers;
}
