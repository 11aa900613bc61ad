/** The leader's link to one incarnation of a worker: its lease, its reports and the orders to it. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  incarnationOf,
  workerIdOf,
  type Run,
  type Task,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type {
  PollRequest,
  PollResult,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { WakeSignal } from './wake-signal.js';
import { AdaptiveTimeout } from './adaptive-timeout.js';
import { pause } from './context.js';
import { Lease } from './lease.js';
import {
  LinkedRuns,
  type LinkedRunEvents,
  type RunSource,
} from './linked-runs.js';
import type { StartSender } from './relay/start-sender.js';
import {
  LOOK_RETRY_MS,
  MIN_START_LEASE_MS,
  SHORT_LEASE_LOOK_MS,
  SLOW_WORKER_MS,
  TASK_LEASE_MS,
  UNRECORDED_LOOK_MS,
} from './timing.js';
import { WorkerOrders } from './worker-orders.js';

/** What a link tells the leader. */
export interface LinkEvents extends Omit<LinkedRunEvents, 'strayRun'> {
  /** Another incarnation of the worker has answered, which has begun since. */
  replaced(by: string): void;
  /** Resolves with true once all ends that were told so far are recorded. */
  recorded(): Promise<boolean>;
  /** The worker was reached, which is to be recorded; `done` follows once it is. */
  reached(done: () => void): void;
  /** The worker has seen a higher fence. */
  fenced(): void;
  /** The worker has refused the ticket for a task. */
  ticketRefused(task: Task): void;
  /** The worker has confirmed a start. */
  started(link: WorkerLink): void;
  /** The readings of all runs are up to date. */
  reported(link: WorkerLink): void;
  /** The worker has ceased to answer. */
  silent(): void;
  /** Something changed that planning should see. */
  changed(): void;
}

/** What a link is given. */
export interface LinkOptions extends RunSource {
  readonly port: WorkerPort;
  readonly starts: StartSender;
  readonly fence: number;
  readonly maxLeaseMs: Millis;
  /** Monotonic time by which whatever the worker was given before has ended. */
  readonly earlierLeaseEnd: Instant;
  /** Monotonic time by which all leases have to end that are given now. */
  readonly horizon: () => Instant;
  /** How long the worker may wait for an end before it reports. */
  readonly lookWaitMs: () => Millis;
  /** Time since which this leader knows nothing of what callers asked for. */
  readonly inboxAgeMs: () => Millis;
  /** Time since which this leader knows nothing of which workers are about to leave. */
  readonly registryAgeMs: () => Millis;
  /** Returns the ticket of the advice service for a task here, where it needs one. */
  readonly ticketFor: (task: Task) => string | undefined;
  readonly events: LinkEvents;
}

type Report = Extract<PollResult, { kind: 'seen' }>;

/** A look that was sent. */
interface SentLook {
  readonly at: Instant;
  readonly order: PollRequest;
}

/** The leader's link to one incarnation of a worker. */
export class WorkerLink {
  private readonly lease: Lease;
  private readonly alarm: WakeSignal;
  private readonly slack = new AdaptiveTimeout();
  private readonly runs: LinkedRuns;
  private readonly orders: WorkerOrders;
  /** Whether the worker has reported to this leader, so that its open runs are known. */
  private verified = false;
  /**
   * Whether that is recorded, and since it was told last that the worker is silent: only then does this
   * leader extend the lease.
   */
  private reached = false;
  /** Number of times that the worker was told to be silent: an older record of its being reached is void. */
  private silences = 0;
  /** The value of `silences` for which it was last asked to record that the worker was reached. */
  private recordsReached = -1;
  private answering = true;
  /** When it was first noticed that the worker does not answer; undefined while it does. */
  private silentSince: Instant | undefined;
  /** Whether an answer has told the start of this incarnation. */
  private tellsStart = false;
  /** When the worker first and last answered a look of this leader. */
  private reachedAt: Instant = Infinity;
  private answeredAt: Instant = Infinity;
  /** Until when it is given no run, since it takes long to answer orders. */
  private restsUntil: Instant = -Infinity;
  private closed = false;
  /**
   * Whether the last look only asked who is there, and was answered. Positions and lease ends belong to one
   * incarnation: they are sent over the connection over which it has answered, or right after such a look.
   */
  private hasAsked = false;
  /** Position up to which all ends are recorded. */
  private recordedUpTo = 0;
  /** Position up to which the worker was told so. */
  private acknowledgedUpTo = 0;

