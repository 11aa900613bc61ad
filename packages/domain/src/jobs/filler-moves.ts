/**
 * Decides which slowed fillers are stopped in order to run elsewhere: those that end earlier there by more than
 * the move costs. See docs/design/periodic-loads.md.
 */
import type { Instant, Millis } from '../core/time.js';
import { POINT_INTERVAL_MS } from './filler-speeds.js';
import { MOVE_AFTER_MS } from './interference.js';
import type { Run, RunProgress, Step } from './job.js';
import { workerRuns } from './jobs-state.js';
import type { MoveCosts } from './move-costs.js';
import type { PlanWorker } from './placement.js';
import {
  findWorker,
  placementInputOf,
  reservationsOf,
  type PlanInput,
} from './plan.js';

/** Speed limit in percent below which a filler may move: a move costs a fifth of the shortest runs. */
const SLOWED_BELOW_PERCENT = 70;
/** Time that the orders to stop and to start take, with the planning in between. */
const ORDERS_MS: Millis = 150;
/** Time between two decisions on a run: limits change only with reports. */
const CHECK_INTERVAL_MS: Millis = 350;
/** Most steps in a round for which all workers are compared. */
const MAX_SEARCHES = 32;
/** Number of points at which the limits of a filler are forecast: 8 s, two of the longer runs. */
const FORECAST_POINTS = 16;
/** Lowest speed that is expected of a run over all points, so that times stay finite. */
const MIN_MEAN_SPEED = 0.02;

/** A filler that moves. */
export interface FillerMove {
  readonly run: Run;
  /** Worker that has capacity for it now; where it starts is decided once it has stopped. */
  readonly to: string;
  /** How much earlier it is expected to end there, with the costs of the move. */
  readonly gainMs: Millis;
}

interface SlowedRun {
  readonly since: Instant;
  checkedAt: Instant;
}

/** Decides on the moves of fillers in successive rounds. */
export class FillerMoves {
  private readonly slowed = new WeakMap<Run, SlowedRun>();

  /** Returns the fillers among `runs` that move, at most one of each step. */
  decide(
    input: PlanInput,
    costs: MoveCosts,
    runs: Iterable<Run>,
  ): FillerMove[] {
    const round = new MoveRound(input, costs);
    const moves: FillerMove[] = [];
    for (const run of runs) {
      const { progress } = run;
      if (
        run.task.step.spec.filler &&
        progress !== undefined &&
        this.isDue(run, progress, input.time.now)
      ) {
        const move = round.moveOf(run, progress);
        if (move !== undefined) {
          moves.push(move);
        }
      }
    }
    return moves;
  }

  /**
   * Tells whether a run has been slowed for a while and has not just been decided on. The times are kept here,
   * since `allowedSince` starts anew with each change of a limit.
   */
  private isDue(run: Run, progress: RunProgress, now: Instant): boolean {
    const { allowedPercent, allowedSince, stopping } = progress;
    if (allowedPercent === undefined || stopping) {
      return false;
    }
    if (allowedPercent >= SLOWED_BELOW_PERCENT) {
      this.slowed.delete(run);
      return false;
    }
    let known = this.slowed.get(run);
    if (known === undefined) {
      known = { since: allowedSince, checkedAt: -Infinity };
      this.slowed.set(run, known);
    }
    if (
      now - known.since <= MOVE_AFTER_MS ||
      now - known.checkedAt < CHECK_INTERVAL_MS
    ) {
      return false;
    }
    known.checkedAt = now;
    return true;
  }
}

/** The decisions of one round. */
class MoveRound {
  /** Best worker by step; undefined if there is none. */
  private readonly workerByStep = new Map<Step, PlanWorker | undefined>();
  private readonly movedSteps = new Set<Step>();
  private readonly workers: ReadonlyMap<string, PlanWorker>;
  /** Forecast limits by worker and point. */
  private readonly limits = new Map<string, Map<Run, number>[]>();

  constructor(
    private readonly input: PlanInput,
    private readonly costs: MoveCosts,
  ) {
    this.workers = new Map(
      input.workers.map(worker => [worker.info.id, worker]),
    );
  }

