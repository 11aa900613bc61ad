/** A leader's contact with one host that sends starts for it. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  PeerPort,
  PeerProcess,
  RelayedStart,
  RelayFailure,
  RelayOutcome,
} from '@paddlewind/ports/jobs';

import type { HostContext } from '../context.js';

/** How long a host is not used for a worker that answers this one and not it. */
const CUT_OFF_REST_MS: Millis = 3_000;
/** Workers that do not answer a host from which on it is used for no other either. */
const CUT_OFF_WORKERS = 4;
/** How long a host is not used that did not answer, unless it is heard before. */
const SILENCE_REST_MS: Millis = 1_000;
/** How long a host is not used that has refused a start for what it says of itself. */
const REFUSAL_REST_MS: Millis = 500;
/** A host of which nothing was heard for this long since it was called is gone, however slow the link is. */
const GONE_MS: Millis = 2_000;
/**
 * How long the best bound of another clock is kept, and a host that is used for nothing is not asked for a new
 * one: a machine may have stood still since.
 */
const CLOCK_KEPT_MS: Millis = 2_000;
/** A host that takes longer to take starts is given others only where all are as slow. */
const SLOW_MS: Millis = 150;
/** For how long it is: it may have been slow for a moment. */
const SLOW_REST_MS: Millis = 1_000;

/** What one process of the host has told. */
interface KnownProcess {
  readonly id: string;
  /** What its clock is ahead of the one here, at the least. */
  readonly aheadMs: Millis;
  /** When that was learnt. */
  readonly since: Instant;
}

/**
 * Why a host is not used for a while: it sends no starts; it did not answer in time; it is behind, or cut off
 * from workers. All but the first may be for a slow link here, or something else that all hosts share.
 */
type RestKind = 'unable' | 'silent' | 'impaired';

/** What became of a start that a host was given. */
export type RelayResult = RelayOutcome | RelayFailure;

/** A start for another host, and who is told what becomes of it. */
export interface RelayedOrder {
  readonly start: Omit<RelayedStart, 'sendBy'>;
  /** Latest time by the clock here at which it is sent. */
  readonly sendBy: Instant;
  readonly settle: (res: RelayResult) => void;
}

/** What a relay host is given. */
export interface RelayHostOptions {
  readonly ctx: HostContext;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
  /** The host has taken starts, `tookMs` after they were sent. */
  readonly taken: (starts: number, tookMs: Millis) => void;
  /** It has not taken them in time. */
  readonly late: () => void;
}

/** A host that sends starts for this one, which leads. */
export class RelayHost {
  private known: KnownProcess | undefined;
  private restsUntil: Instant = -Infinity;
  private restKind: RestKind = 'unable';
  private heardAt: Instant = -Infinity;
  /** When it was first called of which it has said nothing since; undefined where it has answered all calls. */
  private unansweredSince: Instant | undefined;
  private isAsking = false;
  /** Until when it is not used for a worker, by the worker's id. */
  private readonly cutOff = new Map<string, Instant>();
  private ordersUnderWay = 0;
  private usedAt: Instant = -Infinity;
  private slowUntil: Instant = -Infinity;

  /** Creates a contact to a host that was not called yet. */
  constructor(private readonly options: RelayHostOptions) {}

  /** Name of the host. */
  get host(): string {
    return this.options.host;
  }

  /** Where the host is reached. */
  get address(): string {
    return this.options.address;
  }

  /** Starts at the host of which it is not known what became. */
  get underWay(): number {
    return this.ordersUnderWay;
  }

  /** Whether it took long to take starts within the last second. */
  get isSlow(): boolean {
    return this.options.ctx.clock() < this.slowUntil;
  }

  /** When it was given a start last. */
  get lastUsedAt(): Instant {
    return this.usedAt;
  }

  /** Whether it is known which process is there, and it is not known to be gone. */
  get isThere(): boolean {
    const { unansweredSince } = this;
    const now = this.options.ctx.clock();
    const isGone =
      unansweredSince !== undefined && now - unansweredSince > GONE_MS;
    return this.known !== undefined && !isGone;
  }

  /** Whether it may be given a start now. */
  get isUsable(): boolean {
    return this.isThere && this.hasRested;
  }

  /** Whether it may be given a start where most others rest as well. */
  get isLastResort(): boolean {
    return this.isThere && (this.hasRested || this.restKind !== 'unable');
  }

  /** Whether the worker answers it, as far as is known. */
  reaches(worker: string): boolean {
    const until = this.cutOff.get(worker) ?? -Infinity;
    return this.options.ctx.clock() >= until;
  }

