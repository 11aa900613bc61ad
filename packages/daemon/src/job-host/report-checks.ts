/** Compares consecutive reports of a worker, and logs runs and ends that are missing without a cause. */
import type { Run } from '@paddlewind/domain/jobs';
import type { PollResult } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';

type Report = Extract<PollResult, { kind: 'seen' }>;

/** Checks the reports of one incarnation of a worker. */
export class ReportChecks {
  /** Highest position of a listed end; undefined before the first report. */
  private lastPosition: number | undefined;
  /** Runs that the last report listed and that were open then. */
  private lastListed = new Set<string>();

  /**
   * Creates the checks of a worker that has not reported yet. A new incarnation (`isNew`) has listed no ends
   * to any leader.
   */
  constructor(
    private readonly ctx: HostContext,
    private readonly worker: string,
    isNew: boolean,
  ) {
    this.lastPosition = isNew ? 0 : undefined;
  }

  /** Checks a report; `listed` holds the keys of all runs in it, `open` the open runs at the worker. */
  check(
    report: Report,
    listed: ReadonlySet<string>,
    open: ReadonlyMap<string, Run>,
  ): void {
    this.checkPositions(report);
    this.logMoreEnds(report, listed, open);
    for (const run of this.lastListed) {
      if (open.has(run) && !listed.has(run)) {
        const { worker } = this;
        this.ctx.meters.runMissing();
        this.ctx.log.warn(
          { worker, run },
          'worker: a run that was at work is no longer listed',
        );
      }
    }
    this.lastListed = new Set([...listed].filter(run => open.has(run)));
  }

  /** Logs that a report may omit ends, and how many open runs it does not list. */
  private logMoreEnds(
    { ended, hasMoreEnds }: Report,
    listed: ReadonlySet<string>,
    open: ReadonlyMap<string, Run>,
  ): void {
    if (hasMoreEnds) {
      const notListed = [...open.keys()].filter(run => !listed.has(run)).length;
      const { worker } = this;
      this.ctx.log.info(
        { worker, ends: ended.length, notListed },
        'worker: has more ends than it lists at a time',
      );
    }
  }

  /**
   * Checks the positions of ends. They rise by one: a gap means that ends were acknowledged before they were
   * listed to this leader.
   */
  private checkPositions({ ended }: Report): void {
    const first = ended.at(0)?.position;
    const expected = (this.lastPosition ?? Infinity) + 1;
    if (first !== undefined && first > expected) {
      const { worker } = this;
      this.ctx.meters.endsMissing(first - expected);
      this.ctx.log.warn(
        { worker, expected, first },
        'worker: ends are missing from its list',
      );
    }
    const last = ended.at(-1)?.position ?? this.lastPosition;
    this.lastPosition = last;
  }
}
