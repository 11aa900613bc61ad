/** The open runs at one incarnation of a worker, and the effects of its reports on them. */
import type { Instant } from '@paddlewind/domain';
import {
  newProgress,
  refOf,
  runKey,
  startTimeOf,
  taskName,
  type Run,
  type RunEnd,
  type WorkerInfo,
  type WorkerRuns,
} from '@paddlewind/domain/jobs';
import type { ActiveRun, EndedRun } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import { logAbandonedRuns } from './abandoned-runs.js';
import type { AbandonedWorkerReason } from './meters.js';
import { ReportChecks } from './report-checks.js';
import { ReportedRuns, type Report } from './reported-runs.js';

/** Events of the runs at one link. */
export interface LinkedRunEvents {
  /** A run has ended, which is to be recorded. */
  ended(run: Run, how: RunEnd, checkpoint: string): void;
  /**
   * Runs are abandoned with an incarnation of the worker that was lost by `lostBy`, which is to be recorded.
   */
  abandoned(
    worker: string,
    runs: readonly Run[],
    reason: AbandonedWorkerReason,
    lostBy: Instant,
  ): void;
  /** A run that was sent to an earlier incarnation runs at this one, which is to be recorded. */
  moved(run: Run): void;
  /** The worker lists the end of a run that is not open here; repeated for each such report. */
  strayEnd(ended: EndedRun): void;
  /** A run is known to have started. */
  runStarted(run: Run): void;
  /** The worker lists an active run that is not open here; repeated for each such report. */
  strayRun(active: ActiveRun): void;
}

/** Access to the runs at an incarnation. */
export interface RunSource {
  readonly ctx: HostContext;
  readonly runs: () => WorkerRuns;
  /** Open runs of the worker's other incarnations, which may have started at this one. */
  readonly otherRuns: () => readonly Run[];
  /** Whether this leader has known the incarnation since it started. */
  readonly isNew: boolean;
  /** Monotonic time since which this leader has led. */
  readonly leadsSince: Instant;
}

/** Dependencies and callbacks of the runs at one link. */
export interface LinkedRunsOptions extends RunSource {
  readonly info: () => WorkerInfo;
  readonly events: LinkedRunEvents;
  /** Log fields about the contact with the worker. */
  readonly contactFields: () => Record<string, unknown>;
  /** Monotonic time by which the worker was lost, if it was. */
  readonly lostBy: () => Instant;
}

/** The runs of one link. */
export class LinkedRuns {
  private readonly reportChecks: ReportChecks;
  /** Whether a report has listed all ends, so that it is known which of the runs have ever started. */
  private areAllKnown = false;

  /** Creates the runs of a worker that has not reported yet. */
  constructor(private readonly options: LinkedRunsOptions) {
    const { ctx, info, isNew } = options;
    this.reportChecks = new ReportChecks(ctx, info().id, isNew);
  }

  /** Runs at this incarnation, by key. */
  get open(): Map<string, Run> {
    return this.options.runs().runs;
  }

  /** Runs at this incarnation, and runs at others that may have started here. */
  get all(): Run[] {
    return [...this.open.values(), ...this.options.otherRuns()];
  }

  /** Whether it is known of all runs whether they have started and ended. */
  get areKnown(): boolean {
    return this.areAllKnown;
  }

  /** Applies the report that answers a poll sent at `sentAt`. */
  applyReport(report: Report, sentAt: Instant): void {
    const { events } = this.options;
    const reported = new ReportedRuns(report);
    this.adoptRuns(reported);
    this.applyActive(reported);
    for (const [key, ended] of reported.ended) {
      const run = this.open.get(key);
      if (run === undefined) {
        events.strayEnd(ended);
      } else {
        events.ended(run, ended.how, ended.checkpoint);
      }
    }
    this.reportChecks.check(report, reported, this.open);
    this.endAbsent(reported, sentAt);
    this.areAllKnown ||= reported.isComplete;
  }

  /** Ends the runs that have certainly never started. */
  private endAbsent(reported: ReportedRuns, sentAt: Instant): void {
    for (const [key, run] of this.open) {
      const isAbsent = reported.presenceOf(key) === 'absent';
      if (isAbsent && neverStarted(run, sentAt, !this.areAllKnown)) {
        this.options.events.ended(run, 'void', '');
      }
    }
  }

