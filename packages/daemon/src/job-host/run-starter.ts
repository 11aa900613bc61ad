/** Records the starts that a planning round decides on, and sends each once it is recorded. */
import type { Instant } from '@paddlewind/domain';
import {
  refOf,
  type JournalRecord,
  type Run,
  type StartDecision,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { logRun } from './leader-log.js';
import type { WonClaim } from './leadership.js';
import type { RunRecorder } from './run-recorder.js';
import type { StartWindow } from './start-window.js';
import type { WorkerLink } from './worker-link.js';

/** Dependencies of a starter. */
export interface RunStarterOptions {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
  readonly decisions: DecisionLog;
  readonly runs: RunRecorder;
  readonly startWindow: StartWindow;
  readonly linkTo: (worker: string) => WorkerLink | undefined;
}

/** Starts the runs of one leader. */
export class RunStarter {
  /** Creates a starter. */
  constructor(private readonly options: RunStarterOptions) {}

  /** Applies a decision, and sends the start order once the decision is recorded. */
  readonly start = ({ task, run: number, worker }: StartDecision): void => {
    const { ctx, decisions, startWindow } = this.options;
    const entry: JournalRecord = {
      kind: 'start',
      task: refOf(task),
      run: number,
      worker,
    };
    const decidedAt = ctx.clock();
    const findRun = (): Run | undefined =>
      task.runs.find(open => open.number === number);
    decisions.record(entry, written => {
      const run = findRun();
      if (written && run !== undefined) {
        this.send(run, decidedAt);
      }
    });
    const decided = findRun();
    if (decided !== undefined) {
      startWindow.add(decided);
    }
  };

  /** Sends the start order for a recorded run. */
  private send(run: Run, decidedAt: Instant): void {
    const link = this.options.linkTo(run.worker);
    if (link === undefined) {
      this.options.runs.recordEnd(run, 'void', '');
    } else {
      logRun(this.options, run, 'leader: a run is ordered', {
        resumes: run.task.checkpoint,
        version: link.info.version,
      });
      link.start(run, decidedAt);
    }
  }
}
