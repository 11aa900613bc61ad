/**
 * Samples how late timers of the process fire, and tells when its loop was held up. Node's own monitor
 * of the loop costs less, but drops the sample after each reset, and only shows the longest without.
 */
import type { Clock, Millis, Schedule } from '@paddlewind/domain';
import type { Logger } from 'pino';

/** Time between samples, in milliseconds: the leader plans as often without an event. */
export const LOOP_SAMPLE_EVERY_MS: Millis = 250;
/** Delay over which a line is written, in milliseconds: a fifth of the age at which the inbox is stale. */
export const LOOP_HELD_UP_MS: Millis = 500;
/** Shortest time between two lines, in milliseconds. */
const TELL_EVERY_MS: Millis = 1_000;

/** What the watch on the loop is given. */
export interface LoopWatch {
  /** Monotonic. */
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly log: Logger;
  /** Takes each sample: how late the timer fired. */
  readonly delayed: (delay: Millis) => void;
}

/** Schedules by a timer that doesn't keep the process alive. */
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
 * Samples until the returned function is called. A loop that was held up for some time is seen as late
 * by that time or by up to `LOOP_SAMPLE_EVERY_MS` less.
 */
export function monitorEventLoop(watch: LoopWatch): () => void {
  const { clock, schedule, log, delayed } = watch;
  let toldAt = -Infinity;
  let untold = 0;
  let cancel = sample();

  function sample(): () => void {
    const dueAt = clock() + LOOP_SAMPLE_EVERY_MS;
    return schedule(LOOP_SAMPLE_EVERY_MS, () => {
      const now = clock();
      const delay = Math.max(0, now - dueAt);
      delayed(delay);
      if (delay > LOOP_HELD_UP_MS) {
        tell(delay, now);
      }
      cancel = sample();
    });
  }

  function tell(delayMs: Millis, now: number): void {
    if (now - toldAt < TELL_EVERY_MS) {
      untold += 1;
      return;
    }
    log.warn({ delayMs, untold }, 'daemon: the loop was held up');
    toldAt = now;
    untold = 0;
  }

  return () => {
    cancel();
  };
}
