/** The runs that a report of a worker lists, and what it says of those that it does not list. */
import { runKey, taskName } from '@paddlewind/domain/jobs';
import type { PollResult } from '@paddlewind/ports/jobs';

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
  /** Keys of the listed runs. */
  readonly listed: ReadonlySet<string>;
  /** Whether all ends are listed, so that nothing is unknown. */
  readonly isComplete: boolean;

  /** Reads a report. */
  constructor({ active, ended, hasMoreEnds }: Report) {
    this.listed = new Set(
      [...active, ...ended].map(({ task, run }) => runKey(taskName(task), run)),
    );
    this.isComplete = !hasMoreEnds;
  }

  /** Returns what the report says of the run with this key. */
  presenceOf(key: string): RunPresence {
    if (this.listed.has(key)) {
      return 'listed';
    }
    return this.isComplete ? 'absent' : 'unknown';
  }
}
