/** Records what happens to runs: that their workers were reached, and that they started and ended. */
import {
  findTask,
  isAbandoned,
  isFinished,
  isAwaitingCompletion,
  noteWorkerLoss,
  refOf,
  attributeLoss,
  unsettledJobs,
  workerIdOf,
  workersLostUnder,
  type LossAttribution,
  type JobsState,
  type JournalRecord,
  type Run,
  type RunEnd,
  type Task,
  type WorkerLossKind,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';
import type { Instant } from '@paddlewind/domain';
import type { EndedRun } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { logJobFailure } from './failure-log.js';
import type { Fleet } from './fleet.js';
import {
  logAbandonedTask,
  logJobFinished,
  logRun,
  logStrayEnd,
} from './leader-log.js';
import { learnFromEnd, wholeRunTimeMs } from './leader-records.js';
import type { LearnedTimes } from './learned-times.js';
import type { WonClaim } from './leadership.js';
import type { AbandonedWorkerReason } from './meters.js';
import { RunFailures, type LossCircumstances } from './run-failures.js';
import type { StartWindow } from './start-window.js';

/** What a recorder asks about workers. */
export type FleetView = Pick<
  Fleet,
  'presenceOf' | 'registeredWorkers' | 'countSilent'
>;

/** Dependencies and callbacks of a recorder. */
export interface RunRecorderOptions {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
  readonly state: JobsState;
  readonly decisions: DecisionLog;
  readonly times: LearnedTimes;
  readonly health: WorkerHealth;
  readonly startWindow: StartWindow;
  /** A run is about to end. */
  readonly onRunEnding: (run: Run, how: RunEnd | 'lost') => void;
  /** The workers of the leader. */
  readonly fleet: () => FleetView;
  /** Something was recorded that planning has to consider. */
  readonly onChange: () => void;
}

/** A journal record that ends a run. */
type EndRecord = Extract<JournalRecord, { kind: 'end' | 'lost' }>;

/** Records events of runs until it is closed. */
export class RunRecorder {
  private closed = false;
  /** Workers that were abandoned together with their runs. */
  private readonly abandonedWorkers = new Set<string>();
  private readonly failures: RunFailures;

  /** Creates the recorder of one leader. */
  constructor(private readonly options: RunRecorderOptions) {
    this.failures = new RunFailures(options.state);
  }

  /** Stops recording, because another host leads. */
  close(): void {
    this.closed = true;
  }

  /** Records the end of a run; does nothing if the run is not open. */
  recordEnd(run: Run, how: RunEnd, checkpoint: string): void {
    const ref = { task: refOf(run.task), run: run.number };
    this.endRun(run, how, { kind: 'end', ...ref, how, checkpoint });
  }

  /**
   * Records the ends of runs that are abandoned with their worker, and how likely each run caused the loss.
   */
  recordAbandoned(
    worker: string,
    runs: readonly Run[],
    reason: AbandonedWorkerReason,
    lostBy: Instant,
  ): void {
    if (runs.length === 0) {
      return;
    }
    this.abandonedWorkers.add(worker);
    this.noteContactLost(worker, runs, lostBy);
    const { ctx, claim, state, fleet } = this.options;
    const now = ctx.clock();
    const lossKind = this.lossKindOf(worker, reason);
    const attributions = attributeLoss(state, runs, {
      lossKind,
      fleetSize: fleet().registeredWorkers().length,
      leadsSince: claim.wonAt,
      lostBy,
      now,
    });
    const circumstances: LossCircumstances = {
      lossKind,
      reason,
      presence: fleet().presenceOf(worker),
      silentWorkers: fleet().countSilent(),
      othersLost: this.failures.countLost([worker], now),
    };
    this.failures.noteWorkerLost(worker, now);
    for (const [run, loss] of attributions) {
      this.recordLoss(run, loss, circumstances);
    }
  }

  /** Records the ends of the runs at workers that are not registered any more. */
  recordUnregistered(lost: ReadonlyMap<string, readonly Run[]>): void {
    const now = this.options.ctx.clock();
    // All are noted first, since it matters which workers were lost together.
    lost.forEach((runs, worker) => {
      this.noteContactLost(worker, runs, now);
    });
    lost.forEach((runs, worker) => {
      this.recordAbandoned(worker, runs, 'unregistered', now);
    });
  }

  /** Notes that a worker with these runs has stopped answering, or is not registered. */
  noteContactLost(worker: string, runs: Iterable<Run>, at: Instant): void {
    const { state, claim } = this.options;
    const jobs = unsettledJobs(state, runs, claim.wonAt);
    state.lostContacts.noteLost(worker, at, jobs);
  }

  /** Notes that a worker answers again. */
  noteContact(worker: string): void {
    this.options.state.lostContacts.noteAnswered(worker);
  }

  /** Records that a run has started at a later incarnation of its worker. */
  recordMove(run: Run, worker: string): void {
    if (this.closed) {
      return;
    }
    const { task, number, worker: before } = run;
    logRun(
      this.options,
      run,
      'leader: a run is at a later start of its worker',
      {
        before,
        worker,
      },
    );
    const ref = { task: refOf(task), run: number };
    this.options.decisions.record({ kind: 'moved', ...ref, worker });
  }

  /**
   * Notes that a worker was removed. If it disappears unannounced without any runs, that shows that workers
   * can be lost without a task causing it.
   */
  noteWorkerRemoved(worker: string, announced: boolean): void {
    const lostNoRuns = !this.abandonedWorkers.delete(worker);
    if (lostNoRuns && !announced) {
      noteWorkerLoss(this.options.state, worker);
    }
  }

  /**
   * Returns how a worker was lost. One that was removed before this leader took over may have announced its
   * departure.
   */
  private lossKindOf(
    worker: string,
    reason: AbandonedWorkerReason,
  ): WorkerLossKind {
    const presence = this.options.fleet().presenceOf(worker);
    if (presence === 'leaving') {
      return 'left';
    }
    switch (reason) {
      case 'replaced':
        return 'crashed';
      case 'unanswered':
        return presence === 'gone' ? 'crashed' : 'unreachable';
      case 'unregistered':
        return 'gone';
    }
  }

  private recordLoss(
    run: Run,
    loss: LossAttribution,
    circumstances: LossCircumstances,
  ): void {
    const { task } = run;
    const wasAbandoned = isAbandoned(task);
    const checkpoint = checkpointOf(run);
    const ref = { task: refOf(task), run: run.number };
    this.failures.noteRunLost(run, circumstances);
    const record = { kind: 'lost', ...ref, checkpoint, ...loss } as const;
    this.endRun(run, 'lost', record, { ...circumstances, ...loss });
    if (!wasAbandoned && isAbandoned(task)) {
      this.options.ctx.meters.taskGivenUp();
      logAbandonedTask(this.options, task);
      const workers = workersLostUnder(task);
      this.options.decisions.record({
        kind: 'abandoned',
        task: refOf(task),
        workers,
      });
    }
  }

  /** Ends a run that is open; its log line has the fields of `loss`, if it was lost. */
  private endRun(
    run: Run,
    how: RunEnd | 'lost',
    record: EndRecord,
    loss: Partial<LossAttribution & LossCircumstances> = {},
  ): void {
    const { task } = run;
    if (this.closed || !task.runs.includes(run)) {
      return;
    }
    const { ctx, claim, health, times, startWindow } = this.options;
    const leadsSince = claim.wonAt;
    if (how === 'done') {
      this.measureRunTime(run);
    }
    learnFromEnd(run, how, { health, times, now: ctx.clock(), leadsSince });
    ctx.meters.ended(how);
    this.options.onRunEnding(run, how);
    startWindow.noteEnded(run);
    const expectedMs = Math.round(times.inForce().expectedMs(task.step));
    const more = { how, ...loss, expectedMs };
    logRun(this.options, run, 'leader: a run has ended', more);
    if (how === 'failed') {
      this.failures.noteRunFailed(run, ctx.clock());
    }
    this.recordTaskEnd(task, record);
  }

  /** Compares the time that a run took with the one expected just before its end, if both are known. */
  private measureRunTime(run: Run): void {
    const { ctx, claim, times } = this.options;
    const model = times.inForce();
    const expectedMs = model.expectedMs(run.task.step);
    const runTimeMs = wholeRunTimeMs(run, ctx.clock(), claim.wonAt);
    if (runTimeMs !== undefined && expectedMs > 0) {
      ctx.meters.runTimeMeasured(model.kind, runTimeMs / expectedMs);
    }
  }

  /**
   * Handles a run that a worker lists as ended although it is not open here. The worker may have finished a
   * run that was abandoned here because its lease expired before the worker answered again. A finished run
   * counts, since callers asked for the work only once.
   */
  recordStrayEnd(worker: string, ended: EndedRun): void {
    const task = findTask(this.options.state, ended.task);
    if (this.closed || ended.how !== 'done' || !isAwaitingCompletion(task)) {
      return;
    }
    const { run, how, checkpoint } = ended;
    logStrayEnd(this.options, task, { worker, run });
    const ref = refOf(task);
    this.recordTaskEnd(task, { kind: 'end', task: ref, run, how, checkpoint });
  }

  /** Records that a worker was reached; `done` is called once the record is written. */
  recordReached(worker: string, done: () => void): void {
    if (this.closed) {
      return;
    }
    const id = workerIdOf(worker);
    this.options.decisions.record(
      { kind: 'reached', worker: id, incarnation: worker },
      written => {
        if (written) {
          done();
        }
      },
    );
    this.options.onChange();
  }

  /** Records that the first run of a job has started. */
  recordStarted(run: Run): void {
    const { decisions, startWindow } = this.options;
    startWindow.noteStarted(run);
    const { job } = run.task.step.occurrence;
    if (!this.closed && !job.hasStarted) {
      decisions.record({ kind: 'begun', job: job.spec.id });
    }
  }

  /** Records the end of a run, and logs its job if that finishes it. */
  private recordTaskEnd(task: Task, record: EndRecord): void {
    const { ctx, decisions, times, onChange } = this.options;
    const { occurrence } = task.step;
    const wasFinished = isFinished(occurrence.job);
    decisions.record(record);
    if (!wasFinished && isFinished(occurrence.job)) {
      logJobFinished(ctx, times.inForce(), occurrence);
      logJobFailure(this.options, task, this.failures);
    }
    onChange();
  }
}

/**
 * Returns the last checkpoint of a run whose worker will report no more, or an empty string if it has none.
 */
function checkpointOf({ progress }: Run): string {
  return progress?.checkpoint ?? '';
}
