/**
 * The role of a host: a standby reads the whole journal and may lead, a follower of the summary
 * reads only the states that are reported to callers.
 *
 * All hosts are standbys until the leader names its standbys. The cost of reading the journal, in
 * bytes and processor time, grows with the work of the fleet: on a fleet of 97 hosts it was most of
 * what the hosts spent.
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

/** What the role of a host depends on. */
export interface HostRoleOptions {
  readonly ctx: HostContext;
  /**
   * Appends an offer to the inbox. Whether it arrived shows only in the standbys that the leader
   * names.
   */
  readonly appendOffer: (records: readonly Uint8Array[]) => Promise<unknown>;
  readonly replica: Replica;
  readonly summary: SummaryFollower;
  /** Number of processors of this host. */
  readonly cores: number;
  /** Address at which other hosts reach this one. */
  readonly peerAddress: string;
}

/** The role of one host. */
export class HostRole {
  private followingSummary = false;
  /** Whether this process has tried to read the leader from the summary. */
  private hasTriedSummary = false;
  private summaryReadAt: Instant = -Infinity;
  private nextOfferAt: Instant;
  /** Whether the summary last read showed fewer standbys than there should be. */
  private hadVacancy = false;
  private readonly leaderTimeoutMs: Millis;

  /** Creates the role of a host that has read nothing. */
  constructor(private readonly options: HostRoleOptions) {
    const { ctx } = options;
    this.leaderTimeoutMs = SUMMARY_SILENCE_TIMEOUT_MS + this.randomDelay();
    this.nextOfferAt = ctx.clock() + this.randomDelay();
  }

  /** Whether this host reads the summary instead of the journal. */
  get isFollowingSummary(): boolean {
    return this.followingSummary;
  }

  /**
   * Updates the role; resolves with true if this host follows the summary and does not read the
   * journal.
   */
  async followsSummary(): Promise<boolean> {
    if (this.followingSummary) {
      await this.followSummary();
    } else if (this.isReleased()) {
      await this.tryToFollowSummary();
    }
    if (this.shouldOffer()) {
      this.offer();
    }
    return this.followingSummary;
  }

  private async followSummary(): Promise<void> {
    const { ctx, summary } = this.options;
    if (ctx.clock() - this.summaryReadAt >= SUMMARY_READ_INTERVAL_MS) {
      this.summaryReadAt = ctx.clock();
      await summary.refresh();
    }
    if (!this.mayFollowSummary()) {
      ctx.log.info({ leads: summary.leaderInfo }, 'duty: reads the journal');
      this.followingSummary = false;
    }
  }

  private async tryToFollowSummary(): Promise<void> {
    const { ctx, replica, summary } = this.options;
    this.hasTriedSummary = true;
    if ((await summary.refresh()) && this.mayFollowSummary()) {
      ctx.log.info({ leads: summary.leaderInfo }, 'duty: reads the summary');
      this.followingSummary = true;
      this.summaryReadAt = ctx.clock();
      replica.reset();
    }
  }

  /**
   * Whether the leader has named other hosts as standbys, or may have done so before this process
   * started.
   */
  private isReleased(): boolean {
    const { ctx, replica } = this.options;
    const { standbys, claim } = replica.state;
    if (!this.hasTriedSummary) {
      return true;
    }
    return (
      standbys !== undefined &&
      !standbys.includes(ctx.host) &&
      claim.host !== ctx.host &&
      this.hasLiveLeader()
    );
  }

  /**
   * Whether the summary shows a live leader that has not named this host. Silence counts only up to
   * the last read, so that a host that was cut off does not have to read the whole journal.
   */
  private mayFollowSummary(): boolean {
    const { ctx, summary } = this.options;
    const { leaderInfo, knownAsOf, leaderReceivedAt } = summary;
    return (
      leaderInfo !== undefined &&
      leaderInfo.host !== ctx.host &&
      !leaderInfo.standbys.includes(ctx.host) &&
      knownAsOf - leaderReceivedAt < this.leaderTimeoutMs
    );
  }

  private hasLiveLeader(): boolean {
    const { ctx, replica } = this.options;
    return (
      replica.isComplete &&
      replica.state.claim.epoch > 0 &&
      ctx.clock() - replica.journalReceivedAt < LEADER_SILENCE_TIMEOUT_MS
    );
  }

  /** Whether this host should offer itself as a standby now: it is one, or there are too few. */
  private shouldOffer(): boolean {
    const { ctx, summary } = this.options;
    const now = ctx.clock();
    if (!this.followingSummary) {
      return this.hasLiveLeader() && now >= this.nextOfferAt;
    }
    const isVacant = (summary.leaderInfo?.standbys.length ?? 0) < MAX_STANDBYS;
    if (isVacant && !this.hadVacancy) {
      this.nextOfferAt = now + this.randomDelay();
    }
    this.hadVacancy = isVacant;
    return isVacant && now >= this.nextOfferAt;
  }

  private offer(): void {
    const { ctx, cores, peerAddress } = this.options;
    this.nextOfferAt = ctx.clock() + STANDBY_OFFER_INTERVAL_MS;
    const record = encodeRecord({
      kind: 'volunteer',
      host: ctx.host,
      cores,
      address: peerAddress,
    });
    void this.options.appendOffer([record]);
  }

  /** Returns a random delay; large hosts act first. */
  private randomDelay(): Millis {
    const { ctx, cores } = this.options;
    const baseDelay = cores < MIN_LEADER_CORES ? ROLE_CHANGE_JITTER_MS : 0;
    return baseDelay + ctx.random() * ROLE_CHANGE_JITTER_MS;
  }
}
