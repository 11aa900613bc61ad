/** What a leader records of runs at work: that their workers were reached, and that they began and ended. */
import {
  findTask,
  isAbandoned,
  isFinished,
  isAwaitingCompletion,
  noteWorkerLoss,
  refOf,
  attributeLoss,
  workerIdOf,
  type LossAttribution,
  type JobsState,
  type JournalRecord,
  type Run,
  type RunEnd,
  type RunTimes,
  type Task,
  type WorkerLossKind,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';
import type { Instant } from '@paddlewind/domain';
import type { EndedRun } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import type { WorkerPresence } from './fleet.js';
import { logGivenUp, logJobOver, logRun, logStrayEnd } from './leader-log.js';
import { learnFromEnd } from './leader-records.js';
import type { WonClaim } from './leadership.js';
import type { AbandonedWorkerReason } from './meters.js';
import type { StartWindow } from './start-window.js';

/** What a recorder is given. */
export interface RunRecorderOptions {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
  readonly state: JobsState;
  readonly decisions: DecisionLog;
  readonly times: RunTimes;
  readonly health: WorkerHealth;
  readonly window: StartWindow;
  /** A run is about to end. */
  readonly noteEnd: (run: Run) => void;
  /** What the registry says of a worker. */
  readonly presenceOf: (worker: string) => WorkerPresence;
  /** Number of workers that are registered. */
  readonly fleetSize: () => number;
  /** Something was recorded that planning should see. */
  readonly changed: () => void;
}

/** A record of the journal by which a run ends. */
type EndRecord = Extract<JournalRecord, { kind: 'end' | 'lost' }>;

/** What is told of the loss of a run that has ended otherwise. */
const NOT_LOST: Partial<LossAttribution> = {};

/** Records what becomes of runs, until it is closed. */
export class RunRecorder {
  private closed = false;
  /** Workers that were given up with what ran there. */
  private readonly givenUpWorkers = new Set<string>();

  /** Creates a recorder for one leader. */
  constructor(private readonly options: RunRecorderOptions) {}

  /** Records nothing more: another host leads. */
  close(): void {
    this.closed = true;
  }

  /** Records the end of a run; does nothing for one that is not open. */
  ended(run: Run, how: RunEnd, checkpoint: string): void {
    const ref = { task: refOf(run.task), run: run.number };
    this.end(run, how, { kind: 'end', ...ref, how, checkpoint });
  }

  /** Records the ends of runs that are given up with their worker, and how far each may be the reason. */
  givenUp(
    worker: string,
    runs: readonly Run[],
    reason: AbandonedWorkerReason,
    lostBy: Instant,
  ): void {
    if (runs.length > 0) {
      this.givenUpWorkers.add(worker);
    }
    const { ctx, claim, state, fleetSize } = this.options;
    const judged = attributeLoss(state, runs, {
      lossKind: this.fateOf(worker, reason),
      fleetSize: fleetSize(),
      leadsSince: claim.wonAt,
      lostBy,
      now: ctx.clock(),
    });
    for (const [run, loss] of judged) {
      this.lost(run, loss);
    }
  }

  /** Records that a run has begun at a later incarnation of its worker. */
  moved(run: Run, worker: string): void {
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

  /** A worker that goes without a word while nothing runs there shows that no task need be to blame. */
  workerLeft(worker: string, announced: boolean): void {
    const ranNothing = !this.givenUpWorkers.delete(worker);
    if (ranNothing && !announced) {
      noteWorkerLoss(this.options.state, worker);
    }
  }

  /** A worker that had left before this leader took over may have announced that. */
  private fateOf(
    worker: string,
    reason: AbandonedWorkerReason,
  ): WorkerLossKind {
    const presence = this.options.presenceOf(worker);
    if (presence === 'leaving') {
      return 'unknown';
    }
    switch (reason) {
      case 'replaced':
        return 'crashed';
      case 'unanswered':
        return presence === 'gone' ? 'crashed' : 'unknown';
      case 'unregistered':
        return 'gone';
    }
  }

  private lost(run: Run, loss: LossAttribution): void {
    const { task } = run;
    const wasGivenUp = isAbandoned(task);
    const checkpoint = checkpointOf(run);
    const ref = { task: refOf(task), run: run.number };
    this.end(run, 'lost', { kind: 'lost', ...ref, checkpoint, ...loss });
    if (!wasGivenUp && isAbandoned(task)) {
      this.options.ctx.meters.taskGivenUp();
      logGivenUp(this.options, task);
    }
  }

  private end(run: Run, how: RunEnd | 'lost', record: EndRecord): void {
    const { task } = run;
    if (this.closed || !task.runs.includes(run)) {
      return;
    }
    const { ctx, health, times, window } = this.options;
    learnFromEnd(run, how, { health, times, now: ctx.clock() });
    ctx.meters.ended(how);
    this.options.noteEnd(run);
    window.noteEnded(run);
    const expectedMs = Math.round(times.expectedMs(task.step));
    const { suspicion, age } = record.kind === 'lost' ? record : NOT_LOST;
    const more = { how, expectedMs, suspicion, age };
    logRun(this.options, run, 'leader: a run has ended', more);
    this.decideEnd(task, record);
  }

  /**
   * A worker lists the end of a run that is not open. It may have done what was given up here, as when its
   * lease ended before it was heard again: its callers asked for the work once.
   */
  strayEnd(worker: string, ended: EndedRun): void {
    const task = findTask(this.options.state, ended.task);
    if (this.closed || ended.how !== 'done' || !isAwaitingCompletion(task)) {
      return;
    }
    const { run, how, checkpoint } = ended;
    logStrayEnd(this.options, task, { worker, run });
    const ref = refOf(task);
    this.decideEnd(task, { kind: 'end', task: ref, run, how, checkpoint });
  }

  /** Records that a worker was reached; `done` follows once that is written. */
  reached(worker: string, done: () => void): void {
    if (this.closed) {
      return;
    }
    const id = workerIdOf(worker);
    this.options.decisions.record({ kind: 'reached', worker: id }, written => {
      if (written) {
        done();
      }
    });
    this.options.changed();
  }

  /** Records the first begin of a job. */
  begun(run: Run): void {
    const { decisions, window } = this.options;
    window.noteBegun(run);
    const { job } = run.task.step.occurrence;
    if (!this.closed && !job.hasStarted) {
      decisions.record({ kind: 'begun', job: job.spec.id });
    }
  }

  /** Records an end, and tells of its job if that is over with it. */
  private decideEnd(task: Task, record: EndRecord): void {
    const { ctx, decisions, times, changed } = this.options;
    const { occurrence } = task.step;
    const wasOver = isFinished(occurrence.job);
    decisions.record(record);
    if (!wasOver && isFinished(occurrence.job)) {
      logJobOver(ctx, times, occurrence);
    }
    changed();
  }
}

/** Newest checkpoint of a run that its worker will tell no more of; empty when there is none. */
function checkpointOf({ progress }: Run): string {
  return progress?.checkpoint ?? '';
}
