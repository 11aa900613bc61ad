/** What a leader records of runs at work: that their workers were reached, and that they began and ended. */
import {
  findTask,
  isOver,
  isWanted,
  refOf,
  type JobsState,
  type Run,
  type RunEnd,
  type RunTimes,
  type Task,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';
import type { EndedRun } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { logJobOver, logRun, logStrayEnd } from './leader-log.js';
import { learnFromEnd } from './leader-records.js';
import type { WonClaim } from './leadership.js';
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
  /** Something was recorded that planning should see. */
  readonly changed: () => void;
}

/** Records what becomes of runs, until it is closed. */
export class RunRecorder {
  private closed = false;

  /** Creates a recorder for one leader. */
  constructor(private readonly options: RunRecorderOptions) {}

  /** Records nothing more: another host leads. */
  close(): void {
    this.closed = true;
  }

  /** Records the end of a run; does nothing for one that is not open. */
  ended(run: Run, how: RunEnd, checkpoint: string): void {
    if (this.closed || !run.task.runs.includes(run)) {
      return;
    }
    const { ctx, health, times, window } = this.options;
    learnFromEnd(run, how, { health, times, now: ctx.clock() });
    ctx.meters.ended(how);
    this.options.noteEnd(run);
    window.noteEnded(run);
    const expectedMs = Math.round(times.expect(run.task.step));
    logRun(this.options, run, 'leader: a run has ended', { how, expectedMs });
    this.decideEnd(run.task, { run: run.number, how, checkpoint });
  }

  /**
   * A worker lists the end of a run that is not open. It may have done what was given up here, as when its
   * lease ended before it was heard again: its callers asked for the work once.
   */
  strayEnd(worker: string, ended: EndedRun): void {
    const task = findTask(this.options.state, ended.task);
    if (this.closed || ended.how !== 'done' || !isWanted(task)) {
      return;
    }
    logStrayEnd(this.options, task, { worker, run: ended.run });
    this.decideEnd(task, ended);
  }

  /** Records that a worker was reached; `done` follows once that is written. */
  reached(worker: string, done: () => void): void {
    if (this.closed) {
      return;
    }
    this.options.decisions.record({ kind: 'reached', worker }, written => {
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
    if (!this.closed && !job.begun) {
      decisions.record({ kind: 'begun', job: job.spec.id });
    }
  }

  /** Records an end, and tells of its job if that is over with it. */
  private decideEnd(
    task: Task,
    { run, how, checkpoint }: Pick<EndedRun, 'run' | 'how' | 'checkpoint'>,
  ): void {
    const { ctx, decisions, times, changed } = this.options;
    const { occurrence } = task.step;
    const wasOver = isOver(occurrence.job);
    const ref = refOf(task);
    decisions.record({ kind: 'end', task: ref, run, how, checkpoint });
    if (!wasOver && isOver(occurrence.job)) {
      logJobOver(ctx, times, occurrence);
    }
    changed();
  }
}
