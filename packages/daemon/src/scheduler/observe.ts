/** Takes what agents report of running attempts into the schedule. */
import {
  observeAttempts,
  type Instant,
  type Observation,
  type ShardSchedule,
} from '@paddlewind/domain';
import type { WorkerReport } from '@paddlewind/ports';

/** Notes use and progress of the running attempts in a report, read at the wall-clock instant `wall`. */
export function observeReport(
  schedule: ShardSchedule,
  report: WorkerReport,
  wall: Instant,
): void {
  const load = schedule.workers.get(report.worker);
  if (load === undefined) {
    return;
  }
  const seen = report.attempts
    .filter(attempt => attempt.state === 'running')
    .map(({ task, usage, progress }): [string, Observation] => {
      const before = load.observed.get(task);
      const rose = before === undefined || progress > before.progress;
      const savedAtWall = rose ? wall : before.savedAtWall;
      return [task, { usage, progress, savedAtWall }];
    });
  observeAttempts(load, seen);
}
