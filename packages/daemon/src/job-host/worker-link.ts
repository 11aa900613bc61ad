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
import { ContactTimes } from './contact-times.js';
import { pause, waitFor } from './context.js';
import type { EvacuatedZones } from './evacuated-zones.js';
import type { FirstPolls, SentPoll } from './first-polls.js';
import { Lease } from './lease.js';
import {
  LinkedRuns,
  type LinkedRunEvents,
  type RunSource,
} from './linked-runs.js';
import { ReachRecord } from './reach-record.js';
import type { StartSender } from './relay/start-sender.js';
import { ReportOrigin } from './report-origin.js';
import type { Report } from './reported-runs.js';
import {
  POLL_RETRY_DELAY_MS,
  MIN_START_LEASE_MS,
  SHORT_LEASE_POLL_WAIT_MS,
  SLOW_WORKER_PAUSE_MS,
  TASK_LEASE_MS,
  UNRECORDED_ENDS_POLL_DELAY_MS,
} from './timing.js';
import { WorkerOrders } from './worker-orders.js';

/** Events that a link reports to the leader. */
export interface LinkEvents extends Omit<LinkedRunEvents, 'strayRun'> {
  /** Another incarnation of the worker, which started later, has answered. */
  replaced(by: string): void;
  /** Resolves with true once all ends reported so far are recorded. */
  recorded(): Promise<boolean>;
  /** The worker was reached, which is to be recorded; `done` is called once it is. */
  reached(done: () => void): void;
  /** The worker has seen a higher fence. */
  fenced(): void;
  /** The worker has refused the ticket for a task. */
  ticketRefused(task: Task): void;
  /** The worker has confirmed a start. */
  startConfirmed(link: WorkerLink): void;
  /** A start waited on this host until it could not be sent any more. */
  startExpired(): void;
  /** The readings of all runs are up to date. */
  reported(link: WorkerLink): void;
  /** The worker, with these runs, has stopped answering. */
  silent(runs: readonly Run[]): void;
  /** The worker answers after it had stopped. */
  answersAgain(): void;
  /** Something changed that planning has to consider. */
  changed(): void;
}

/** Dependencies and callbacks of a link. */
export interface LinkOptions extends RunSource {
  readonly port: WorkerPort;
  readonly starts: StartSender;
  readonly fence: number;
  readonly maxLeaseMs: Millis;
  /** Monotonic time by which all earlier leases of the worker have expired. */
  readonly earlierLeaseEnd: Instant;
  /** Monotonic time by which all leases granted now must end. */
  readonly horizon: () => Instant;
  /** Admits the first poll of each worker. */
  readonly firstPolls: FirstPolls;
  /** How long the worker may wait for an end before it reports. */
  readonly pollWaitMs: () => Millis;
  /** Shortest time between two polls of a worker that answers. */
  readonly pollIntervalMs: () => Millis;
  /** Time since the leader's last successful read of the inbox: callers' later requests are unknown to it. */
  readonly inboxAgeMs: () => Millis;
  /** Time since the leader's last successful read of the registry: later departures are unknown to it. */
  readonly registryAgeMs: () => Millis;
  readonly evacuatedZones: EvacuatedZones;
  /** Returns the advice service's ticket for a task at this worker, if the task needs one. */
  readonly ticketFor: (task: Task) => string | undefined;
  readonly events: LinkEvents;
}

/** The leader's link to one incarnation of a worker. */
export class WorkerLink {
  private readonly lease: Lease;
  private readonly wakeSignal: WakeSignal;
  private readonly pollTimeout = new AdaptiveTimeout();
  private readonly runs: LinkedRuns;
  private readonly orders: WorkerOrders;
  /** Whether the worker has reported to this leader. */
  private hasReported = false;
  private readonly reach: ReachRecord;
  private isAnswering = true;
  /** Time at which the worker was found to be unresponsive; undefined while it answers. */
  private silentSince: Instant | undefined;
  private readonly origin = new ReportOrigin(() => this.info.id);
  private readonly contact: ContactTimes;
  /** No runs are assigned before this time, because the worker was slow to answer orders. */
  private pausedUntil: Instant = -Infinity;
  private closed = false;
  /**
   * Whether the last poll only identified the worker, and was answered. Positions and lease ends belong to
   * one incarnation: they are sent only over the connection over which it has answered, or right after such a
   * poll.
   */
  private hasProbed = false;
  /** Position up to which all ends are recorded. */
  private recordedUpTo = 0;
  /** Position up to which ends were acknowledged to the worker. */
  private acknowledgedUpTo = 0;

