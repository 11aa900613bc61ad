/** The leader's link to one worker: its lease, its reports and the orders to it. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  newProgress,
  refOf,
  runKey,
  taskName,
  type Run,
  type RunEnd,
  type Task,
  type WorkerInfo,
  type WorkerRuns,
} from '@paddlewind/domain/jobs';
import type {
  ActiveRun,
  LookResult,
  OrderResult,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { Alarm } from './alarm.js';
import { pause, type HostContext } from './context.js';
import { Lease } from './lease.js';
import { OrderQueue } from './order-queue.js';
import { LOOK_RETRY_MS, STOP_RETRY_MS, UNRECORDED_LOOK_MS } from './timing.js';

/** What a link tells the leader. */
export interface LinkEvents {
  /** A run has ended, which is to be recorded. */
  ended(run: Run, how: RunEnd, checkpoint: string): void;
  /** Resolves with true once all ends that were told so far are recorded. */
  recorded(): Promise<boolean>;
  /** Resolves with true once it is recorded that the worker was reached. */
  reached(): Promise<boolean>;
  /** The worker has seen a higher fence. */
  fenced(): void;
  /** The worker has refused the ticket for a task. */
  ticketRefused(task: Task): void;
  /** The worker has confirmed a start. */
  started(link: WorkerLink): void;
  /** The readings of all runs are up to date. */
  reported(link: WorkerLink): void;
  /** Something changed that planning should see. */
  changed(): void;
}

/** What a link is given. */
export interface LinkOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly fence: number;
  readonly maxLeaseMs: Millis;
  /** Monotonic time from which no earlier leader extends the worker's lease beyond its own. */
  readonly releasedAt: Instant;
  /** Whether this leader may still extend leases. */
  readonly mayExtend: () => boolean;
  readonly runs: () => WorkerRuns;
  /** How long the worker may wait for an end before it reports. */
  readonly lookWaitMs: () => Millis;
  /** Returns the ticket of the advice service for a task here, where it needs one. */
  readonly ticketFor: (task: Task) => string | undefined;
  readonly events: LinkEvents;
}

type Report = Extract<LookResult, { kind: 'seen' }>;

/** The leader's link to one worker. */
export class WorkerLink {
  private readonly lease: Lease;
  private readonly alarm: Alarm;
  private readonly orders = new OrderQueue();
  /** Whether the worker has reported to this leader, so that its open runs are known. */
  private verified = false;
  /** Whether that is recorded: only then does this leader extend the worker's lease. */
  private reached = false;
  private answering = true;
  private closed = false;
  /** Position up to which all ends are recorded. */
  private recordedUpTo = 0;
  /** Position up to which the worker was told so. */
  private acknowledgedUpTo = 0;

  /** Creates a link; `begin` starts to look at the worker. */
  constructor(
    public info: WorkerInfo,
    private readonly options: LinkOptions,
  ) {
    this.alarm = new Alarm(options.ctx.schedule);
    this.lease = new Lease(options.releasedAt, options.maxLeaseMs);
  }

  /** Whether the worker may be given runs. */
  get usable(): boolean {
    return this.verified && this.answering && !this.closed;
  }

  /** Looks at the worker until the link is closed. */
  async begin(): Promise<void> {
    while (!this.closed) {
      if (this.needsLook()) {
        await this.look();
      } else {
        await this.alarm.wait();
      }
    }
  }

  /** Ends all calls; the worker is told nothing. */
  close(): void {
    this.closed = true;
    this.alarm.ring();
    this.orders.close();
    this.options.port.forget(this.info);
  }

  /** Orders a run that is recorded to begin. */
  start(run: Run): void {
    const { ctx, port, fence } = this.options;
    run.progress = newProgress(ctx.clock());
    this.alarm.ring();
    this.orders.add(async () => {
      const { task, number } = run;
      if (!this.maySendStart()) {
        this.giveUpStart(run);
        return;
      }
      const res = await port.start(this.info, {
        task: refOf(task),
        run: number,
        payload: task.step.occurrence.job.spec.payload,
        leaseUntil: this.lease.extend(ctx.clock()),
        fence,
        checkpoint: task.checkpoint,
        ticket: this.options.ticketFor(task),
      });
      this.takeStart(run, res);
    });
  }

