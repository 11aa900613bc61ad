/** A leader's connection to one host that sends starts on its behalf. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  PeerPort,
  PeerProcess,
  RelayedStart,
  RelayFailure,
  RelayOutcome,
} from '@paddlewind/ports/jobs';

import { CLOCK_BOUND_LIFETIME_MS, ClockBound } from '../clock-bound.js';
import type { HostContext } from '../context.js';
import { AnswerTimer } from './answer-timer.js';

/** Time for which a host is not used for a worker that answers the leader but not that host. */
const UNREACHED_WORKER_BACKOFF_MS: Millis = 3_000;
/** A host that this many workers do not answer is not used for any worker. */
const MAX_UNREACHED_WORKERS = 4;
/** Time for which a silent host is not used, unless it answers earlier. */
const SILENCE_BACKOFF_MS: Millis = 1_000;
/** Time for which a host is not used after it refused a start because of its own state. */
const REFUSAL_BACKOFF_MS: Millis = 500;
/**
 * A host counts as unavailable after it has been silent for this long since a call, however slow
 * the link is.
 */
const UNAVAILABLE_AFTER_MS: Millis = 2_000;
/** A host that takes longer to accept starts is given more only if all hosts are as slow. */
const SLOW_ACCEPT_MS: Millis = 150;
/** Time for which a host counts as slow; it may have been slow only for a moment. */
const SLOW_BACKOFF_MS: Millis = 1_000;

/**
 * Why a host is in backoff: `unable` to send starts; `silent` if it did not answer in time;
 * `impaired` if it is behind the log or does not reach workers. All but the first may have a cause
 * that all hosts share, such as a slow link of the leader.
 */
type BackoffKind = 'unable' | 'silent' | 'impaired';

/** Outcome of a start that a host was given. */
export type RelayResult = RelayOutcome | RelayFailure;

/** A start for another host, and the callback that gets its outcome. */
export interface RelayedOrder {
  readonly start: Omit<RelayedStart, 'sendBy'>;
  /** Latest time on the local clock at which it may be sent. */
  readonly sendBy: Instant;
  readonly settle: (res: RelayResult) => void;
}

/** Dependencies of the connection to a host. */
export interface RelayHostOptions {
  readonly ctx: HostContext;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
  /** Time after which starts that were not accepted indicate a queue on the link. */
  readonly lateAfterMs: () => Millis;
  /** Called when the host has accepted starts, `tookMs` after they were sent, without own hold-ups. */
  readonly onAccepted: (starts: number, tookMs: Millis) => void;
  /** Called when the host has not accepted starts in time. */
  readonly onLate: () => void;
}

/** A host that sends starts on behalf of the leader. */
export class RelayHost {
  private readonly clockBound = new ClockBound();
  private backoffUntil: Instant = -Infinity;
  private backoffKind: BackoffKind = 'unable';
  private answeredAt: Instant = -Infinity;
  /**
   * When the first call was made that the host has not answered; undefined if it has answered all
   * calls.
   */
  private unansweredSince: Instant | undefined;
  private isIdentifying = false;
  /** Time until which the host is not used for a worker, by worker id. */
  private readonly unreachedWorkers = new Map<string, Instant>();
  private ordersInFlight = 0;
  private usedAt: Instant = -Infinity;
  private slowUntil: Instant = -Infinity;

  /** Creates a connection to a host that has not been called yet. */
  constructor(private readonly options: RelayHostOptions) {}

  /** Name of the host. */
  get host(): string {
    return this.options.host;
  }

  /** Address of the host. */
  get address(): string {
    return this.options.address;
  }

  /** Number of starts at the host whose outcome is unknown. */
  get inFlight(): number {
    return this.ordersInFlight;
  }

  /** Whether the host recently took long to accept starts. */
  get isSlow(): boolean {
    return this.options.ctx.clock() < this.slowUntil;
  }

  /** When the host was last given a start. */
  get lastUsedAt(): Instant {
    return this.usedAt;
  }

  /** Whether the process on the host is known and not considered unavailable. */
  get isAvailable(): boolean {
    const { unansweredSince } = this;
    const now = this.options.ctx.clock();
    const isUnavailable =
      unansweredSince !== undefined &&
      now - unansweredSince > UNAVAILABLE_AFTER_MS;
    return this.clockBound.process !== undefined && !isUnavailable;
  }

  /** Whether the host may be given a start now. */
  get isUsable(): boolean {
    return this.isAvailable && this.isOutOfBackoff;
  }

  /** Whether the host may be given a start if most other hosts are in backoff too. */
  get isLastResort(): boolean {
    return (
      this.isAvailable && (this.isOutOfBackoff || this.backoffKind !== 'unable')
    );
  }

  /** Whether the host reaches a worker, as far as is known. */
  reaches(worker: string): boolean {
    const until = this.unreachedWorkers.get(worker) ?? -Infinity;
    return this.options.ctx.clock() >= until;
  }

