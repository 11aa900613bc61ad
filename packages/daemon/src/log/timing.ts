/** Timers, waits and retry backoff for components that use the log. */
import type { Millis, Random, Schedule } from '@paddlewind/domain';

import type { PartContext, Stop } from '../parts.js';

/** Longest delay of a Node.js timer; a longer one would fire immediately. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Schedules `task` with a Node.js timer; delays longer than 24 days fire after 24 days. */
export function scheduleByTimeout(delay: Millis, task: () => void): Stop {
  const timer = setTimeout(task, Math.min(delay, MAX_TIMER_MS));
  return () => {
    clearTimeout(timer);
  };
}

/** Returns the timers of `ctx`, or those of Node.js if it has none. */
export function scheduleOf(ctx: Pick<PartContext, 'schedule'>): Schedule {
  return ctx.schedule ?? scheduleByTimeout;
}

/** Waits for `delay`, or until `signal` is aborted if that is earlier. */
export function sleep(
  schedule: Schedule,
  delay: Millis,
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
    const cancel = schedule(delay, wake);
    signal?.addEventListener('abort', wake);
  });
}

/** Wait that can be ended early. */
export interface InterruptibleWait {
  /** Waits for `delay`, or until `wake` is called or `signal` is aborted. */
  wait(delay: Millis, signal: AbortSignal): Promise<void>;
  /** Ends the current wait, if any. */
  wake(): void;
}

/** Creates an interruptible wait; it supports one caller at a time. */
export function createInterruptibleWait(schedule: Schedule): InterruptibleWait {
  let endWait: () => void = () => undefined;

  async function wait(delay: Millis, signal: AbortSignal): Promise<void> {
    const controller = new AbortController();
    endWait = () => {
      controller.abort();
    };
    signal.addEventListener('abort', endWait);
    await sleep(schedule, signal.aborted ? 0 : delay, controller.signal);
    signal.removeEventListener('abort', endWait);
  }

  return {
    wait,
    wake: () => {
      endWait();
    },
  };
}

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** Returns the jittered delay before the retry after `failures` consecutive failures (at least 1). */
export function backoffMs(failures: number, random: Random): Millis {
  const ceiling = Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** Math.min(failures - 1, 16),
  );
  return ceiling / 2 + (ceiling / 2) * random();
}