  /** Creates a link; polling starts with `run`. */
  constructor(
    public info: WorkerInfo,
    private readonly options: LinkOptions,
  ) {
    this.wakeSignal = new WakeSignal(options.ctx.schedule);
    this.contact = new ContactTimes(options.ctx);
    this.reach = new ReachRecord(done => {
      options.events.reached(done);
    });
    this.runs = new LinkedRuns({
      ...options,
      info: () => this.info,
      contactFields: () => this.contactFields(),
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
        this.reach.isRecorded &&
        !this.info.leaving &&
        this.horizonLeftMs() >= MIN_START_LEASE_MS,
      extendLease: now => this.lease.extend(now, options.horizon()),
      events: {
        ...options.events,
        fenced: () => {
          // A replaced worker refuses orders to its predecessor, whose fence is lower.
          if (!this.closed) {
            options.events.fenced();
          }
        },
        startConfirmed: () => {
          options.events.startConfirmed(this);
        },
        unanswered: () => {
          this.setAnswering(false);
        },
        slow: () => {
          this.pausedUntil = options.ctx.clock() + SLOW_WORKER_PAUSE_MS;
        },
        replaced: () => {
          this.handleReplaced();
        },
        stopConfirmed: this.wakeSignal.notify,
      },
    });
  }

  /** Whether the worker may be assigned runs. */
  get usable(): boolean {
    return this.isUsableAt(this.options.ctx.clock());
  }

  /** The same at a time that is now, for many workers at once. */
  isUsableAt(now: Instant): boolean {
    return (
      this.runs.areKnown &&
      this.isAnswering &&
      now >= this.pausedUntil &&
      !this.closed
    );
  }

  /**
   * Monotonic time by which the lease of an unresponsive worker has expired; undefined for one that answers.
   */
  get unresponsiveLeaseEnd(): Instant | undefined {
    const answers = this.hasReported && this.isAnswering;
    return answers || this.closed ? undefined : this.lease.endsBy;
  }

  /**
   * Notes that the worker's lease end was reported to other hosts. The lease is extended again only once they
   * have a newer record.
   */
  noteSilenceReported(): void {
    this.reach.noteSilenceReported();
  }

  /** Abandons all runs if the worker does not answer and its lease has expired. */
  abandonIfExpired(now: Instant): void {
    const end = this.unresponsiveLeaseEnd;
    if (end !== undefined && now > end && this.runs.all.length > 0) {
      this.runs.abandonAll('unanswered');
    }
  }

  /** Polls the worker until the link is closed. */
  async run(): Promise<void> {
    const { ctx, firstPolls, pollIntervalMs } = this.options;
    await firstPolls.admit(async () => {
      await (this.closed ? undefined : this.poll());
    });
    while (!this.closed) {
      if (this.needsPoll()) {
        const sentAt = ctx.clock();
        await this.poll();
        const restMs = sentAt + pollIntervalMs() - ctx.clock();
        if (restMs > 0 && this.usable) {
          await pause(ctx, restMs);
        }
      } else {
        await this.wakeSignal.wait();
      }
    }
  }

  /**
   * Closes the link because another incarnation has replaced this one. Runs that were seen at this one are
   * lost with it; starts that were not seen may be carried out by the new incarnation, whose reports show it.
   */
  supersede(): void {
    if (this.closed) {
      return;
    }
    this.orders.abandonStarts();
    this.runs.abandonListed();
    this.close();
  }