  /**
   * Asks for the process on the host, unless the host is usable and has answered recently, so that
   * no start waits for a host that may be unavailable.
   */
  async identify(): Promise<void> {
    const { ctx, peers, address } = this.options;
    const answeredRecently =
      ctx.clock() - this.answeredAt < CLOCK_BOUND_LIFETIME_MS;
    if ((this.isUsable && answeredRecently) || this.isIdentifying) {
      return;
    }
    this.isIdentifying = true;
    const found = await peers.identify(address);
    this.isIdentifying = false;
    if (found !== undefined) {
      this.updateClockBound(found);
    } else if (this.isOutOfBackoff) {
      this.backOff(
        'did not identify its process',
        SILENCE_BACKOFF_MS,
        'silent',
      );
    }
  }

  /** Has the host send starts and passes on the outcome of each. */
  async send(
    orders: readonly RelayedOrder[],
    takenWithinMs: Millis,
  ): Promise<void> {
    const { ctx, peers, epoch, address } = this.options;
    // Only a host whose process is known is given starts; no process has an empty name.
    const { process = '', aheadMs } = this.clockBound;
    const sentAt = ctx.clock();
    const open = new Map(orders.entries());
    const settle = (at: number, res: RelayResult): void => {
      const order = open.get(at);
      if (order !== undefined) {
        open.delete(at);
        this.ordersInFlight -= 1;
        order.settle(res);
      }
    };
    this.ordersInFlight += orders.length;
    this.usedAt = sentAt;
    const starts = orders.map(({ start, sendBy }) => {
      const latest = Math.min(sentAt + takenWithinMs, sendBy);
      return { ...start, sendBy: latest + aheadMs };
    });
    const timer = new AnswerTimer(ctx, this.options.lateAfterMs());
    const res = await peers.relay(
      address,
      { epoch, process, starts },
      {
        takenWithinMs,
        onAccepted: by => {
          this.updateClockBound(by);
          this.recordAccepted(orders.length, timer.stop());
        },
        onOutcome: (at, outcome) => {
          this.handleOutcome(outcome);
          settle(at, outcome);
        },
      },
    );
    const failure = res.kind === 'failed' ? res : NO_OUTCOME;
    if (res.kind === 'failed') {
      this.handleFailure(res, sentAt);
    }
    for (const at of [...open.keys()]) {
      settle(at, failure);
    }
  }

  /** Records that a worker answers the leader but not this host. */
  recordUnreachedWorker(worker: string): void {
    const now = this.options.ctx.clock();
    this.unreachedWorkers.set(worker, now + UNREACHED_WORKER_BACKOFF_MS);
    for (const [id, until] of this.unreachedWorkers) {
      if (until <= now) {
        this.unreachedWorkers.delete(id);
      }
    }
    if (this.unreachedWorkers.size >= MAX_UNREACHED_WORKERS) {
      this.backOff(
        'workers do not answer it',
        UNREACHED_WORKER_BACKOFF_MS,
        'impaired',
      );
    }
  }

  private backOff(reason: string, span: Millis, kind: BackoffKind): void {
    const { ctx, host } = this.options;
    const until = ctx.clock() + span;
    if (until > this.backoffUntil) {
      this.backoffUntil = until;
      this.backoffKind = kind;
      ctx.log.info(
        { by: host, reason, restMs: span },
        'relay: a host is given no starts for a while',
      );
    }
  }

  private get isOutOfBackoff(): boolean {
    return this.options.ctx.clock() >= this.backoffUntil;
  }

  private recordAccepted(starts: number, tookMs: Millis): void {
    if (tookMs > SLOW_ACCEPT_MS) {
      this.slowUntil = this.options.ctx.clock() + SLOW_BACKOFF_MS;
    }
    this.options.onAccepted(starts, tookMs);
  }

  /**
   * Handles the outcome of a start. A late start says something about the path to the host, not
   * about the host; one for another process shows only that the process has changed.
   */
  private handleOutcome(outcome: RelayOutcome): void {
    if (outcome.kind !== 'refused') {
      return;
    }
    if (outcome.why === 'late') {
      this.options.onLate();
    } else if (outcome.why !== 'other_process') {
      const kind = outcome.why === 'unknown_job' ? 'impaired' : 'unable';
      this.backOff(outcome.why, REFUSAL_BACKOFF_MS, kind);
    }
  }

  private handleFailure(res: RelayFailure, sentAt: Instant): void {
    if (res.outcome === 'unknown') {
      this.options.onLate();
    }
    if (this.answeredAt >= sentAt) {
      return;
    }
    this.unansweredSince ??= sentAt;
    const kind = res.outcome === 'unknown' ? 'silent' : 'unable';
    this.backOff(res.reason, SILENCE_BACKOFF_MS, kind);
  }

  private updateClockBound(by: PeerProcess): void {
    const now = this.options.ctx.clock();
    this.answeredAt = now;
    this.unansweredSince = undefined;
    if (this.backoffKind === 'silent') {
      this.backoffUntil = -Infinity;
    }
    this.clockBound.update(by, now);
  }
}

const NO_OUTCOME: RelayFailure = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'the host reported no outcome',
};
