/** Speeds at which more best-effort fillers could run beside serving tasks, cached for one planning round. */
import type { Millis } from '../core/time.js';
import type { Run, Step } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import { runViewsOf } from './run-views.js';
import type { StepSpec } from './spec.js';

/** Relative increase of a serving load below which a filler counts as harmless. */
export const NEGLIGIBLE_GAIN = 0.02;

/** Time between the points at which the speed of a run is forecast: an eighth of the shortest period of loads. */
export const POINT_INTERVAL_MS: Millis = 500;
/** Most points of a run: a longer one meets each load of a period in turn. */
const MAX_POINTS = 16;

/** Lowest speed at the start of a run: a filler runs at full speed until its first limit takes effect. */
const MIN_START_SPEED = 0.5;

/** Current estimates of loads and pressures. */
export interface SpeedInputs {
  /** Relative increase of a serving step's load that one more filler may cause beside those of the worker. */
  readonly headroomBeside: (
    serving: Step,
    load: WorkerRuns,
    cpuMilli: number,
  ) => number;
  /** Returns the expected time of a filler's run; undefined where only the present speed counts. */
  readonly expectedMsOf: ((filler: Step) => Millis) | undefined;
  /** Relative increase of a step's load that all fillers may cause after `aheadMs`, if that is forecast. */
  readonly forecastHeadroom: (
    serving: Step,
    aheadMs: Millis,
  ) => number | undefined;
  /** Relative increase of a step's load by the fillers of a worker at full speed. */
  readonly gainBeside: (
    serving: Step,
    load: WorkerRuns,
    cpuMilli: number,
  ) => number;
  /** Whether a serving run has been over its target for a while. */
  readonly isOverTarget: (serving: Run) => boolean;
  /** Pressure of a filler on a serving task, with a safety margin. */
  readonly pressure: (serving: StepSpec, filler: StepSpec) => number;
}

/** A serving step on a worker, with the headroom and the gain beside it once they have been worked out. */
interface ServingStep {
  readonly step: Step;
  headroom: number | undefined;
  gainBeside: number | undefined;
}

/** A serving step, and the relative increase of its load by a filler at full speed. */
interface DisturbedStep {
  readonly serving: ServingStep;
  readonly gain: number;
}

interface ServingTasks {
  /** Number of runs of the worker when this was worked out; runs are only added while the cache lives. */
  readonly runCount: number;
  readonly steps: readonly ServingStep[];
  /** Whether one of them is over its target; no filler is added then, as the model may blame a wrong one. */
  readonly isOverTarget: boolean;
}

/** Cached filler speeds, valid as long as runs are only added and no report is handled. */
export class FillerSpeeds {
  private readonly servingByRuns = new Map<
    ReadonlyMap<string, Run>,
    ServingTasks
  >();
  /** Pressures by image of the filler, then by image of the serving task. */
  private readonly pressures = new Map<string, Map<string, number>>();
  /** Forecast headrooms by step and point; undefined if the step is not forecast. */
  private readonly headrooms = new Map<Step, (number | undefined)[]>();

  /** Creates an empty cache. */
  constructor(private readonly source: SpeedInputs) {}

  /** Returns the fraction of its full speed, 0 to 1, at which one more filler could run on a worker. */
  speedOf(load: WorkerRuns, cpuMilli: number, filler: StepSpec): number {
    let speed = 1;
    const cpuFraction = filler.size.cpuMilli / cpuMilli;
    const pressures = this.pressuresOf(filler);
    const beside = this.servingTasksOf(load);
    if (beside.isOverTarget) {
      return 0;
    }
    for (const serving of beside.steps) {
      const { step } = serving;
      const gain = this.pressure(pressures, step.spec, filler) * cpuFraction;
      if (gain > NEGLIGIBLE_GAIN) {
        serving.headroom ??= this.source.headroomBeside(step, load, cpuMilli);
        speed = Math.min(speed, serving.headroom / gain);
      }
    }
    return Math.max(0, speed);
  }