  /** Returns the move of a slowed run if it ends earlier elsewhere by more than the costs. */
  moveOf(run: Run, progress: RunProgress): FillerMove | undefined {
    const { step } = run.task;
    // Checked first, since it costs less than a forecast.
    if (this.movedSteps.has(step) || this.hasNoWorker(step)) {
      return undefined;
    }
    const expectedMs = this.input.times.expectedMs(step);
    const leftMs = expectedMs * (1 - progress.percent / 100);
    const hereMs = this.endsHereInMs(run, progress, leftMs);
    // A run without checkpoints loses its progress.
    const leftElsewhereMs = step.spec.checkpoints ? leftMs : expectedMs;
    const costMs = this.costs.stopMs + this.costs.restoreMs + ORDERS_MS;
    if (hereMs <= leftElsewhereMs + costMs) {
      return undefined;
    }
    const worker = this.workerFor(run);
    if (worker === undefined || worker.info.id === run.worker) {
      return undefined;
    }
    const thereMs = leftElsewhereMs / this.speedOn(worker, step) + costMs;
    if (hereMs <= thereMs) {
      return undefined;
    }
    // Another run that moves in this round may have taken the capacity since the worker was found.
    const reserved = reservationsOf(this.input).reserve(run.task);
    if (reserved !== worker.info.id) {
      return undefined;
    }
    this.movedSteps.add(step);
    return { run, to: worker.info.id, gainMs: hereMs - thereMs };
  }

  /** Returns the time until a run ends on its worker, if it has `leftMs` left at full speed. */
  private endsHereInMs(
    run: Run,
    { allowedPercent = 100 }: RunProgress,
    leftMs: Millis,
  ): Millis {
    let doneMs = 0;
    for (let point = 0; point < FORECAST_POINTS; point += 1) {
      // Limits look ahead, and follow a falling load one report late, so that the lower of both ends holds.
      const isPaused = point === 0 && allowedPercent === 0;
      const percent = isPaused
        ? 0
        : Math.min(
            this.limitOf(run, point) ?? allowedPercent,
            this.limitOf(run, point + 1) ?? allowedPercent,
          );
      const stepMs = (POINT_INTERVAL_MS * percent) / 100;
      if (doneMs + stepMs >= leftMs) {
        const lastMs = percent === 0 ? 0 : ((leftMs - doneMs) * 100) / percent;
        return point * POINT_INTERVAL_MS + lastMs;
      }
      doneMs += stepMs;
    }
    const meanSpeed = doneMs / (FORECAST_POINTS * POINT_INTERVAL_MS);
    return leftMs / Math.max(MIN_MEAN_SPEED, meanSpeed);
  }

  /** Returns the limit of a run at a point; undefined if nothing is known of its worker. */
  private limitOf(run: Run, point: number): number | undefined {
    const id = run.worker;
    const worker = this.workers.get(id);
    if (worker === undefined) {
      return undefined;
    }
    const known = this.limits.get(id) ?? [];
    this.limits.set(id, known);
    known[point] ??= this.input.interference.limitsAhead(
      workerRuns(this.input.state, id),
      worker.info.capacity.cpuMilli,
      point * POINT_INTERVAL_MS,
    );
    return known[point].get(run);
  }

  /** Tells whether the search for a worker for the step has failed, or would be one too many in this round. */
  private hasNoWorker(step: Step): boolean {
    return this.workerByStep.has(step)
      ? this.workerByStep.get(step) === undefined
      : this.workerByStep.size >= MAX_SEARCHES;
  }

  private workerFor({ task }: Run): PlanWorker | undefined {
    const { step } = task;
    if (!this.workerByStep.has(step)) {
      this.workerByStep.set(step, findWorker(this.input, task));
    }
    return this.workerByStep.get(step);
  }

  /** Returns the fraction of its full speed at which a filler of the step would run on a worker. */
  private speedOn({ info }: PlanWorker, step: Step): number {
    const { speeds, loadOf } = placementInputOf(this.input);
    const speed = speeds.meanSpeedOf(
      loadOf(info.id),
      info.capacity.cpuMilli,
      step,
    );
    return Math.min(1, Math.max(MIN_MEAN_SPEED, speed));
  }
}
