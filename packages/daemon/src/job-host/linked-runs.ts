/** The open runs at one incarnation of a worker, and what follows for them from its reports. */
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
import type { ActiveRun, EndedRun, PollResult } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import { tellGivenUp } from './abandoned-runs.js';
import type { AbandonedWorkerReason } from './meters.js';
import { ReportTrail } from './report-checks.js';

type Report = Extract<PollResult, { kind: 'seen' }>;

/** What is told of runs. */
export interface LinkedRunEvents {
  /** A run has ended, which is to be recorded. */
  ended(run: Run, how: RunEnd, checkpoint: string): void;
  /** Runs are given up with an incarnation of the worker, which was lost by `lostBy`; it is to be recorded. */
  givenUp(
    worker: string,
    runs: readonly Run[],
    reason: AbandonedWorkerReason,
    lostBy: Instant,
  ): void;
  /** A run that was meant for an earlier incarnation is at this one, which is to be recorded. */
  moved(run: Run): void;
  /** The worker lists the end of a run that is not open here; told with each report that does. */
  strayEnd(ended: EndedRun): void;
  /** A run is known to have begun. */
  began(run: Run): void;
  /** The worker has a run at work that is not open here; told with each report that lists it. */
  strayRun(active: ActiveRun): void;
}

/** Where the runs at an incarnation are found. */
export interface RunSource {
  readonly ctx: HostContext;
  readonly runs: () => WorkerRuns;
  /** Open runs of the worker's other incarnations, which may have begun at this one. */
  readonly otherRuns: () => readonly Run[];
  /** Whether this leader knows the incarnation since its start. */
  readonly isNew: boolean;
  /** Monotonic time since which this leader decides. */
  readonly leadsSince: Instant;
}

/** What the runs of a link are given. */
export interface LinkedRunsOptions extends RunSource {
  readonly info: () => WorkerInfo;
  readonly events: LinkedRunEvents;
  /** What the log tells of the contact to the worker. */
  readonly contact: () => Record<string, unknown>;
  /** Monotonic time by which the worker was lost, where it was. */
  readonly lostBy: () => Instant;
}

/** The runs of one link. */
export class LinkedRuns {
  private readonly trail: ReportTrail;

  /** Creates the runs of a worker that has not reported. */
  constructor(private readonly options: LinkedRunsOptions) {
    const { ctx, info, isNew } = options;
    this.trail = new ReportTrail(ctx, info().id, isNew);
  }

  /** Those at this incarnation, by key. */
  get open(): Map<string, Run> {
    return this.options.runs().runs;
  }

  /** Those at this incarnation, and those at others that may have begun here. */
  get all(): Run[] {
    return [...this.open.values(), ...this.options.otherRuns()];
  }

  /** Takes in the report that answers a look sent at `sentAt`, the first one of this incarnation or a later. */
  take(report: Report, sentAt: Instant, isFirst: boolean): void {
    const { events } = this.options;
    this.takeOverRuns(report);
    const listed = this.takeActive(report);
    for (const ended of report.ended) {
      const key = runKey(taskName(ended.task), ended.run);
      listed.add(key);
      const run = this.open.get(key);
      if (run === undefined) {
        events.strayEnd(ended);
      } else {
        events.ended(run, ended.how, ended.checkpoint);
      }
    }
    this.trail.note(report, listed, this.open);
    for (const [key, run] of this.open) {
      if (!listed.has(key) && neverBegan(run, sentAt, isFirst)) {
        events.ended(run, 'void', '');
      }
    }
  }

  /** Gives up what was seen at this incarnation, which another one has replaced. */
  giveUpListed(): void {
    if (startTimeOf(this.options.info().id) === undefined) {
      // The one that is there now may be this one.
      return;
    }
    const runs = [...this.open.values()];
    this.giveUp(
      runs.filter(({ progress }) => progress?.listed === true),
      'replaced',
    );
  }

