/** The leader's orders to one worker: whether they are still sent, and how their answers are handled. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  limitSpeed,
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
import type { EvacuatedZones } from './evacuated-zones.js';
import type { DroppedStartReason } from './meters.js';
import { OrderQueue } from './order-queue.js';
import type { StartResult, StartSender } from './relay/start-sender.js';
import {
  INBOX_STALE_MS,
  REGISTRY_STALE_MS,
  MAX_START_WAIT_MS,
  STOP_RETRY_DELAY_MS,
} from './timing.js';

/** Events that orders report to the link of their worker. */
export interface OrderEvents {
  /** A run has ended, which is to be recorded. */
  ended(run: Run, how: RunEnd, checkpoint: string): void;
  /** The worker has seen a higher fence. */
  fenced(): void;
  /** The worker has refused the ticket for a task. */
  ticketRefused(task: Task): void;
  /** A run is known to have started. */
  runStarted(run: Run): void;
  /** The worker has confirmed a start. */
  startConfirmed(): void;
  /** The worker did not answer. */
  unanswered(): void;
  /** A start waited here until it could not be sent any more. */
  startExpired(): void;
  /** The worker is slow to answer orders: starts wait too long in the queue. */
  slow(): void;
  /** A worker with another id answered. */
  replaced(): void;
  /** The worker has confirmed a stop. */
  stopConfirmed(): void;
}

/** Dependencies and callbacks of the orders to a worker. */
export interface OrderOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly starts: StartSender;
  readonly fence: number;
  readonly info: () => WorkerInfo;
  /** Whether the worker may be assigned a run, and this leader may extend its lease. */
  readonly mayStart: () => boolean;
  /** Returns the new lease end on the worker's clock. */
  readonly extendLease: (now: Instant) => Instant;
  /** Time since the leader's last successful read of the inbox: callers' later requests are unknown to it. */
  readonly inboxAgeMs: () => Millis;
  /** Time since the leader's last successful read of the registry: later departures are unknown to it. */
  readonly registryAgeMs: () => Millis;
  readonly evacuatedZones: EvacuatedZones;
  /** Returns the advice service's ticket for a task at this worker, if the task needs one. */
  readonly ticketFor: (task: Task) => string | undefined;
  readonly events: OrderEvents;
}

/** Sends orders to one worker. */
export class WorkerOrders {
  private readonly queue: OrderQueue;
  private closed = false;

  /** Creates the sender of orders to a worker, with no orders yet. */
  constructor(private readonly options: OrderOptions) {
    const { starts, info } = options;
    this.queue = new OrderQueue(() => starts.widthFor(info()));
  }

  /** Stops sending. */
  close(): void {
    this.closed = true;
    this.queue.close();
  }

