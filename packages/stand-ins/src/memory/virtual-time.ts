/** A clock and timers that move only when told to, for tests and compressed benchmarks. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import type { Clock, Millis, Schedule } from '@paddlewind/domain';

/** Time under the control of a test. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly schedule: Schedule;
  /** Moves on by `span`, running due timers in order and letting promises settle in between. */
  advance(span: Millis): Promise<void>;
  /** Moves on, timer by timer, until `done` holds; throws after `limit` milliseconds. */
  until(done: () => boolean, limit?: Millis): Promise<void>;
}

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly task: () => void;
}

const DEFAULT_LIMIT = 24 * 3_600_000;
const SETTLE_TURNS = 3;

/** Creates a virtual time that starts at `start` milliseconds. */
export function createVirtualTime(start: Millis = 1_000): VirtualTime {
  let now = start;
  let order = 0;
  const timers = new Set<Timer>();

  function schedule(delay: Millis, task: () => void): () => void {
    const timer = { at: now + Math.max(0, delay), order: order++, task };
    timers.add(timer);
    return () => void timers.delete(timer);
  }

  function nextTimer(): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of timers) {
      if (first === undefined || isBefore(timer, first)) {
        first = timer;
      }
    }
    return first;
  }

  async function runNext(limit: number): Promise<boolean> {
    const timer = nextTimer();
    if (timer === undefined || timer.at > limit) {
      return false;
    }
    timers.delete(timer);
    now = Math.max(now, timer.at);
    timer.task();
    await settle();
    return true;
  }

  async function advance(span: Millis): Promise<void> {
    const end = now + span;
    await settle();
    while (await runNext(end)) {
      // Each turn runs one timer.
    }
    now = end;
  }

  async function until(
    done: () => boolean,
    limit: Millis = DEFAULT_LIMIT,
  ): Promise<void> {
    const end = now + limit;
    await settle();
    while (!done()) {
      if (!(await runNext(end))) {
        throw new Error(`not done after ${limit} virtual ms`);
      }
    }
  }

  return { clock: () => now, schedule, advance, until };
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

async function settle(): Promise<void> {
  for (let i = 0; i < SETTLE_TURNS; i++) {
    await nextTurn();
  }
}
