/** How much a saturated leader takes on, by how long its decisions take to be written. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { HostContext } from './context.js';
import { MAX_STARTS } from './start-window.js';
import { MAX_POLL_WAIT_MS, MAX_SATURATED_POLLS_PER_S } from './timing.js';

/** Time from the start of a round until its decisions are written and sent: half of what the quickest jobs may wait. */
const TARGET_MS: Millis = 125;
/** Starts in flight however long they take, so that some are always tried. */
const MIN_STARTS = 8;
/** Weight of the newest round in the average. */
const NEW_ROUND_WEIGHT = 0.5;
/** Lateness from which workers with urgent tasks are no longer polled at once. */
const LATE_FACTOR = 2;
const MS_PER_S = 1_000;

/** Rounds since they were last reported, and the limits in force. */
export interface PaceReport {
  readonly rounds: number;
  readonly longestRoundMs: Millis;
  /** Null while the host has time to spare. */
  readonly maxStarts: number | null;
  /** Shortest time between two polls of a worker without urgent tasks. */
  readonly pollIntervalMs: Millis;
}

/** Limits starts and polls in proportion to the time that rounds take, while the host is saturated. */
export class DecisionPace {
  private averageMs: Millis = TARGET_MS;
  private begunAt: Instant | undefined;
  /** When the first change was made that no round has considered. */
  private changedAt: Instant | undefined;
  private rounds = 0;
  private longestRoundMs: Millis = 0;

  /** Creates the pace of a leader that has made no round yet. */
  constructor(
    private readonly ctx: Pick<HostContext, 'clock' | 'isSaturated' | 'waits'>,
    /** Returns the starts in flight while rounds are in time. */
    private readonly mostStarts: () => number = () => MAX_STARTS,
  ) {}

  /** Notes that something changed that the next round has to consider. */
  noteChange(): void {
    this.changedAt ??= this.ctx.clock();
  }

  /** Notes that a round begins, and returns the time. */
  begin(): Instant {
    this.begunAt = this.ctx.clock();
    if (this.changedAt !== undefined) {
      this.ctx.waits.note('decide', this.begunAt - this.changedAt);
      this.changedAt = undefined;
    }
    return this.begunAt;
  }

  /** Notes that the decisions of the round are written and their starts are on their way. */
  end(): void {
    const tookMs = this.runningMs();
    this.begunAt = undefined;
    this.rounds += 1;
    this.longestRoundMs = Math.max(this.longestRoundMs, tookMs);
    this.averageMs += NEW_ROUND_WEIGHT * (tookMs - this.averageMs);
  }

  /** Most starts in flight. */
  get maxStarts(): number {
    if (!this.ctx.isSaturated()) {
      return Infinity;
    }
    const starts = this.mostStarts() / this.lateness();
    return Math.max(MIN_STARTS, Math.floor(starts));
  }

  /**
   * Shortest time between two polls of one of `workers`: 0 unless the host is saturated. While decisions are not
   * late, `isPrompt` workers are polled at once: those with urgent tasks, since the next step of such a job waits
   * for a report, and those that another host polls.
   */
  pollIntervalMs(workers: number, isPrompt: boolean): Millis {
    const lateness = this.lateness();
    if (!this.ctx.isSaturated() || (isPrompt && lateness < LATE_FACTOR)) {
      return 0;
    }
    const shortestMs = (MS_PER_S * workers) / MAX_SATURATED_POLLS_PER_S;
    return Math.ceil(Math.min(shortestMs * lateness, MAX_POLL_WAIT_MS));
  }

  /** Returns the rounds since the last call, and the limits in force for a fleet of `workers`. */
  takeReport(workers: number): PaceReport {
    const { rounds, maxStarts } = this;
    const longestMs = Math.max(this.longestRoundMs, this.runningMs());
    this.rounds = 0;
    this.longestRoundMs = 0;
    return {
      rounds,
      longestRoundMs: Math.round(longestMs),
      maxStarts: maxStarts === Infinity ? null : maxStarts,
      pollIntervalMs: this.pollIntervalMs(workers, false),
    };
  }

  /** How many times longer than the target rounds take, the one that is not finished included; at least 1. */
  private lateness(): number {
    return Math.max(
      1,
      this.averageMs / TARGET_MS,
      this.runningMs() / TARGET_MS,
    );
  }

  private runningMs(): Millis {
    return this.begunAt === undefined ? 0 : this.ctx.clock() - this.begunAt;
  }
}