  /** Gives up all runs. */
  giveUpAll(reason: AbandonedWorkerReason): void {
    this.giveUp(this.all, reason);
  }

  /**
   * Takes over the runs of other incarnations: those that are listed have begun here, and no other one is at
   * work or can begin any more.
   */
  private takeOverRuns({ active, ended }: Report): void {
    const runs = this.options.otherRuns();
    if (runs.length === 0) {
      return;
    }
    const listed = new Set(
      [...active, ...ended].map(({ task, run }) => runKey(taskName(task), run)),
    );
    const gone: Run[] = [];
    for (const run of runs) {
      if (listed.has(runKey(taskName(refOf(run.task)), run.number))) {
        this.takeOver(run);
      } else if (!this.isUnordered(run)) {
        gone.push(run);
      }
    }
    this.giveUpOthers(gone);
  }

  private takeOver(run: Run): void {
    this.options.events.moved(run);
    if (run.progress !== undefined) {
      // A stop was meant for the incarnation before.
      run.progress.stopping = false;
      run.progress.stopConfirmedAt = Infinity;
    }
  }

  /** Whether this leader has decided on a run and not ordered it yet: its order will find this link. */
  private isUnordered({ progress, openedAt }: Run): boolean {
    return progress === undefined && openedAt >= this.options.leadsSince;
  }

  private giveUpOthers(runs: readonly Run[]): void {
    // An earlier version of a leader did not tell which incarnation it meant: the run may never have begun.
    const isVoid = ({ worker, progress }: Run): boolean =>
      startTimeOf(worker) === undefined && progress === undefined;
    for (const run of runs.filter(isVoid)) {
      this.options.events.ended(run, 'void', '');
    }
    const lost = runs.filter(run => !isVoid(run));
    const isOwn = ({ progress }: Run): boolean => progress !== undefined;
    this.giveUp(lost.filter(isOwn), 'replaced');
    this.giveUp(
      lost.filter(run => !isOwn(run)),
      'unregistered',
    );
  }

  /** Takes in what is at work; returns the keys of all runs that the report lists so. */
  private takeActive(report: Report): Set<string> {
    const listed = new Set<string>();
    for (const active of report.active) {
      const key = runKey(taskName(active.task), active.run);
      listed.add(key);
      const run = this.open.get(key);
      if (run === undefined) {
        this.options.ctx.log.warn(
          { run: key, worker: this.options.info().id },
          'worker: lists a run that is not open',
        );
        this.options.events.strayRun(active);
      } else {
        this.noteProgress(run, active);
      }
    }
    return listed;
  }

  private noteProgress(run: Run, seen: ActiveRun): void {
    const now = this.options.ctx.clock();
    run.progress ??= newProgress(now);
    const { progress } = run;
    progress.listed = true;
    if (!progress.confirmed) {
      progress.confirmed = true;
      this.options.events.began(run);
    }
    progress.seenAt = now;
    progress.checkpoint = seen.checkpoint;
    progress.reading = seen.reading;
    if (progress.percent !== seen.percent) {
      progress.percent = seen.percent;
      progress.percentSince = now;
    }
  }

  private giveUp(runs: readonly Run[], reason: AbandonedWorkerReason): void {
    const { ctx, events, contact, lostBy } = this.options;
    for (const worker of new Set(runs.map(run => run.worker))) {
      const lost = runs.filter(run => run.worker === worker);
      tellGivenUp(ctx, worker, lost, reason, contact());
      events.givenUp(worker, lost, reason, lostBy());
    }
  }
}

/** Whether a run that a report does not list can be told never to have begun. */
function neverBegan(run: Run, sentAt: Instant, isFirst: boolean): boolean {
  const { progress } = run;
  if (progress === undefined) {
    // Recorded by an earlier leader, whose orders the worker refuses from now on.
    return isFirst;
  }
  return progress.stopConfirmedAt < sentAt;
}