  /** Asks which process is there, unless it has answered of late: no start waits for a host that may be gone. */
  async identify(): Promise<void> {
    const { ctx, peers, address } = this.options;
    const isKnownOfLate = ctx.clock() - this.heardAt < CLOCK_KEPT_MS;
    if ((this.isUsable && isKnownOfLate) || this.isAsking) {
      return;
    }
    this.isAsking = true;
    const found = await peers.identify(address);
    this.isAsking = false;
    if (found !== undefined) {
      this.hear(found);
    } else if (this.hasRested) {
      this.rest('does not say which process it is', SILENCE_REST_MS, 'silent');
    }
  }

  /** Has the host send starts, and tells what becomes of each. */
  async send(
    orders: readonly RelayedOrder[],
    takenWithinMs: Millis,
  ): Promise<void> {
    const { ctx, peers, epoch, address } = this.options;
    // Only a host that is known is given starts; no process has an empty name.
    const { id: process = '', aheadMs = 0 } = this.known ?? {};
    const sentAt = ctx.clock();
    const open = new Map(orders.entries());
    const settle = (at: number, res: RelayResult): void => {
      const order = open.get(at);
      if (order !== undefined) {
        open.delete(at);
        this.ordersUnderWay -= 1;
        order.settle(res);
      }
    };
    this.ordersUnderWay += orders.length;
    this.usedAt = sentAt;
    const starts = orders.map(({ start, sendBy }) => {
      const latest = Math.min(sentAt + takenWithinMs, sendBy);
      return { ...start, sendBy: latest + aheadMs };
    });
    const res = await peers.relay(
      address,
      { epoch, process, starts },
      {
        takenWithinMs,
        onAccepted: by => {
          this.hear(by);
          this.noteTaken(orders.length, ctx.clock() - sentAt);
        },
        onOutcome: (at, outcome) => {
          this.note(outcome);
          settle(at, outcome);
        },
      },
    );
    const failure = res.kind === 'failed' ? res : UNTOLD;
    if (res.kind === 'failed') {
      this.noteFailure(res, sentAt);
    }
    for (const at of [...open.keys()]) {
      settle(at, failure);
    }
  }

  /** Notes that a worker answers this host and not the other one. */
  noteCutOff(worker: string): void {
    const now = this.options.ctx.clock();
    this.cutOff.set(worker, now + CUT_OFF_REST_MS);
    for (const [id, until] of this.cutOff) {
      if (until <= now) {
        this.cutOff.delete(id);
      }
    }
    if (this.cutOff.size >= CUT_OFF_WORKERS) {
      this.rest('workers do not answer it', CUT_OFF_REST_MS, 'impaired');
    }
  }

  private rest(reason: string, span: Millis, kind: RestKind): void {
    const { ctx, host } = this.options;
    const until = ctx.clock() + span;
    if (until > this.restsUntil) {
      this.restsUntil = until;
      this.restKind = kind;
      ctx.log.info(
        { by: host, reason, restMs: span },
        'relay: a host is given no starts for a while',
      );
    }
  }

  private get hasRested(): boolean {
    return this.options.ctx.clock() >= this.restsUntil;
  }

  private noteTaken(starts: number, tookMs: Millis): void {
    if (tookMs > SLOW_MS) {
      this.slowUntil = this.options.ctx.clock() + SLOW_REST_MS;
    }
    this.options.taken(starts, tookMs);
  }

  /** A start that came late tells of the way to the host, and one for another process of what is there now. */
  private note(outcome: RelayOutcome): void {
    if (outcome.kind !== 'refused') {
      return;
    }
    if (outcome.why === 'late') {
      this.options.late();
    } else if (outcome.why !== 'other_process') {
      const kind = outcome.why === 'unknown_job' ? 'impaired' : 'unable';
      this.rest(outcome.why, REFUSAL_REST_MS, kind);
    }
  }

  private noteFailure(res: RelayFailure, sentAt: Instant): void {
    if (res.outcome === 'unknown') {
      this.options.late();
    }
    if (this.heardAt >= sentAt) {
      return;
    }
    this.unansweredSince ??= sentAt;
    const kind = res.outcome === 'unknown' ? 'silent' : 'unable';
    this.rest(res.reason, SILENCE_REST_MS, kind);
  }

  /**
   * An answer was given before it arrived: the host's clock is ahead by at least as much as it seems. Of several
   * bounds the largest tells the most, which came with the quickest answer.
   */
  private hear({ process, clock }: PeerProcess): void {
    const now = this.options.ctx.clock();
    this.heardAt = now;
    this.unansweredSince = undefined;
    if (this.restKind === 'silent') {
      this.restsUntil = -Infinity;
    }
    const aheadMs = clock - now;
    const { known } = this;
    const isBetter =
      known?.id !== process ||
      aheadMs >= known.aheadMs ||
      now - known.since > CLOCK_KEPT_MS;
    if (isBetter) {
      this.known = { id: process, aheadMs, since: now };
    }
  }
}

const UNTOLD: RelayFailure = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'the host did not tell what became of it',
};
