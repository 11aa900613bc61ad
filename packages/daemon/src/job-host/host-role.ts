/**
 * Whether a host reads every decision and stands by to lead, or reads only what callers are told.
 *
 * All stand by until the leader names those that are to. What reading the journal takes, in bytes and in
 * processor time, grows with the work of the fleet: on a fleet of 97 hosts it was most of what the hosts
 * spent.
 */
import type { Instant, Millis } from '@paddlewind/domain';
import { encodeRecord, MAX_STANDBYS } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { Replica } from './replica.js';
import type { SummaryFollower } from './summary-follower.js';
import {
  ROLE_CHANGE_JITTER_MS,
  MIN_LEADER_CORES,
  LEADER_SILENCE_TIMEOUT_MS,
  SUMMARY_READ_INTERVAL_MS,
  SUMMARY_SILENCE_TIMEOUT_MS,
  STANDBY_OFFER_INTERVAL_MS,
} from './timing.js';

/** What a host's duty depends on. */
export interface DutyOptions {
  readonly ctx: HostContext;
  /** Appends an offer to the inbox; whether it arrives is seen by whom the leader names. */
  readonly appendOffer: (records: readonly Uint8Array[]) => Promise<unknown>;
  readonly replica: Replica;
  readonly summary: SummaryFollower;
  /** Processors of this host. */
  readonly cores: number;
  /** Where other hosts reach this one. */
  readonly peerAddress: string;
}

/** The duty of one host. */
export class HostRole {
  private observing = false;
  /** Whether the summary was asked for a leader since the process started. */
  private hasAsked = false;
  private readAt: Instant = -Infinity;
  private offersAt: Instant;
  /** Whether fewer hosts stand by than should, as far as this host has seen. */
  private sawVacancy = false;
  private readonly patience: Millis;

  /** Creates the duty of a host that has read nothing. */
  constructor(private readonly options: DutyOptions) {
    const { ctx } = options;
    this.patience = SUMMARY_SILENCE_TIMEOUT_MS + this.delay();
    this.offersAt = ctx.clock() + this.delay();
  }

  /** Whether this host reads the summary in place of the journal. */
  get isObserving(): boolean {
    return this.observing;
  }

  /** Takes one turn; resolves with whether this host leaves the journal unread. */
  async followsSummary(): Promise<boolean> {
    if (this.observing) {
      await this.observe();
    } else if (this.isDismissed()) {
      await this.tryToObserve();
    }
    if (this.isWanted()) {
      this.offer();
    }
    return this.observing;
  }

  private async observe(): Promise<void> {
    const { ctx, summary } = this.options;
    if (ctx.clock() - this.readAt >= SUMMARY_READ_INTERVAL_MS) {
      this.readAt = ctx.clock();
      await summary.refresh();
    }
    if (!this.mayObserve()) {
      ctx.log.info({ leads: summary.leads }, 'duty: reads the journal');
      this.observing = false;
    }
  }

  private async tryToObserve(): Promise<void> {
    const { ctx, replica, summary } = this.options;
    this.hasAsked = true;
    if ((await summary.refresh()) && this.mayObserve()) {
      ctx.log.info({ leads: summary.leads }, 'duty: reads the summary');
      this.observing = true;
      this.readAt = ctx.clock();
      replica.reset();
    }
  }

  /** Whether the leader has chosen others to stand by, or may have before this process started. */
  private isDismissed(): boolean {
    const { ctx, replica } = this.options;
    const { standbys, claim } = replica.state;
    if (!this.hasAsked) {
      return true;
    }
    return (
      standbys !== undefined &&
      !standbys.includes(ctx.host) &&
      claim.host !== ctx.host &&
      this.isLed()
    );
  }

  /** Silence counts up to the last read only: a host that was cut off need not read the whole journal. */
  private mayObserve(): boolean {
    const { ctx, summary } = this.options;
    const { leads, knownAsOf, leaderHeardAt } = summary;
    return (
      leads !== undefined &&
      leads.host !== ctx.host &&
      !leads.standbys.includes(ctx.host) &&
      knownAsOf - leaderHeardAt < this.patience
    );
  }

  private isLed(): boolean {
    const { ctx, replica } = this.options;
    return (
      replica.isComplete &&
      replica.state.claim.epoch > 0 &&
      ctx.clock() - replica.journalReceivedAt < LEADER_SILENCE_TIMEOUT_MS
    );
  }

  /** Whether this host is to offer itself now: it stands by, or too few do. */
  private isWanted(): boolean {
    const { ctx, summary } = this.options;
    const now = ctx.clock();
    if (!this.observing) {
      return this.isLed() && now >= this.offersAt;
    }
    const isVacant = (summary.leads?.standbys.length ?? 0) < MAX_STANDBYS;
    if (isVacant && !this.sawVacancy) {
      this.offersAt = now + this.delay();
    }
    this.sawVacancy = isVacant;
    return isVacant && now >= this.offersAt;
  }

  private offer(): void {
    const { ctx, cores, peerAddress } = this.options;
    this.offersAt = ctx.clock() + STANDBY_OFFER_INTERVAL_MS;
    const record = encodeRecord({
      kind: 'volunteer',
      host: ctx.host,
      cores,
      address: peerAddress,
    });
    void this.options.appendOffer([record]);
  }

  /** Large hosts come first. */
  private delay(): Millis {
    const { ctx, cores } = this.options;
    const first = cores < MIN_LEADER_CORES ? ROLE_CHANGE_JITTER_MS : 0;
    return first + ctx.random() * ROLE_CHANGE_JITTER_MS;
  }
}
