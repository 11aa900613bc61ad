/** The leader's orders to one worker: when they are still sent, and what follows from the answers. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  newProgress,
  refOf,
  taskName,
  obsoleteReasonOf,
  type Run,
  type RunEnd,
  type Task,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type { OrderResult, RunOrder, WorkerPort } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { DroppedStartReason } from './meters.js';
import { OrderQueue } from './order-queue.js';
import type { StartResult, StartSender } from './relay/start-sender.js';
import {
  INBOX_STALE_MS,
  REGISTRY_STALE_MS,
  MAX_START_WAIT_MS,
  STOP_RETRY_MS,
} from './timing.js';

/** What orders tell the link of their worker. */
export interface OrderEvents {
  /** A run has ended, which is to be recorded. */
  ended(run: Run, how: RunEnd, checkpoint: string): void;
  /** The worker has seen a higher fence. */
  fenced(): void;
  /** The worker has refused the ticket for a task. */
  ticketRefused(task: Task): void;
  /** A run is known to have begun. */
  began(run: Run): void;
  /** The worker has confirmed a start. */
  started(): void;
  /** The worker did not answer. */
  unanswered(): void;
  /** The worker takes long to answer orders: starts wait for their turn for too long. */
  slow(): void;
  /** A worker with another id answered. */
  replaced(): void;
  /** The worker has confirmed a stop. */
  stopConfirmed(): void;
}

/** What orders are given. */
export interface OrderOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly starts: StartSender;
  readonly fence: number;
  readonly info: () => WorkerInfo;
  /** Whether the worker may be given a run, and this leader may extend its lease. */
  readonly mayStart: () => boolean;
  /** Returns the new end of the worker's lease, on its clock. */
  readonly extendLease: (now: Instant) => Instant;
  /** Time since which this leader knows nothing of what callers asked for. */
  readonly inboxAgeMs: () => Millis;
  /** Time since which this leader knows nothing of which workers are about to leave. */
  readonly registryAgeMs: () => Millis;
  /** Returns the ticket of the advice service for a task here, where it needs one. */
  readonly ticketFor: (task: Task) => string | undefined;
  readonly events: OrderEvents;
}

/** Orders to one worker. */
export class WorkerOrders {
  private readonly queue = new OrderQueue();
  private closed = false;

  /** Creates the orders to a worker; none is sent before the first is given. */
  constructor(private readonly options: OrderOptions) {}

  /** Sends nothing more. */
  close(): void {
    this.closed = true;
    this.queue.close();
  }

  /** Orders a run that was decided on at `decidedAt` and is recorded to begin. */
  start(run: Run, decidedAt: Instant): void {
    run.progress = newProgress(this.options.ctx.clock());
    this.queue.add({
      kind: 'start',
      run,
      send: () => this.sendStart(run, decidedAt),
    });
  }

  private async sendStart(run: Run, decidedAt: Instant): Promise<void> {
    const { ctx, starts, fence, info, extendLease } = this.options;
    const { task, number } = run;
    if (!task.runs.includes(run)) {
      return;
    }
    const reason = this.whyNotStart(run, decidedAt);
    if (reason !== undefined) {
      this.giveUpStart(run, reason);
      return;
    }
    const now = ctx.clock();
    ctx.meters.startSent(now - decidedAt, this.options.inboxAgeMs());
    run.progress = newProgress(now);
    const order = {
      task: refOf(task),
      run: number,
      payload: task.step.occurrence.job.spec.payload,
      leaseUntil: extendLease(now),
      fence,
      checkpoint: task.checkpoint,
      ticket: this.options.ticketFor(task),
    };
    const whyNot = (): DroppedStartReason | undefined =>
      this.whyNotStart(run, decidedAt);
    const isWanted = (): boolean => whyNot() === undefined;
    const sendBy = this.sendBy(decidedAt);
    const res = await starts.send(info(), order, { isWanted, sendBy });
    if (res.kind === 'not_wanted') {
      this.giveUpUnsent(run, whyNot() ?? 'late');
    } else {
      this.takeStart(run, res);
    }
  }

  /**
   * Orders wait here behind others, for seconds where the worker or this host is slow. What was true
   * when a start was decided on may have changed since then: it is checked again when it is sent, since
   * a task that begins after its job's cancellation or its own end, or at a worker whose runs are being
   * given up, can't be taken back.
   */
  private whyNotStart(
    run: Run,
    decidedAt: Instant,
  ): DroppedStartReason | undefined {
    const needless = obsoleteReasonOf(run);
    if (needless !== undefined) {
      return needless === 'over' ? 'over' : 'needless';
    }
    const { ctx, inboxAgeMs, registryAgeMs, mayStart } = this.options;
    if (inboxAgeMs() > INBOX_STALE_MS || registryAgeMs() > REGISTRY_STALE_MS) {
      return 'stale';
    }
    if (ctx.clock() - decidedAt > MAX_START_WAIT_MS) {
      return 'late';
    }
    return mayStart() ? undefined : 'worker';
  }

  /** Until when a start that may be sent now stays so by what this leader knows. */
  private sendBy(decidedAt: Instant): Instant {
    const { ctx, inboxAgeMs, registryAgeMs } = this.options;
    const now = ctx.clock();
    return Math.min(
      now - inboxAgeMs() + INBOX_STALE_MS,
      now - registryAgeMs() + REGISTRY_STALE_MS,
      decidedAt + MAX_START_WAIT_MS,
    );
  }

