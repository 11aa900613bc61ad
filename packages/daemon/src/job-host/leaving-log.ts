/** Tells which lasting tasks are still on workers that are about to leave, and why. */
import type { Run, StayReason } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';

/** Numbers of lasting tasks on one worker by why they are still there. */
type Counts = Partial<Record<StayReason, number>>;

/** Writes a line for each worker whose numbers have changed: at most some lines for each task there. */
export class LeavingLog {
  private told = new Map<string, string>();

  /** Creates a log that has told nothing. */
  constructor(private readonly log: HostContext['log']) {}

  /** Tells of the tasks that are still there after a round. */
  tell(stay: ReadonlyMap<Run, StayReason>): void {
    const told = new Map<string, string>();
    for (const [worker, why] of countByWorker(stay)) {
      const text = JSON.stringify(why);
      told.set(worker, text);
      if (this.told.get(worker) !== text) {
        this.log.info(
          { worker, why },
          'leader: tasks stay on a worker that leaves',
        );
      }
    }
    this.told = told;
  }
}

function countByWorker(
  stay: ReadonlyMap<Run, StayReason>,
): Map<string, Counts> {
  const found = new Map<string, Counts>();
  for (const [{ worker }, reason] of stay) {
    const counts = found.get(worker) ?? {};
    counts[reason] = (counts[reason] ?? 0) + 1;
    found.set(worker, counts);
  }
  return found;
}