  /** Creates a link; `begin` starts to look at the worker. */
  constructor(
    public info: WorkerInfo,
    private readonly options: LinkOptions,
  ) {
    this.alarm = new WakeSignal(options.ctx.schedule);
    this.runs = new LinkedRuns({
      ...options,
      info: () => this.info,
      contact: () => this.contact(),
      lostBy: () => this.silentSince ?? options.ctx.clock(),
      events: {
        ...options.events,
        strayRun: active => {
          void this.orders.stopStray(active);
        },
      },
    });
    const { earlierLeaseEnd, maxLeaseMs, isNew, otherRuns } = options;
    const hasRestarted = isNew || otherRuns().length > 0;
    this.lease = new Lease(earlierLeaseEnd, maxLeaseMs, hasRestarted);
    this.orders = new WorkerOrders({
      ...options,
      info: () => this.info,
      mayStart: () =>
        this.usable &&
        this.reached &&
        !this.info.leaving &&
        this.leaseLeftMs() >= MIN_START_LEASE_MS,
      extendLease: now => this.lease.extend(now, options.horizon()),
      events: {
        ...options.events,
        fenced: () => {
          // A worker that was replaced refuses orders to the one before, whose fence is lower.
          if (!this.closed) {
            options.events.fenced();
          }
        },
        started: () => {
          options.events.started(this);
        },
        unanswered: () => {
          this.setAnswering(false);
        },
        slow: () => {
          this.restsUntil = options.ctx.clock() + SLOW_WORKER_MS;
        },
        replaced: () => {
          this.takeReplaced();
        },
        stopConfirmed: this.alarm.notify,
      },
    });
  }

  /** Whether the worker may be given runs. */
  get usable(): boolean {
    const rested = this.options.ctx.clock() >= this.restsUntil;
    return this.verified && this.answering && rested && !this.closed;
  }

  /** Monotonic time by which the lease of a worker that does not answer has ended; undefined for one that does. */
  get silentLeaseEnd(): Instant | undefined {
    const answers = this.verified && this.answering;
    return answers || this.closed ? undefined : this.lease.endsBy;
  }

  /** Notes that other hosts are told when the worker's lease ends: it is extended only once they know better. */
  noteSilenceTold(): void {
    this.reached = false;
    this.silences += 1;
  }