  /** Ends all calls; nothing is sent to the worker. */
  close(): void {
    this.closed = true;
    this.wakeSignal.notify();
    this.orders.close();
    this.options.port.disconnect(this.info);
  }

  /** Sends the start order of a recorded run that was decided on at `decidedAt`. */
  start(run: Run, decidedAt: Instant): void {
    this.wakeSignal.notify();
    this.orders.start(run, decidedAt);
  }

  /** Orders a run to stop until the worker has confirmed it or the run has ended. */
  stop(run: Run): void {
    this.orders.stop(run);
  }

  /** Limits a run to `percent` of its speed. */
  throttle(run: Run, percent: number): void {
    this.orders.throttle(run, percent);
  }

  /** Whether to poll now; a worker that does not answer is polled until it answers or is removed. */
  private needsPoll(): boolean {
    return (
      !this.runs.areKnown ||
      !this.isAnswering ||
      this.runs.open.size > 0 ||
      this.recordedUpTo > this.acknowledgedUpTo
    );
  }

  private async poll(): Promise<void> {
    const { ctx, port, fence } = this.options;
    const sentAt = ctx.clock();
    this.contact.notePoll();
    const isIdentified = this.hasProbed || port.isConnected(this.info);
    // An unresponsive worker may be unreachable: its lease must be allowed to expire.
    const left = this.horizonLeftMs();
    const extend =
      isIdentified && this.reach.isRecorded && this.isAnswering && left > 0;
    const request: PollRequest = {
      fence,
      acknowledged: isIdentified ? this.recordedUpTo : 0,
      leaseUntil: extend
        ? this.lease.extend(sentAt, this.options.horizon())
        : undefined,
      waitMs: isIdentified ? this.pollWaitMs(left) : 0,
      slackMs: this.pollTimeout.ms,
    };
    const sent = { at: sentAt, request };
    // A late answer still reports ends, and shows that the worker is running.
    const takeLate = (late: PollResult): void => {
      this.handlePollResult(late, sent).catch((err: unknown) => {
        ctx.log.error({ err }, 'worker: a late answer could not be handled');
      });
    };
    const res = await ctx.times.measure('polls', () =>
      port.poll(this.info, request, takeLate),
    );
    this.hasProbed =
      res.kind === 'seen' && (!isIdentified || res.isProbe === true);
    await this.handlePollResult(res, sent);
  }

  /** How far ahead leases granted now may end. */
  private horizonLeftMs(): Millis {
    return this.options.horizon() - this.options.ctx.clock();
  }

  private pollWaitMs(leaseLeftMs: Millis): Millis {
    if (!this.runs.areKnown || this.runs.open.size === 0) {
      return 0;
    }
    const waitMs = this.options.pollWaitMs();
    return leaseLeftMs < TASK_LEASE_MS || !this.reach.isRecorded
      ? Math.min(waitMs, SHORT_LEASE_POLL_WAIT_MS)
      : waitMs;
  }

  private async handlePollResult(
    res: PollResult,
    sent: SentPoll,
  ): Promise<void> {
    const { ctx, events } = this.options;
    if (this.closed) {
      return;
    }
    switch (res.kind) {
      case 'seen':
        if (!this.origin.isHere(res)) {
          await this.handleOtherIncarnation(res);
          return;
        }
        this.setAnswering(true);
        this.lease.noteClock(res.clock, ctx.clock());
        this.recordAnswer(sent, res.isProbe === true);
        await this.applyReport(res, sent.at);
        return;
      case 'fenced':
        events.fenced();
        await pause(this.options.ctx, POLL_RETRY_DELAY_MS);
        return;
      case 'replaced':
        this.handleReplaced();
        return;
      case 'failed':
        await this.handlePollFailure(res.reason);
        return;
    }
  }

  private async handlePollFailure(reason: string): Promise<void> {
    const { ctx } = this.options;
    this.setAnswering(false, reason);
    this.abandonIfExpired(ctx.clock());
    await pause(ctx, POLL_RETRY_DELAY_MS);
  }