  /**
   * Returns the fraction of its full speed, 0 to 1, at which a filler of the step could run on a worker: the
   * mean over its expected run where that is known, else the present speed. Where it would start too slowly,
   * the speed at the start counts.
   */
  meanSpeedOf(load: WorkerRuns, cpuMilli: number, filler: Step): number {
    const expectedMs = this.source.expectedMsOf?.(filler);
    if (expectedMs === undefined) {
      return this.speedOf(load, cpuMilli, filler.spec);
    }
    const beside = this.servingTasksOf(load);
    if (beside.isOverTarget) {
      return 0;
    }
    const disturbed = this.disturbedBy(filler.spec, beside.steps, cpuMilli);
    if (disturbed.length === 0) {
      return 1;
    }
    const points = pointsOf(expectedMs);
    let sum = 0;
    for (let point = 0; point < points; point += 1) {
      const speed = this.speedAt(point, disturbed, load, cpuMilli);
      // The other points are not worked out, since placement compares thousands of such workers in a round.
      if (point === 0 && speed < MIN_START_SPEED) {
        return speed;
      }
      sum += speed;
    }
    return sum / points;
  }

  /** Returns the fraction of its full speed, 0 to 1, at which a filler could run at a point. */
  private speedAt(
    point: number,
    disturbed: readonly DisturbedStep[],
    load: WorkerRuns,
    cpuMilli: number,
  ): number {
    let speed = 1;
    for (const { serving, gain } of disturbed) {
      const headroom = this.headroomBeside(serving, load, cpuMilli, point);
      speed = Math.min(speed, headroom / gain);
    }
    return Math.max(0, speed);
  }

  /** Returns the serving steps that a filler disturbs, and by how much it increases the load of each. */
  private disturbedBy(
    filler: StepSpec,
    steps: readonly ServingStep[],
    cpuMilli: number,
  ): DisturbedStep[] {
    const pressures = this.pressuresOf(filler);
    const cpuFraction = filler.size.cpuMilli / cpuMilli;
    const found: DisturbedStep[] = [];
    for (const serving of steps) {
      const { spec } = serving.step;
      const gain = this.pressure(pressures, spec, filler) * cpuFraction;
      if (gain > NEGLIGIBLE_GAIN) {
        found.push({ serving, gain });
      }
    }
    return found;
  }

  /** Returns the headroom beside a serving step at a point; the present one if the step is not forecast. */
  private headroomBeside(
    serving: ServingStep,
    load: WorkerRuns,
    cpuMilli: number,
    point: number,
  ): number {
    const { step } = serving;
    const forecast = this.forecastHeadroom(step, point);
    if (forecast === undefined) {
      serving.headroom ??= this.source.headroomBeside(step, load, cpuMilli);
      return serving.headroom;
    }
    serving.gainBeside ??= this.source.gainBeside(step, load, cpuMilli);
    return forecast - serving.gainBeside;
  }

  private forecastHeadroom(step: Step, point: number): number | undefined {
    let known = this.headrooms.get(step);
    if (known === undefined) {
      known = [];
      this.headrooms.set(step, known);
    }
    if (!(point in known)) {
      const aheadMs = (point + 0.5) * POINT_INTERVAL_MS;
      known[point] = this.source.forecastHeadroom(step, aheadMs);
    }
    return known[point];
  }

  private servingTasksOf({ runs }: WorkerRuns): ServingTasks {
    const cached = this.servingByRuns.get(runs);
    if (cached?.runCount === runs.size) {
      return cached;
    }
    const { serving, servingSteps } = runViewsOf(runs);
    const found = {
      runCount: runs.size,
      steps: servingSteps.map(step => ({
        step,
        headroom: undefined,
        gainBeside: undefined,
      })),
      isOverTarget: serving.some(run => this.source.isOverTarget(run)),
    };
    this.servingByRuns.set(runs, found);
    return found;
  }

  private pressuresOf({ image = '' }: StepSpec): Map<string, number> {
    const cached = this.pressures.get(image);
    if (cached !== undefined) {
      return cached;
    }
    const created = new Map<string, number>();
    this.pressures.set(image, created);
    return created;
  }

  private pressure(
    cache: Map<string, number>,
    serving: StepSpec,
    filler: StepSpec,
  ): number {
    const image = serving.image ?? '';
    const found = cache.get(image);
    if (found !== undefined) {
      return found;
    }
    const pressure = this.source.pressure(serving, filler);
    cache.set(image, pressure);
    return pressure;
  }
}

function pointsOf(expectedMs: Millis): number {
  const points = Math.round(expectedMs / POINT_INTERVAL_MS);
  return Math.min(MAX_POINTS, Math.max(1, points));
}
