/** Supervises open runs: stops needless and stalled ones, and throttles those that interfere with others. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  FillerMoves,
  findWorker,
  isFinished,
  shouldMoveFiller,
  isStalled,
  planMovesOffLeaving,
  refOf,
  taskName,
  obsoleteReasonOf,
  workerRuns,
  type Interference,
  type JobsState,
  type MoveCosts,
  type PlanInput,
  type Run,
  type Task,
  type MoveUrgency,
  type WorkerHealth,
  type WorkerInfo,
  type WorkerRuns,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionPace } from './decision-pace.js';
import { LeavingLog } from './leaving-log.js';
import { LoadPeriodLog } from './load-period-log.js';
import type { StopReason } from './meters.js';
import { supervisionOf, type SaturatedInterval } from './saturated-interval.js';
import {
  MAX_POLL_WAIT_MS,
  MAX_QUIET_POLLS_PER_S,
  POLL_WAIT_MS,
  SHORT_POLL_WAIT_MS,
} from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** Dependencies of a supervisor. */
export interface SupervisorOptions {
  readonly ctx: HostContext;
  readonly state: JobsState;
  readonly interference: Interference;
  readonly health: WorkerHealth;
  readonly pace: DecisionPace;
  readonly linkTo: (worker: string) => WorkerLink | undefined;
  /** Time at which a worker was first seen to be about to leave, or undefined if it is not leaving. */
  readonly leavingSince: (worker: string) => Instant | undefined;
  /** Whether another host calls a worker. */
  readonly isProxied: (worker: WorkerInfo) => boolean;
}

/**
 * How long long-running tasks on a leaving worker give precedence to short tasks, which free their places by
 * themselves and whose callers wait. Workers announce their departure 2 to 5 s ahead, the leader reads the
 * announcement up to 1.2 s later, and a stop takes up to 0.9 s.
 */
const SHORT_TASK_PRECEDENCE_MS: Millis = 1_000;

/** A task that exceeds its target for this long is logged: half of what its users tolerate. */
const LOGGED_OVER_TARGET_MS: Millis = 2_000;

/** Smallest raise of a limit that a saturated host orders. */
const MIN_SATURATED_RAISE_PERCENT = 30;
const FULL_SPEED_PERCENT = 100;

const MS_PER_S = 1_000;

function urgencyOf(leavingSince: Instant, now: Instant): MoveUrgency {
  return now - leavingSince > SHORT_TASK_PRECEDENCE_MS ? 'urgent' : 'patient';
}

/** Returns how long workers of a fleet of this size wait that have nothing to report. */
function quietPollWaitMs(workers: number): Millis {
  const waitMs = (MS_PER_S * workers) / MAX_QUIET_POLLS_PER_S;
  return Math.ceil(clamp(waitMs, POLL_WAIT_MS, MAX_POLL_WAIT_MS));
}

