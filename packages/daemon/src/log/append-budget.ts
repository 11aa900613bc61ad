/** The budget of appends a second that the streams of this process share. */
import type { Clock, Millis, Schedule } from '@paddlewind/domain';

import type { Stop } from '../parts.js';
import { CLASS_WEIGHTS, type AppendClass } from './priority.js';

/** Bounds of the budget, in appends a second. */
export interface AppendBudgetLimits {
  readonly maxPerSecond: number;
  readonly minPerSecond: number;
}

/** Grants appends in the order of weighted fair queueing; leases go first. */
export interface AppendBudget {
  /** Runs `start` in a later turn, once the stream may append; the returned function withdraws. */
  request(stream: string, priority: AppendClass, start: () => void): Stop;
  /** Tells that the log refused an append as over its rate. */
  refused(): void;
  /** Present budget in appends a second. */
  perSecond(): number;
  stop: Stop;
}

interface Waiting {
  readonly stream: string;
  readonly priority: AppendClass;
  readonly start: () => void;
  readonly tag: number;
}

const BURST_MS = 100;
const CUT = 0.7;
const CUT_INTERVAL_MS = 500;
const GROWTH_PER_SECOND = 0.05;

/** Creates a budget that begins at its maximum and adapts to refusals of the log. */
export function createAppendBudget(
  clock: Clock,
  schedule: Schedule,
  limits: AppendBudgetLimits,
): AppendBudget {
  const waiting = new Set<Waiting>();
  const lastTags = new Map<string, number>();
  let virtual = 0;
  let rate = limits.maxPerSecond;
  let tokens = burstOf(rate);
  let filledAt = clock();
  let cutAt = -Infinity;
  let cancelTimer: Stop | undefined;

  function refill(): void {
    const now = clock();
    const seconds = (now - filledAt) / 1_000;
    filledAt = now;
    rate = Math.min(
      limits.maxPerSecond,
      rate + seconds * GROWTH_PER_SECOND * limits.maxPerSecond,
    );
    tokens = Math.min(burstOf(rate), tokens + seconds * rate);
  }

  function request(
    stream: string,
    priority: AppendClass,
    start: () => void,
  ): Stop {
    const earliest = Math.max(virtual, lastTags.get(stream) ?? 0);
    const tag = earliest + 1 / CLASS_WEIGHTS[priority];
    lastTags.set(stream, tag);
    const entry = { stream, priority, start, tag };
    waiting.add(entry);
    queueMicrotask(grant);
    return () => void waiting.delete(entry);
  }

  function grant(): void {
    refill();
    while (tokens >= 1) {
      const next = firstOf(waiting);
      if (next === undefined) {
        return;
      }
      waiting.delete(next);
      tokens--;
      virtual = Math.max(virtual, next.tag);
      next.start();
    }
    grantLater();
  }

  function grantLater(): void {
    if (waiting.size === 0 || cancelTimer !== undefined) {
      return;
    }
    const wait: Millis = Math.ceil(((1 - tokens) / rate) * 1_000);
    cancelTimer = schedule(Math.max(1, wait), () => {
      cancelTimer = undefined;
      grant();
    });
  }

  function refused(): void {
    refill();
    tokens = Math.min(tokens, 0);
    if (clock() - cutAt < CUT_INTERVAL_MS) {
      return;
    }
    cutAt = clock();
    rate = Math.max(limits.minPerSecond, rate * CUT);
  }

  return {
    request,
    refused,
    perSecond: () => rate,
    stop: () => {
      cancelTimer?.();
      waiting.clear();
    },
  };
}

function burstOf(rate: number): number {
  return Math.max(1, (rate * BURST_MS) / 1_000);
}

function firstOf(waiting: ReadonlySet<Waiting>): Waiting | undefined {
  let best: Waiting | undefined;
  for (const entry of waiting) {
    if (best === undefined || goesBefore(entry, best)) {
      best = entry;
    }
  }
  return best;
}

function goesBefore(a: Waiting, b: Waiting): boolean {
  const aLease = a.priority === 'leases';
  const bLease = b.priority === 'leases';
  return aLease === bLease ? a.tag < b.tag : aLease;
}
