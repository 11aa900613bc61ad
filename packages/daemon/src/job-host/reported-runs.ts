/** The runs that a report of a worker lists, and what it says of those that it does not list. */
import { runKey, taskName } from '@paddlewind/domain/jobs';
import type { ActiveRun, EndedRun, PollResult } from '@paddlewind/ports/jobs';

/** A worker's answer to a poll. */
export type Report = Extract<PollResult, { kind: 'seen' }>;

/**
 * What a report says of a run: `listed` if it runs or has ended, `absent` if neither, `unknown` if its end may be
 * among those that the worker lists later.
 */
export type RunPresence = 'listed' | 'absent' | 'unknown';

/**
 * The runs of one report. A worker lists a limited number of ends at a time, so a run that is not listed is absent
 * only if the report lists all ends.
 */
export class ReportedRuns {
  /** Active runs by key. */
  readonly active: ReadonlyMap<string, ActiveRun>;
  /** Runs that have ended, by key. */
  readonly ended: ReadonlyMap<string, EndedRun>;
  /** Whether all ends are listed, so that nothing is unknown. */
  readonly isComplete: boolean;

  /** Reads a report. */
  constructor({ active, ended, hasMoreEnds }: Report) {
    this.active = byKey(active);
    this.ended = byKey(ended);
    this.isComplete = !hasMoreEnds;
  }

  /** Returns what the report says of the run with this key. */
  presenceOf(key: string): RunPresence {
    if (this.active.has(key) || this.ended.has(key)) {
      return 'listed';
    }
    return this.isComplete ? 'absent' : 'unknown';
  }
}

function byKey<T extends Pick<ActiveRun, 'task' | 'run'>>(
  runs: readonly T[],
): Map<string, T> {
  return new Map(runs.map(run => [runKey(taskName(run.task), run.run), run]));
}