/** Whether a batch task of the first priority runs on a worker. */
function hasUrgentBatchRun({ runs }: WorkerRuns): boolean {
  for (const { task } of runs.values()) {
    const { spec, occurrence } = task.step;
    if (!spec.lasting && occurrence.job.spec.terms.priority === 0) {
      return true;
    }
  }
  return false;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Acts on open runs. */
export class RunSupervisor {
  /** Runs that were stopped on leaving workers, until their tasks start again. */
  private readonly runsMovedOffLeaving = new Set<Run>();
  private readonly leavingLogs: Readonly<Record<MoveUrgency, LeavingLog>>;
  private readonly loadPeriodLog: LoadPeriodLog;
  private readonly fillerMoves = new FillerMoves();
  private readonly supervision: SaturatedInterval;

  /** Creates a supervisor of the runs in `state`. */
  constructor(private readonly options: SupervisorOptions) {
    const { log } = options.ctx;
    this.supervision = supervisionOf(options.ctx);
    this.loadPeriodLog = new LoadPeriodLog(options.ctx);
    this.leavingLogs = {
      urgent: new LeavingLog(log),
      patient: new LeavingLog(log),
    };
  }

  /** Stops runs that nobody needs any more, and stalled runs, if that is due. */
  stopObsolete(): void {
    if (!this.supervision.isDue()) {
      return;
    }
    const now = this.options.ctx.clock();
    for (const run of this.openRuns()) {
      if (
        obsoleteReasonOf(run) !== undefined &&
        run.progress?.stopping === false
      ) {
        this.stop(run, 'needless');
      } else if (isStalled(run, now)) {
        this.stopStalled(run, now);
      }
    }
  }

  /**
   * Stops fillers that are slowed here and are better off elsewhere: where the costs of moves are used, those that
   * would end earlier there; otherwise those that would not be slowed there.
   */
  stopSlowedFillers(input: PlanInput): void {
    if (input.moveCosts !== undefined) {
      this.stopFillersThatGain(input, input.moveCosts);
      return;
    }
    for (const run of this.openRuns()) {
      const slowed = shouldMoveFiller(run, input.time.now);
      const better = slowed ? findWorker(input, run.task) : undefined;
      if (better !== undefined) {
        this.moveSlowed(run, better.info.id);
      }
    }
  }

  /**
   * Forecasts periodic loads from now on if runs can be moved quickly enough to follow them. Call this before
   * other decisions of a round, so that none is made by a forecast that is no longer used.
   */
  updateLoadForecast({
    interference,
    moveCosts,
  }: Pick<PlanInput, 'interference' | 'moveCosts'>): void {
    interference.useForecast(moveCosts !== undefined);
    this.loadPeriodLog.update(interference.loadPeriod);
  }

  private stopFillersThatGain(input: PlanInput, costs: MoveCosts): void {
    const moves = this.fillerMoves.decide(input, costs, this.openRuns());
    for (const { run, to, gainMs } of moves) {
      this.moveSlowed(run, to, { gainMs: Math.round(gainMs) });
    }
  }

  /** Stops a slowed filler, so that it is planned again, presumably on the worker `better`. */
  private moveSlowed(
    run: Run,
    better: string,
    gain: { readonly gainMs?: Millis } = {},
  ): void {
    this.logRun(run, 'leader: a run is slowed here and moves', {
      better,
      allowed: run.progress?.allowedPercent,
      ...gain,
    });
    this.stop(run, 'slowed');
  }

  /** Returns the tasks that were stopped on a leaving worker and have not started again. */
  movingTasks(): Set<Task> {
    const tasks = new Set<Task>();
    for (const run of this.runsMovedOffLeaving) {
      const { task } = run;
      const [open] = task.runs;
      const finished = isFinished(task.step.occurrence.job);
      if (finished || (open !== undefined && open !== run)) {
        this.runsMovedOffLeaving.delete(run);
      } else {
        tasks.add(task);
      }
    }
    return tasks;
  }

  /**
   * Stops the long-running tasks of one urgency on leaving workers if there is capacity for them elsewhere,
   * and reserves that capacity for the rest of the round.
   */
  moveOffLeaving(input: PlanInput, urgency: MoveUrgency): void {
    const onLeaving = this.runsOnLeaving(urgency, input.time.now);
    const { stop, stay } = planMovesOffLeaving(input, onLeaving);
    for (const run of stop) {
      this.runsMovedOffLeaving.add(run);
      this.logRun(run, 'leader: a run moves off a worker that leaves', {});
      this.stop(run, 'leaving');
    }
    this.leavingLogs[urgency].logChanges(stay);
  }

  /**
   * Returns the runs on leaving workers; those of the worker that announced its departure first come first.
   */
  private runsOnLeaving(urgency: MoveUrgency, now: Instant): Run[] {
    const found: { since: Instant; runs: Iterable<Run> }[] = [];
    for (const [worker, { runs }] of this.options.state.workers) {
      const since = this.options.leavingSince(worker);
      if (since !== undefined && urgencyOf(since, now) === urgency) {
        found.push({ since, runs: runs.values() });
      }
    }
    return found
      .sort((a, b) => a.since - b.since)
      .flatMap(({ runs }) => [...runs]);
  }

  /** Learns from a worker's report how its fillers affect the latency of its serving tasks. */
  learnFromReport({ id, capacity }: WorkerInfo): void {
    const { ctx, state, interference } = this.options;
    const load = workerRuns(state, id);
    const overTarget = interference.learnFromReport(
      load,
      capacity.cpuMilli,
      ctx.clock(),
    );
    for (const { run, overMs } of overTarget) {
      if (overMs >= LOGGED_OVER_TARGET_MS) {
        const fillers = load.fillerCpuMilli;
        const more = { overMs: Math.round(overMs), fillers };
        this.logRun(run, 'leader: a task was over its target', more);
      }
    }
  }

  /** Notes that a run is about to end. */
  noteRunEnding(run: Run): void {
    const { ctx, state, interference } = this.options;
    const info = this.options.linkTo(run.worker)?.info;
    if (info !== undefined) {
      const load = workerRuns(state, run.worker);
      interference.recordFillerEnd(
        load,
        run,
        info.capacity.cpuMilli,
        ctx.clock(),
      );
    }
  }

  /**
   * Throttles the fillers of a worker to protect its serving tasks. A saturated host puts off small raises of
   * limits, since starts serve more.
   */
  throttleFillers(link: WorkerLink): void {
    const { ctx, state, interference } = this.options;
    const load = workerRuns(state, link.info.id);
    if (load.servingCpuMilli === 0) {
      return;
    }
    const { cpuMilli } = link.info.capacity;
    const shares = interference.speedLimits(load, cpuMilli, ctx.clock());
    const minRaise = ctx.isSaturated() ? MIN_SATURATED_RAISE_PERCENT : 0;
    for (const [run, share] of shares) {
      const { confirmed = false, allowedPercent } = run.progress ?? {};
      const raise = share - (allowedPercent ?? FULL_SPEED_PERCENT);
      const isPutOff = raise > 0 && raise < minRaise;
      if (confirmed && allowedPercent !== share && !isPutOff) {
        link.throttle(run, share);
      }
    }
  }

  /** How long a worker, one of `workers`, may wait for an end before it reports. */
  pollWaitMs({ id, capacity }: WorkerInfo, workers: number): Millis {
    const { state, interference, pace } = this.options;
    const load = workerRuns(state, id);
    return interference.hasLowHeadroom(load, capacity.cpuMilli)
      ? Math.max(SHORT_POLL_WAIT_MS, pace.pollIntervalMs(workers, false))
      : quietPollWaitMs(workers);
  }

  /** Shortest time between two polls of a worker, one of `workers`. */
  pollIntervalMs(info: WorkerInfo, workers: number): Millis {
    const { pace, state, isProxied } = this.options;
    const isPrompt =
      isProxied(info) || hasUrgentBatchRun(workerRuns(state, info.id));
    return pace.pollIntervalMs(workers, isPrompt);
  }

  private stopStalled(run: Run, now: Instant): void {
    const sinceMs = Math.round(now - (run.progress?.percentSince ?? now));
    this.logRun(run, 'leader: a run stands still and is stopped', { sinceMs });
    this.options.health.noteStall(run.worker, now);
    this.stop(run, 'stalled');
  }

  private logRun(run: Run, msg: string, more: Record<string, unknown>): void {
    const task = taskName(refOf(run.task));
    const { number, worker, progress } = run;
    this.options.ctx.log.info(
      { task, run: number, worker, percent: progress?.percent, ...more },
      msg,
    );
  }

  private stop(run: Run, reason: StopReason): void {
    this.options.ctx.meters.stopped(reason);
    this.options.linkTo(run.worker)?.stop(run);
  }

  private *openRuns(): Iterable<Run> {
    for (const { runs } of this.options.state.workers.values()) {
      yield* runs.values();
    }
  }
}
