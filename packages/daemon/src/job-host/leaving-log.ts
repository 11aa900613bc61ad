/** Logs which long-running tasks remain on workers that are about to leave, and why. */
import type { Run, NotMovedReason } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';

/** Numbers of long-running tasks on one worker, by the reason why they remain there. */
type ReasonCounts = Partial<Record<NotMovedReason, number>>;

/** Logs a line for each worker whose numbers have changed, which limits the lines to a few per task. */
export class LeavingLog {
  private lastLogged = new Map<string, string>();

  /** Creates a log without previous lines. */
  constructor(private readonly log: HostContext['log']) {}

  /** Logs the tasks that remain after a planning round. */
  logChanges(remaining: ReadonlyMap<Run, NotMovedReason>): void {
    const logged = new Map<string, string>();
    for (const [worker, why] of countByWorker(remaining)) {
      const text = JSON.stringify(why);
      logged.set(worker, text);
      if (this.lastLogged.get(worker) !== text) {
        this.log.info(
          { worker, why },
          'leader: tasks stay on a worker that leaves',
        );
      }
    }
    this.lastLogged = logged;
  }
}

function countByWorker(
  remaining: ReadonlyMap<Run, NotMovedReason>,
): Map<string, ReasonCounts> {
  const found = new Map<string, ReasonCounts>();
  for (const [{ worker }, reason] of remaining) {
    const counts = found.get(worker) ?? {};
    counts[reason] = (counts[reason] ?? 0) + 1;
    found.set(worker, counts);
  }
  return found;
}
