/** How long work waits for the leader at each stage from the end of a run to the start of the next one. */
import type { Millis } from '@paddlewind/domain';

/**
 * Stages in order: `read`, a worker is not asked for its ends; `decide`, something was recorded that the next
 * planning round has to consider; `send`, a start was decided on and is not sent yet.
 */
export const WAIT_STAGES = ['read', 'decide', 'send'] as const;

/** A stage at which work waits. */
export type WaitStage = (typeof WAIT_STAGES)[number];

/** Waits at one stage since they were last taken. */
export interface WaitSummary {
  readonly count: number;
  readonly meanMs: Millis;
  readonly longestMs: Millis;
}

interface WaitSum {
  count: number;
  totalMs: Millis;
  longestMs: Millis;
}

/** Adds up waits until they are taken. */
export class StageWaits {
  private sums = new Map<WaitStage, WaitSum>();

  /** Notes that something has waited for `ms` at a stage. */
  note(stage: WaitStage, ms: Millis): void {
    const sum = this.sums.get(stage);
    if (sum === undefined) {
      this.sums.set(stage, { count: 1, totalMs: ms, longestMs: ms });
      return;
    }
    sum.count += 1;
    sum.totalMs += ms;
    sum.longestMs = Math.max(sum.longestMs, ms);
  }

  /** Returns the waits since the last call, by stage; stages without any are left out. */
  take(): Partial<Record<WaitStage, WaitSummary>> {
    const taken = [...this.sums].map(
      ([stage, { count, totalMs, longestMs }]) => [
        stage,
        {
          count,
          meanMs: Math.round(totalMs / count),
          longestMs: Math.round(longestMs),
        },
      ],
    );
    this.sums = new Map();
    return Object.fromEntries(taken) as Partial<Record<WaitStage, WaitSummary>>;
  }
}