  /**
   * Handles a report of another incarnation. This one was running before the poll was sent, so the other one
   * has started since, whatever its clock says.
   */
  private async handleOtherIncarnation({ startedAt }: Report): Promise<void> {
    if (startedAt === undefined) {
      await this.handlePollFailure(
        'the answer does not say when the worker started',
      );
      return;
    }
    const by = incarnationOf(workerIdOf(this.info.id), startedAt);
    this.options.events.replaced(by);
  }

  private recordAnswer({ at, request }: SentPoll, isProbe: boolean): void {
    const { ctx, fence } = this.options;
    const runs = this.runs.open.size;
    const isFirst = this.contact.noteAnswer(runs);
    this.pollTimeout.record(Math.max(0, ctx.clock() - at - request.waitMs));
    if (!isProbe) {
      this.acknowledgedUpTo = Math.max(
        this.acknowledgedUpTo,
        request.acknowledged,
      );
    }
    if (isFirst && runs > 0) {
      const leaseLeftMs = Math.round(this.lease.endsBy - ctx.clock());
      ctx.log.info(
        { worker: this.info.id, fence, runs, leaseLeftMs },
        'worker: reached for the first time',
      );
    }
  }

  private handleReplaced(): void {
    if (this.closed) {
      return;
    }
    this.runs.abandonAll('replaced');
    this.closed = true;
    this.options.events.changed();
  }

  private setAnswering(answering: boolean, reason?: string): void {
    if (this.isAnswering === answering || this.closed) {
      return;
    }
    this.isAnswering = answering;
    this.silentSince = answering ? undefined : this.options.ctx.clock();
    if (!answering) {
      this.orders.abandonStarts();
      this.options.events.silent(this.runs.all);
    } else {
      this.options.events.answersAgain();
    }
    this.options.ctx.log.info(
      { worker: this.info.id, answering, reason, ...this.contactFields() },
      'worker: contact changed',
    );
    this.options.events.changed();
  }

  private async applyReport(report: Report, sentAt: Instant): Promise<void> {
    const { events } = this.options;
    const { times } = this.options.ctx;
    const wereKnown = this.runs.areKnown;
    times.measure('reports', () => {
      this.runs.applyReport(report, sentAt);
    });
    if (this.runs.areKnown && !wereKnown) {
      this.logAllKnown();
      events.changed();
    }
    this.hasReported = true;
    // The next poll waits for this record, since it extends the lease only then. A poll sent earlier would
    // delay the extension for as long as it waits for an end.
    const reached = this.reach.request();
    times.measure('reports', () => {
      events.reported(this);
    });
    const last = report.ended.at(-1);
    if (last !== undefined) {
      const recorded = this.confirmRecorded(last.position);
      await waitFor(this.options.ctx, recorded, UNRECORDED_ENDS_POLL_DELAY_MS);
    }
    if (reached !== undefined) {
      await waitFor(this.options.ctx, reached, SHORT_LEASE_POLL_WAIT_MS);
    }
  }

  /** Logs that all runs are known, if the worker had more ends than its first report listed. */
  private logAllKnown(): void {
    if (this.hasReported) {
      const { ctx } = this.options;
      const afterMs = this.contact.sinceFirstMs;
      ctx.log.info(
        { worker: this.info.id, afterMs },
        'worker: all its ends are listed',
      );
    }
  }

  /**
   * Notes when the ends up to `position` are recorded. Only then are they acknowledged, even if they were
   * listed before.
   */
  private async confirmRecorded(position: number): Promise<void> {
    if (await this.options.events.recorded()) {
      this.recordedUpTo = Math.max(this.recordedUpTo, position);
    }
  }

  /** Log fields about the contact: when the worker answered, and what bounds its lease. */
  private contactFields(): Record<string, unknown> {
    const now = this.options.ctx.clock();
    return {
      answeredMsAgo: this.contact.sinceLastMs,
      reachedMsAgo: this.contact.sinceFirstMs,
      leaseLeftMs: Math.round(this.lease.endsBy - now),
      leaseOf: this.lease.isKnown ? 'this_leader' : 'earlier_leader',
    };
  }
}
