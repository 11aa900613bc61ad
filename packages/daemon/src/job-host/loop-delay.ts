/**
 * Samples the delay of the event loop and logs when it was blocked. Node's own event-loop monitor
 * costs less, but drops the sample after each reset, and without resets shows only the maximum.
 */
import type { Clock, Millis, Schedule } from '@paddlewind/domain';
import type { Logger } from 'pino';

/** Time between samples: as often as the leader plans when there is no event. */
export const LOOP_SAMPLE_INTERVAL_MS: Millis = 250;
/** Delay above which a warning is logged: a fifth of the age at which the inbox counts as stale. */
export const LOOP_DELAY_WARNING_MS: Millis = 500;
/** Shortest time between two warnings. */
const WARNING_INTERVAL_MS: Millis = 1_000;

/** Options of the event-loop monitor. */
export interface LoopMonitorOptions {
  /** Monotonic. */
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly log: Logger;
  /** Called with each sample: how late the timer fired. */
  readonly onSample: (delay: Millis) => void;
}

/** Schedules `task` with a timer that doesn't keep the process alive. */
export function scheduleInBackground(
  delay: Millis,
  task: () => void,
): () => void {
  const timer = setTimeout(task, delay).unref();
  return () => {
    clearTimeout(timer);
  };
}

/**
 * Samples until the returned function is called. The delay that a sample shows may be shorter than
 * the time for which the loop was blocked, by at most `LOOP_SAMPLE_INTERVAL_MS`.
 */
export function monitorEventLoop(options: LoopMonitorOptions): () => void {
  const { clock, schedule, log, onSample } = options;
  let warnedAt = -Infinity;
  let suppressed = 0;
  let cancel = scheduleSample();

  function scheduleSample(): () => void {
    const dueAt = clock() + LOOP_SAMPLE_INTERVAL_MS;
    return schedule(LOOP_SAMPLE_INTERVAL_MS, () => {
      const now = clock();
      const delay = Math.max(0, now - dueAt);
      onSample(delay);
      if (delay > LOOP_DELAY_WARNING_MS) {
        warn(delay, now);
      }
      cancel = scheduleSample();
    });
  }

  function warn(delayMs: Millis, now: number): void {
    if (now - warnedAt < WARNING_INTERVAL_MS) {
      suppressed += 1;
      return;
    }
    log.warn({ delayMs, untold: suppressed }, 'daemon: the loop was held up');
    warnedAt = now;
    suppressed = 0;
  }

  return () => {
    cancel();
  };
}