  /**
   * Orders wait here behind others that get no answer. Meanwhile the worker may have begun to leave,
   * and a start would extend its lease beyond what a new leader reckons with.
   */
  private maySendStart(): boolean {
    return this.usable && !this.info.leaving && this.options.mayExtend();
  }

  /** Ends a run whose order was held up here; it was never sent, so that the task may run elsewhere. */
  private giveUpStart(run: Run): void {
    this.options.ctx.log.warn(
      { task: taskName(refOf(run.task)), run: run.number },
      'worker: a start was held up and is not sent',
    );
    this.options.events.ended(run, 'void', '');
  }

  /** Orders a run to stop, until the worker has confirmed it or the run has ended. */
  stop(run: Run): void {
    const { ctx, port, fence } = this.options;
    run.progress ??= newProgress(ctx.clock());
    run.progress.stopping = true;
    this.orders.add(async () => {
      const { task, number } = run;
      const ref = { task: refOf(task), run: number, fence };
      const res = await port.stop(this.info, ref);
      this.takeStop(run, res);
    });
  }

  /** Limits a run to `percent` of its speed. */
  throttle(run: Run, percent: number): void {
    const { ctx, port, fence } = this.options;
    if (run.progress !== undefined) {
      run.progress.allowed = percent;
      run.progress.allowedSince = ctx.clock();
    }
    this.orders.add(async () => {
      const { task, number } = run;
      const order = { task: refOf(task), run: number, fence, percent };
      this.noteOrder(run, 'throttle', await port.throttle(this.info, order));
    });
  }

  private openRuns(): Map<string, Run> {
    return this.options.runs().runs;
  }

  /** A worker that does not answer is looked at until it does, or has left the registry. */
  private needsLook(): boolean {
    return (
      !this.verified ||
      !this.answering ||
      this.openRuns().size > 0 ||
      this.recordedUpTo > this.acknowledgedUpTo
    );
  }

  private async look(): Promise<void> {
    const { ctx, port, fence } = this.options;
    const sentAt = ctx.clock();
    // A worker that does not answer may be out of reach: its lease has to end.
    const extend = this.reached && this.answering && this.options.mayExtend();
    const acknowledged = this.recordedUpTo;
    const res = await port.look(this.info, {
      fence,
      acknowledged,
      leaseUntil: extend ? this.lease.extend(sentAt) : undefined,
      waitMs:
        this.verified && this.openRuns().size > 0
          ? this.options.lookWaitMs()
          : 0,
    });
    if (this.closed) {
      return;
    }
    if (res.kind === 'seen') {
      this.acknowledgedUpTo = acknowledged;
    }
    await this.takeLook(res, sentAt);
  }

  private async takeLook(res: LookResult, sentAt: Instant): Promise<void> {
    const { ctx, events } = this.options;
    switch (res.kind) {
      case 'seen':
        this.setAnswering(true);
        this.lease.noteClock(res.clock, ctx.clock());
        await this.takeReport(res, sentAt);
        return;
      case 'fenced':
        events.fenced();
        await pause(this.options.ctx, LOOK_RETRY_MS);
        return;
      case 'replaced':
        this.takeReplaced();
        return;
      case 'failed':
        this.setAnswering(false);
        if (this.lease.hasLapsed(ctx.clock())) {
          this.endAll(`no answer (${res.reason}) and its lease has lapsed`);
        }
        await pause(this.options.ctx, LOOK_RETRY_MS);
        return;
    }
  }

  private takeReplaced(): void {
    this.endAll('another life of the worker answered');
    this.closed = true;
    this.options.events.changed();
  }

  private setAnswering(answering: boolean): void {
    if (this.answering === answering) {
      return;
    }
    this.answering = answering;
    this.options.ctx.log.info(
      { worker: this.info.id, answering },
      'worker: contact changed',
    );
    this.options.events.changed();
  }

  private async takeReport(report: Report, sentAt: Instant): Promise<void> {
    const { events } = this.options;
    const listed = this.takeActive(report);
    for (const ended of report.ended) {
      const key = runKey(taskName(ended.task), ended.run);
      listed.add(key);
      const run = this.openRuns().get(key);
      if (run !== undefined) {
        events.ended(run, ended.how, ended.checkpoint);
      }
    }
    for (const [key, run] of this.openRuns()) {
      if (!listed.has(key) && this.neverBegan(run, sentAt)) {
        events.ended(run, 'void', '');
      }
    }
    if (!this.verified) {
      this.verified = true;
      void this.recordReached();
      events.changed();
    }
    events.reported(this);
    const last = report.ended.at(-1);
    if (last !== undefined) {
      const recorded = this.awaitRecord(last.position);
      await Promise.race([
        recorded,
        pause(this.options.ctx, UNRECORDED_LOOK_MS),
      ]);
    }
  }