  /** Gives up a start that waited for its worker. */
  private giveUpStart(run: Run, reason: DroppedStartReason): void {
    const { ctx, events } = this.options;
    const waitedMs = ctx.clock() - (run.progress?.since ?? ctx.clock());
    if (reason === 'late' && 2 * waitedMs > MAX_START_WAIT_MS) {
      events.slow();
    }
    this.giveUpUnsent(run, reason);
  }

  /** Ends a run whose order was never sent, so that the task may run elsewhere. */
  private giveUpUnsent(run: Run, reason: DroppedStartReason): void {
    const { ctx, events } = this.options;
    ctx.meters.startGivenUp(reason);
    ctx.log.info(
      { task: taskName(refOf(run.task)), run: run.number, reason },
      'worker: a start that waited is not sent',
    );
    events.ended(run, 'void', '');
  }

  /** Gives up all starts that wait, so that their tasks may run elsewhere. */
  giveUpStarts(): void {
    for (const run of this.queue.takeBack('start')) {
      this.giveUpStart(run, 'worker');
    }
  }

  /** Orders a run to stop, until the worker has confirmed it or the run has ended. */
  stop(run: Run): void {
    const { ctx } = this.options;
    this.queue.takeBack('throttle', run);
    if (this.queue.takeBack('start', run).length > 0) {
      this.giveUpStart(run, 'needless');
      return;
    }
    run.progress ??= newProgress(ctx.clock());
    run.progress.stopping = true;
    this.queue.add({ kind: 'stop', run, send: () => this.sendStop(run) });
  }

  private async sendStop(run: Run): Promise<void> {
    const { port, fence, info } = this.options;
    if (!run.task.runs.includes(run)) {
      return;
    }
    const ref = { task: refOf(run.task), run: run.number, fence };
    this.takeStop(run, await port.stop(info(), ref));
  }

  /** Orders a run to stop that nobody needs; one that goes on is ordered so with each report that lists it. */
  async stopStray({
    task,
    run,
  }: Pick<RunOrder, 'task' | 'run'>): Promise<void> {
    const { port, fence, info, events } = this.options;
    const res = await port.stop(info(), { task, run, fence });
    if (res.kind === 'rejected' && res.why === 'fenced') {
      events.fenced();
    }
  }

  /** Limits a run to `percent` of its speed; of several limits that wait only the last one is sent. */
  throttle(run: Run, percent: number): void {
    if (run.progress !== undefined) {
      run.progress.allowedPercent = percent;
      run.progress.allowedSince = this.options.ctx.clock();
    }
    if (!this.queue.has('throttle', run)) {
      this.queue.add({
        kind: 'throttle',
        run,
        send: () => this.sendThrottle(run),
      });
    }
  }

  private async sendThrottle(run: Run): Promise<void> {
    const { port, fence, info } = this.options;
    const { task, number, progress } = run;
    const percent = progress?.allowedPercent;
    if (percent === undefined || !task.runs.includes(run)) {
      return;
    }
    const order = { task: refOf(task), run: number, fence, percent };
    const res = await port.throttle(info(), order);
    this.noteOrder(run, 'throttle', res);
    if (res.kind !== 'accepted' && progress?.allowedPercent === percent) {
      // Whether it holds is not known, so that it is ordered again with the next report.
      progress.allowedPercent = undefined;
    }
  }

  private takeStart(
    run: Run,
    res: Exclude<StartResult, { kind: 'not_wanted' }>,
  ): void {
    const { events } = this.options;
    this.noteOrder(run, 'start', res);
    switch (res.kind) {
      case 'accepted':
        if (run.progress !== undefined) {
          run.progress.confirmed = true;
        }
        events.began(run);
        events.started();
        return;
      case 'rejected':
        if (res.why === 'fenced' && !this.closed) {
          events.fenced();
          return;
        }
        if (res.why === 'no_ticket') {
          events.ticketRefused(run.task);
        }
        events.ended(run, 'void', '');
        return;
      case 'not_run':
        events.unanswered();
        events.ended(run, 'void', '');
        return;
      case 'replaced':
        // The worker that was meant was gone by then: this run is not the reason.
        events.ended(run, 'void', '');
        events.replaced();
        return;
      case 'unknown':
        // The run may begin at any time until the worker has confirmed the stop.
        events.unanswered();
        this.stop(run);
        return;
      case 'unsure':
        this.stop(run);
        return;
    }
  }

  private takeStop(run: Run, res: OrderResult): void {
    const { ctx, events } = this.options;
    this.noteOrder(run, 'stop', res);
    if (res.kind === 'accepted' && run.progress !== undefined) {
      run.progress.stopConfirmedAt = ctx.clock();
      events.stopConfirmed();
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

  private noteOrder(run: Run, order: string, res: StartResult): void {
    if (res.kind === 'accepted') {
      return;
    }
    this.options.ctx.log.info(
      {
        task: taskName(refOf(run.task)),
        run: run.number,
        worker: this.options.info().id,
        order,
        result: res,
      },
      'worker: an order was not accepted',
    );
  }
}
