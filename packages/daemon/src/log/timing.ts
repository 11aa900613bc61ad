/** Timers, waits and backoff of the parts that use the log. */
import type { Millis, Random, Schedule } from '@paddlewind/domain';

import type { PartContext, Stop } from '../parts.js';

/** Longest delay of a timer of Node.js; a longer one would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Schedules by the timers of Node.js; a delay beyond 24 days fires after 24 days. */
export function scheduleByTimeout(delay: Millis, task: () => void): Stop {
  const timer = setTimeout(task, Math.min(delay, MAX_TIMER_MS));
  return () => {
    clearTimeout(timer);
  };
}

/** Returns the timers of a part. */
export function scheduleOf(ctx: Pick<PartContext, 'schedule'>): Schedule {
  return ctx.schedule ?? scheduleByTimeout;
}

/** Waits for `span`, or until `signal` is aborted. */
export function sleep(
  schedule: Schedule,
  span: Millis,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const wake = (): void => {
      cancel();
      signal?.removeEventListener('abort', wake);
      resolve();
    };
    const cancel = schedule(span, wake);
    signal?.addEventListener('abort', wake);
  });
}

/** Waits that others may end early. */
export interface Pause {
  /** Waits for `span`, or until `wake` is called or `signal` is aborted. */
  wait(span: Millis, signal: AbortSignal): Promise<void>;
  /** Ends the present wait. */
  wake(): void;
}

/** Creates a pause with nobody waiting. */
export function createPause(schedule: Schedule): Pause {
  let end: () => void = () => undefined;

  async function wait(span: Millis, signal: AbortSignal): Promise<void> {
    const waiting = new AbortController();
    end = () => {
      waiting.abort();
    };
    signal.addEventListener('abort', end);
    await sleep(schedule, signal.aborted ? 0 : span, waiting.signal);
    signal.removeEventListener('abort', end);
  }

  return {
    wait,
    wake: () => {
      end();
    },
  };
}

const BACKOFF_FIRST_MS = 50;
const BACKOFF_MAX_MS = 2_000;

/** Returns the jittered wait before retry number `failures` (1 is the first). */
export function backoffMs(failures: number, random: Random): Millis {
  const ceiling = Math.min(
    BACKOFF_MAX_MS,
    BACKOFF_FIRST_MS * 2 ** Math.min(failures - 1, 16),
  );
  return ceiling / 2 + (ceiling / 2) * random();
}