  /** Abandons the runs that were listed by this incarnation, which was superseded. */
  abandonListed(): void {
    if (startTimeOf(this.options.info().id) === undefined) {
      // Without a start time in the id, the current incarnation may be this one.
      return;
    }
    const runs = [...this.open.values()];
    this.abandon(
      runs.filter(({ progress }) => progress?.listed === true),
      'replaced',
    );
  }

  /** Abandons all runs. */
  abandonAll(reason: AbandonedWorkerReason): void {
    this.abandon(this.all, reason);
  }

  /**
   * Takes over the runs of other incarnations. Those that the report lists have started here; those that are
   * absent are neither running nor can they start any more.
   */
  private adoptRuns(reported: ReportedRuns): void {
    const absent: Run[] = [];
    for (const run of this.options.otherRuns()) {
      const key = runKey(taskName(refOf(run.task)), run.number);
      switch (reported.presenceOf(key)) {
        case 'listed':
          this.adopt(run);
          break;
        case 'absent':
          absent.push(run);
          break;
        case 'unknown':
          break;
      }
    }
    this.abandonOthers(absent.filter(run => !this.awaitsStartOrder(run)));
  }

  private adopt(run: Run): void {
    this.options.events.moved(run);
    if (run.progress !== undefined) {
      // A stop order was meant for the previous incarnation.
      run.progress.stopping = false;
      run.progress.stopConfirmedAt = Infinity;
    }
  }

  /** Whether this leader has decided on a run but not sent its start order, which will use this link. */
  private awaitsStartOrder({ progress, openedAt }: Run): boolean {
    return progress === undefined && openedAt >= this.options.leadsSince;
  }

  private abandonOthers(runs: readonly Run[]): void {
    // Earlier versions of the leader did not record the incarnation, so the run may never have started.
    const isVoid = ({ worker, progress }: Run): boolean =>
      startTimeOf(worker) === undefined && progress === undefined;
    for (const run of runs.filter(isVoid)) {
      this.options.events.ended(run, 'void', '');
    }
    const lost = runs.filter(run => !isVoid(run));
    const isOwn = ({ progress }: Run): boolean => progress !== undefined;
    this.abandon(lost.filter(isOwn), 'replaced');
    this.abandon(
      lost.filter(run => !isOwn(run)),
      'unregistered',
    );
  }

  /** Applies the active runs of a report. */
  private applyActive({ active: runs }: ReportedRuns): void {
    const { open } = this;
    for (const [key, active] of runs) {
      const run = open.get(key);
      if (run === undefined) {
        this.options.ctx.log.warn(
          { run: key, worker: this.options.info().id },
          'worker: lists a run that is not open',
        );
        this.options.events.strayRun(active);
      } else {
        this.updateProgress(run, active);
      }
    }
  }

  private updateProgress(run: Run, seen: ActiveRun): void {
    const now = this.options.ctx.clock();
    run.progress ??= { ...newProgress(now), initialPercent: seen.percent };
    const { progress } = run;
    progress.listed = true;
    if (!progress.confirmed) {
      progress.confirmed = true;
      this.options.events.runStarted(run);
    }
    progress.seenAt = now;
    progress.checkpoint = seen.checkpoint;
    progress.reading = seen.reading;
    if (progress.percent !== seen.percent) {
      progress.percent = seen.percent;
      progress.percentSince = now;
    }
  }

  private abandon(runs: readonly Run[], reason: AbandonedWorkerReason): void {
    const { ctx, events, contactFields, lostBy } = this.options;
    for (const worker of new Set(runs.map(run => run.worker))) {
      const lost = runs.filter(run => run.worker === worker);
      logAbandonedRuns(ctx, worker, lost, reason, contactFields());
      events.abandoned(worker, lost, reason, lostBy());
    }
  }
}

/** Whether a run that is absent from a report, the first complete one if `isFirst`, has certainly never started. */
function neverStarted(run: Run, sentAt: Instant, isFirst: boolean): boolean {
  const { progress } = run;
  if (progress === undefined) {
    // Recorded by an earlier leader, whose orders the worker refuses from now on.
    return isFirst;
  }
  return progress.stopConfirmedAt < sentAt;
}