  /** Gives all runs up once the lease of a worker that does not answer has ended. */
  giveUpIfLapsed(now: Instant): void {
    const end = this.silentLeaseEnd;
    if (end !== undefined && now > end && this.runs.all.length > 0) {
      this.runs.giveUpAll('unanswered');
    }
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

  /**
   * Ends the link, since another incarnation of the worker is there. What has been seen at this one is lost with
   * it; a start that has not may be carried out at the next one, which tells.
   */
  supersede(): void {
    if (this.closed) {
      return;
    }
    this.orders.giveUpStarts();
    this.runs.giveUpListed();
    this.close();
  }

  /** Ends all calls; the worker is told nothing. */
  close(): void {
    this.closed = true;
    this.alarm.notify();
    this.orders.close();
    this.options.port.forget(this.info);
  }

  /** Orders a run that was decided on at `decidedAt` and is recorded to begin. */
  start(run: Run, decidedAt: Instant): void {
    this.alarm.notify();
    this.orders.start(run, decidedAt);
  }

  /** Orders a run to stop, until the worker has confirmed it or the run has ended. */
  stop(run: Run): void {
    this.orders.stop(run);
  }

  /** Limits a run to `percent` of its speed. */
  throttle(run: Run, percent: number): void {
    this.orders.throttle(run, percent);
  }

  /** A worker that does not answer is looked at until it does, or has left the registry. */
  private needsLook(): boolean {
    return (
      !this.verified ||
      !this.answering ||
      this.runs.open.size > 0 ||
      this.recordedUpTo > this.acknowledgedUpTo
    );
  }

  private async look(): Promise<void> {
    const { ctx, port, fence } = this.options;
    const sentAt = ctx.clock();
    const isSure = this.hasAsked || port.isConnected(this.info);
    // A worker that does not answer may be out of reach: its lease has to end.
    const left = this.leaseLeftMs();
    const extend = isSure && this.reached && this.answering && left > 0;
    const order: PollRequest = {
      fence,
      acknowledged: isSure ? this.recordedUpTo : 0,
      leaseUntil: extend
        ? this.lease.extend(sentAt, this.options.horizon())
        : undefined,
      waitMs: isSure ? this.lookWaitMs(left) : 0,
      slackMs: this.slack.ms,
    };
    const sent = { at: sentAt, order };
    // An answer that comes late tells of ends all the same, and that the worker is there.
    const res = await port.poll(this.info, order, late => {
      this.takeLook(late, sent).catch((err: unknown) => {
        ctx.log.error({ err }, 'worker: a late answer was not taken in');
      });
    });
    this.hasAsked = !isSure && res.kind === 'seen';
    await this.takeLook(res, sent);
  }

  /** Time by which leases that are given now may be ahead. */
  private leaseLeftMs(): Millis {
    return this.options.horizon() - this.options.ctx.clock();
  }

  private lookWaitMs(leaseLeftMs: Millis): Millis {
    if (!this.verified || this.runs.open.size === 0) {
      return 0;
    }
    const waitMs = this.options.lookWaitMs();
    return leaseLeftMs < TASK_LEASE_MS || !this.reached
      ? Math.min(waitMs, SHORT_LEASE_LOOK_MS)
      : waitMs;
  }

  private async takeLook(res: PollResult, sent: SentLook): Promise<void> {
    const { ctx, events } = this.options;
    if (this.closed) {
      return;
    }
    switch (res.kind) {
      case 'seen':
        if (!this.isFromHere(res)) {
          await this.takeOther(res);
          return;
        }
        this.setAnswering(true);
        this.lease.noteClock(res.clock, ctx.clock());
        this.noteAnswer(sent);
        await this.takeReport(res, sent.at);
        return;
      case 'fenced':
        events.fenced();
        await pause(this.options.ctx, LOOK_RETRY_MS);
        return;
      case 'replaced':
        this.takeReplaced();
        return;
      case 'failed':
        await this.takeFailure(res.reason);
        return;
    }
  }

  private async takeFailure(reason: string): Promise<void> {
    const { ctx } = this.options;
    this.setAnswering(false, reason);
    this.giveUpIfLapsed(ctx.clock());
    await pause(ctx, LOOK_RETRY_MS);
  }

  /** A worker may tell its start in the registry alone; one that has told it in an answer does so in each. */
  private isFromHere({ startedAt }: Report): boolean {
    if (startedAt === undefined) {
      return !this.tellsStart;
    }
    const { id } = this.info;
    const isFromHere = incarnationOf(workerIdOf(id), startedAt) === id;
    this.tellsStart ||= isFromHere;
    return isFromHere;
  }

  /**
   * Takes a report of another incarnation: as this one was there before the look was sent, the other one has
   * begun since, whatever its clock says.
   */
  private async takeOther({ startedAt }: Report): Promise<void> {
    if (startedAt === undefined) {
      await this.takeFailure('the answer does not say when the worker started');
      return;
    }
    const by = incarnationOf(workerIdOf(this.info.id), startedAt);
    this.options.events.replaced(by);
  }

  private noteAnswer({ at, order }: SentLook): void {
    const { ctx, fence } = this.options;
    this.answeredAt = ctx.clock();
    this.slack.record(Math.max(0, this.answeredAt - at - order.waitMs));
    this.acknowledgedUpTo = Math.max(this.acknowledgedUpTo, order.acknowledged);
    if (this.reachedAt === Infinity) {
      this.reachedAt = this.answeredAt;
      const runs = this.runs.open.size;
      if (runs === 0) {
        return;
      }
      const leaseLeftMs = Math.round(this.lease.endsBy - this.answeredAt);
      ctx.log.info(
        { worker: this.info.id, fence, runs, leaseLeftMs },
        'worker: reached for the first time',
      );
    }
  }

  private takeReplaced(): void {
    if (this.closed) {
      return;
    }
    this.runs.giveUpAll('replaced');
    this.closed = true;
    this.options.events.changed();
  }

  private setAnswering(answering: boolean, reason?: string): void {
    if (this.answering === answering || this.closed) {
      return;
    }
    this.answering = answering;
    this.silentSince = answering ? undefined : this.options.ctx.clock();
    if (!answering) {
      this.orders.giveUpStarts();
      this.options.events.silent();
    }
    this.options.ctx.log.info(
      { worker: this.info.id, answering, reason, ...this.contact() },
      'worker: contact changed',
    );
    this.options.events.changed();
  }

  private async takeReport(report: Report, sentAt: Instant): Promise<void> {
    const { events } = this.options;
    this.runs.take(report, sentAt, !this.verified);
    if (!this.verified) {
      this.verified = true;
      events.changed();
    }
    const reached = this.recordReached();
    events.reported(this);
    const last = report.ended.at(-1);
    if (last !== undefined) {
      const recorded = this.awaitRecord(last.position);
      await Promise.race([
        recorded,
        pause(this.options.ctx, UNRECORDED_LOOK_MS),
      ]);
    }
    await Promise.race([reached, pause(this.options.ctx, SHORT_LEASE_LOOK_MS)]);
  }

  /**
   * Resolves once it is recorded that the worker was reached. The next look waits for that, since only then
   * it extends the lease: one that was sent before would hold the extension up for as long as it waits for an end.
   */
  private recordReached(): Promise<void> | undefined {
    const { silences } = this;
    if (this.reached || this.recordsReached === silences) {
      return undefined;
    }
    this.recordsReached = silences;
    return new Promise(resolve => {
      this.options.events.reached(() => {
        this.reached = silences === this.silences;
        resolve();
      });
    });
  }

  /** An end is acknowledged only once it is recorded, also where it was listed before. */
  private async awaitRecord(position: number): Promise<void> {
    if (await this.options.events.recorded()) {
      this.recordedUpTo = Math.max(this.recordedUpTo, position);
    }
  }

  /** What the log tells of the contact: how long ago the worker answered, and its lease is bounded by what. */
  private contact(): Record<string, unknown> {
    const now = this.options.ctx.clock();
    return {
      answeredMsAgo: Math.round(now - this.answeredAt),
      reachedMsAgo: Math.round(now - this.reachedAt),
      leaseLeftMs: Math.round(this.lease.endsBy - now),
      leaseOf: this.lease.isKnown ? 'this_leader' : 'earlier_leader',
    };
  }
}
