/** Compares each report of a worker with the one before: what a worker should never leave out. */
import type { Run } from '@paddlewind/domain/jobs';
import type { PollResult } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';

type Report = Extract<PollResult, { kind: 'seen' }>;

/** The reports of one incarnation of a worker. */
export class ReportTrail {
  /** Highest position of an end that was listed; undefined before the first report. */
  private lastPosition: number | undefined;
  /** Runs that were listed as at work, and are open. */
  private seen = new Set<string>();

  /** Creates the trail of a worker that has not reported; a new one has listed no end to anybody. */
  constructor(
    private readonly ctx: HostContext,
    private readonly worker: string,
    isNew: boolean,
  ) {
    this.lastPosition = isNew ? 0 : undefined;
  }

  /** Takes in a report; `listed` has the keys of all runs that it names, `open` the open runs there. */
  note(
    report: Report,
    listed: ReadonlySet<string>,
    open: ReadonlyMap<string, Run>,
  ): void {
    this.notePositions(report);
    for (const run of this.seen) {
      if (open.has(run) && !listed.has(run)) {
        const { worker } = this;
        this.ctx.meters.runMissing();
        this.ctx.log.warn(
          { worker, run },
          'worker: a run that was at work is no longer listed',
        );
      }
    }
    this.seen = new Set([...listed].filter(run => open.has(run)));
  }

  /** Positions rise by one: what is left out was acknowledged before it was listed here. */
  private notePositions({ ended }: Report): void {
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