  /** Sends the start order of a recorded run that was decided on at `decidedAt`. */
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
    const reason = this.startObstacle(run, decidedAt);
    if (reason !== undefined) {
      this.abandonStart(run, reason);
      return;
    }
    const now = ctx.clock();
    ctx.meters.startSent(now - decidedAt, this.options.inboxAgeMs());
    ctx.waits.note('send', now - decidedAt);
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
      this.startObstacle(run, decidedAt);
    const isWanted = (): boolean => whyNot() === undefined;
    const sendBy = this.startDeadline(decidedAt);
    const res = await starts.send(info(), order, { isWanted, sendBy });
    if (res.kind === 'not_wanted') {
      this.abandonUnsent(run, whyNot() ?? 'late');
    } else {
      ctx.times.measure('orders', () => {
        this.handleStartResult(run, res);
      });
    }
  }

  /**
   * Returns why a start may not be sent, or undefined if it may. Orders can wait in the queue for seconds if
   * the worker or this host is slow, so the conditions of the decision are checked again before sending. A
   * task that starts after its job was cancelled, after it has ended, in an evacuated zone, or at a worker
   * whose runs are being abandoned can't be undone.
   */
  private startObstacle(
    run: Run,
    decidedAt: Instant,
  ): DroppedStartReason | undefined {
    const obsoleteReason = obsoleteReasonOf(run);
    if (obsoleteReason !== undefined) {
      return obsoleteReason === 'over' ? 'over' : 'needless';
    }
    const { ctx, mayStart, info, evacuatedZones } = this.options;
    const now = ctx.clock();
    if (now > this.reliableUntil(now)) {
      return 'stale';
    }
    if (now - decidedAt > MAX_START_WAIT_MS) {
      return 'late';
    }
    if (evacuatedZones.has(info().availabilityZone)) {
      return 'evacuated';
    }
    return mayStart() ? undefined : 'worker';
  }

  /** Returns the time until which a start that may be sent now remains valid, by what this leader knows. */
  private startDeadline(decidedAt: Instant): Instant {
    const now = this.options.ctx.clock();
    return Math.min(this.reliableUntil(now), decidedAt + MAX_START_WAIT_MS);
  }

  /** Returns the time until which starts may rely on what this leader has read of others' decisions. */
  private reliableUntil(now: Instant): Instant {
    const { inboxAgeMs, registryAgeMs, evacuatedZones } = this.options;
    return Math.min(
      now - inboxAgeMs() + INBOX_STALE_MS,
      now - registryAgeMs() + REGISTRY_STALE_MS,
      evacuatedZones.reliableUntil,
    );
  }

  /** Abandons a start that waited in the queue. */
  private abandonStart(run: Run, reason: DroppedStartReason): void {
    const { ctx, events } = this.options;
    const waitedMs = ctx.clock() - (run.progress?.since ?? ctx.clock());
    if (reason === 'late' && 2 * waitedMs > MAX_START_WAIT_MS) {
      events.slow();
    }
    this.abandonUnsent(run, reason);
  }

  /** Ends a run whose start order was never sent, so that the task may run elsewhere. */
  private abandonUnsent(run: Run, reason: DroppedStartReason): void {
    const { ctx, events } = this.options;
    ctx.meters.startGivenUp(reason);
    if (reason === 'late' || reason === 'stale') {
      events.startExpired();
    }
    ctx.log.info(
      { task: taskName(refOf(run.task)), run: run.number, reason },
      'worker: a start that waited is not sent',
    );
    events.ended(run, 'void', '');
  }

  /** Abandons all queued starts, so that their tasks may run elsewhere. */
  abandonStarts(): void {
    for (const run of this.queue.withdraw('start')) {
      this.abandonStart(run, 'worker');
    }
  }

  /** Orders a run to stop until the worker has confirmed it or the run has ended. */
  stop(run: Run): void {
    const { ctx } = this.options;
    this.queue.withdraw('throttle', run);
    if (this.queue.withdraw('start', run).length > 0) {
      this.abandonStart(run, 'needless');
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
    this.handleStopResult(run, await port.stop(info(), ref));
  }

  /** Orders a run that nobody needs to stop; repeated with each report that still lists it. */
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

  /** Limits a run to `percent` of its speed; only the newest of several queued limits is sent. */
  throttle(run: Run, percent: number): void {
    if (run.progress !== undefined) {
      limitSpeed(run.progress, percent, this.options.ctx.clock());
    }
    if (!this.queue.isQueued('throttle', run)) {
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
    this.logUnlessAccepted(run, 'throttle', res);
    if (res.kind !== 'accepted' && progress?.allowedPercent === percent) {
      // It is unknown whether the limit is in effect, so it is ordered again with the next report.
      progress.allowedPercent = undefined;
    }
  }

  private handleStartResult(
    run: Run,
    res: Exclude<StartResult, { kind: 'not_wanted' }>,
  ): void {
    const { events } = this.options;
    this.logUnlessAccepted(run, 'start', res);
    switch (res.kind) {
      case 'accepted':
        if (run.progress !== undefined) {
          run.progress.confirmed = true;
        }
        events.runStarted(run);
        events.startConfirmed();
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
        // The addressed worker no longer existed, so this run did not cause its loss.
        events.ended(run, 'void', '');
        events.replaced();
        return;
      case 'unknown':
        // The run may start at any time until the worker has confirmed the stop.
        events.unanswered();
        this.stop(run);
        return;
      case 'unsure':
        this.stop(run);
        return;
    }
  }

  private handleStopResult(run: Run, res: OrderResult): void {
    const { ctx, events } = this.options;
    this.logUnlessAccepted(run, 'stop', res);
    if (res.kind === 'accepted' && run.progress !== undefined) {
      run.progress.stopConfirmedAt = ctx.clock();
      events.stopConfirmed();
      return;
    }
    if (res.kind === 'rejected' && res.why === 'fenced') {
      events.fenced();
      return;
    }
    ctx.schedule(STOP_RETRY_DELAY_MS, () => {
      if (!this.closed && run.task.runs.includes(run)) {
        this.stop(run);
      }
    });
  }

  private logUnlessAccepted(run: Run, order: string, res: StartResult): void {
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