  private async recordReached(): Promise<void> {
    this.reached = await this.options.events.reached();
  }

  /** An end is acknowledged only once it is recorded, also where it was listed before. */
  private async awaitRecord(position: number): Promise<void> {
    if (await this.options.events.recorded()) {
      this.recordedUpTo = Math.max(this.recordedUpTo, position);
    }
  }

  /** Takes in what is at work; returns the keys of all runs that the report lists so. */
  private takeActive(report: Report): Set<string> {
    const listed = new Set<string>();
    for (const active of report.active) {
      const key = runKey(taskName(active.task), active.run);
      listed.add(key);
      const run = this.openRuns().get(key);
      if (run === undefined) {
        this.options.ctx.log.warn(
          { run: key, worker: this.info.id },
          'worker: lists a run that is not open',
        );
      } else {
        this.noteProgress(run, active);
      }
    }
    return listed;
  }

  /** Whether a run that a report does not list can be told never to have begun. */
  private neverBegan(run: Run, sentAt: Instant): boolean {
    const { progress } = run;
    if (progress === undefined) {
      // Recorded by an earlier leader, whose orders the worker refuses from now on.
      return !this.verified;
    }
    return progress.stopConfirmedAt < sentAt;
  }

  private noteProgress(run: Run, seen: ActiveRun): void {
    const now = this.options.ctx.clock();
    run.progress ??= newProgress(now);
    const { progress } = run;
    progress.confirmed = true;
    progress.seenAt = now;
    progress.checkpoint = seen.checkpoint;
    progress.reading = seen.reading;
    if (progress.percent !== seen.percent) {
      progress.percent = seen.percent;
      progress.percentSince = now;
    }
  }

  private endAll(reason: string): void {
    const runs = [...this.openRuns().values()];
    this.options.ctx.log.warn(
      { worker: this.info.id, runs: runs.length, reason },
      'worker: its runs are given up',
    );
    for (const run of runs) {
      const checkpoint = run.progress?.checkpoint ?? '';
      this.options.events.ended(run, 'lapsed', checkpoint);
    }
  }

  private takeStart(run: Run, res: OrderResult): void {
    const { events } = this.options;
    this.noteOrder(run, 'start', res);
    switch (res.kind) {
      case 'accepted':
        if (run.progress !== undefined) {
          run.progress.confirmed = true;
        }
        events.started(this);
        return;
      case 'rejected':
        if (res.why === 'fenced') {
          events.fenced();
          return;
        }
        if (res.why === 'no_ticket') {
          events.ticketRefused(run.task);
        }
        events.ended(run, 'void', '');
        return;
      case 'not_run':
        this.setAnswering(false);
        events.ended(run, 'void', '');
        return;
      case 'replaced':
        this.takeReplaced();
        return;
      case 'unknown':
        // The run may begin at any time until the worker has confirmed the stop.
        this.setAnswering(false);
        this.stop(run);
        return;
    }
  }

  private takeStop(run: Run, res: OrderResult): void {
    const { ctx, events } = this.options;
    this.noteOrder(run, 'stop', res);
    if (res.kind === 'accepted' && run.progress !== undefined) {
      run.progress.stopConfirmedAt = ctx.clock();
      this.alarm.ring();
      return;
    }
    if (res.kind === 'rejected' && res.why === 'fenced') {
      events.fenced();
      return;
    }
    ctx.schedule(STOP_RETRY_MS, () => {
      if (!this.closed && run.task.runs.includes(run)) {
        this.stop(run);
      }
    });
  }

  private noteOrder(run: Run, order: string, res: OrderResult): void {
    if (res.kind === 'accepted') {
      return;
    }
    this.options.ctx.log.info(
      {
        task: taskName(refOf(run.task)),
        run: run.number,
        worker: this.info.id,
        order,
        result: res,
      },
      'worker: an order was not accepted',
    );
  }
}
