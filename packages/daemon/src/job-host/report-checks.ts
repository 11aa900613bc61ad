/** Compares consecutive reports of a worker, and logs runs and ends that are missing without a cause. */
import type { Run } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { Report, ReportedRuns } from './reported-runs.js';

/** Checks the reports of one incarnation of a worker. */
export class ReportChecks {
  /** Highest position of a listed end; undefined before the first report. */
  private lastPosition: number | undefined;
  /** Runs that a report has listed, that were open then and that no later report has shown to be absent. */
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

  /** Checks a report, with the open runs at the worker. */
  check(
    report: Report,
    reported: ReportedRuns,
    open: ReadonlyMap<string, Run>,
  ): void {
    this.checkPositions(report);
    this.logMoreEnds(report, reported, open);
    const awaited: string[] = [];
    for (const run of this.lastListed) {
      switch (open.has(run) ? reported.presenceOf(run) : 'listed') {
        case 'listed':
          break;
        case 'absent':
          this.noteMissing(run);
          break;
        case 'unknown':
          awaited.push(run);
          break;
      }
    }
    const listed = new Set(awaited);
    for (const runs of [reported.active, reported.ended]) {
      for (const run of runs.keys()) {
        if (open.has(run)) {
          listed.add(run);
        }
      }
    }
    this.lastListed = listed;
  }

  private noteMissing(run: string): void {
    const { worker } = this;
    this.ctx.meters.runMissing();
    this.ctx.log.warn(
      { worker, run },
      'worker: a run that was at work is no longer listed',
    );
  }

  /** Logs that a report may omit ends, and of how many open runs it says nothing. */
  private logMoreEnds(
    { ended }: Report,
    reported: ReportedRuns,
    open: ReadonlyMap<string, Run>,
  ): void {
    if (!reported.isComplete) {
      const { worker } = this;
      const unknown = [...open.keys()].filter(
        run => reported.presenceOf(run) === 'unknown',
      );
      this.ctx.log.info(
        { worker, ends: ended.length, unknown: unknown.length },
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
