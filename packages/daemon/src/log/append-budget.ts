/** Limits the appends per second over all streams of this process. */
import type { Clock, Millis, Schedule } from '@paddlewind/domain';

import type { Stop } from '../parts.js';
import { CLASS_WEIGHTS, type AppendClass } from './priority.js';

/** Bounds of the budget, in appends per second. */
export interface AppendBudgetLimits {
  readonly maxPerSecond: number;
  readonly minPerSecond: number;
}

/** Grants appends by weighted fair queueing; leases always go first. */
export interface AppendBudget {
  /** Calls `onGranted` in a later turn, once `stream` may append; the returned function withdraws. */
  request(
    stream: string,
    appendClass: AppendClass,
    onGranted: () => void,
  ): Stop;
  /** Lowers the budget after the log refused an append because of its rate. */
  onRefused(): void;
  /** Current budget in appends per second. */
  perSecond(): number;
  stop: Stop;
}

interface WaitingAppend {
  readonly stream: string;
  readonly appendClass: AppendClass;
  readonly onGranted: () => void;
  /** Virtual finish time of the append in weighted fair queueing. */
  readonly finishTag: number;
}

/** Time for which unused budget accumulates. */
const BURST_MS = 100;
const RATE_CUT_FACTOR = 0.7;
const MIN_CUT_INTERVAL_MS = 500;
/** Growth of the budget per second, as a share of its maximum. */
const GROWTH_SHARE_PER_SECOND = 0.05;

/** Creates a budget that starts at its maximum, is cut when the log refuses and recovers slowly. */
export function createAppendBudget(
  clock: Clock,
  schedule: Schedule,
  limits: AppendBudgetLimits,
): AppendBudget {
  const waiting = new Set<WaitingAppend>();
  const lastTagByStream = new Map<string, number>();
  let virtualTime = 0;
  let rate = limits.maxPerSecond;
  let tokens = burstOf(rate);
  let refilledAt = clock();
  let lastCutAt = -Infinity;
  let cancelTimer: Stop | undefined;

  function refill(): void {
    const now = clock();
    const seconds = (now - refilledAt) / 1_000;
    refilledAt = now;
    rate = Math.min(
      limits.maxPerSecond,
      rate + seconds * GROWTH_SHARE_PER_SECOND * limits.maxPerSecond,
    );
    tokens = Math.min(burstOf(rate), tokens + seconds * rate);
  }

  function request(
    stream: string,
    appendClass: AppendClass,
    onGranted: () => void,
  ): Stop {
    const earliest = Math.max(virtualTime, lastTagByStream.get(stream) ?? 0);
    const finishTag = earliest + 1 / CLASS_WEIGHTS[appendClass];
    lastTagByStream.set(stream, finishTag);
    const entry = { stream, appendClass, onGranted, finishTag };
    waiting.add(entry);
    queueMicrotask(grant);
    return () => void waiting.delete(entry);
  }

  function grant(): void {
    refill();
    while (tokens >= 1) {
      const next = selectNext(waiting);
      if (next === undefined) {
        return;
      }
      waiting.delete(next);
      tokens--;
      virtualTime = Math.max(virtualTime, next.finishTag);
      next.onGranted();
    }
    scheduleGrant();
  }

  function scheduleGrant(): void {
    if (waiting.size === 0 || cancelTimer !== undefined) {
      return;
    }
    const wait: Millis = Math.ceil(((1 - tokens) / rate) * 1_000);
    cancelTimer = schedule(Math.max(1, wait), () => {
      cancelTimer = undefined;
      grant();
    });
  }

  function onRefused(): void {
    refill();
    tokens = Math.min(tokens, 0);
    if (clock() - lastCutAt < MIN_CUT_INTERVAL_MS) {
      return;
    }
    lastCutAt = clock();
    rate = Math.max(limits.minPerSecond, rate * RATE_CUT_FACTOR);
  }

  return {
    request,
    onRefused,
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

function selectNext(
  waiting: ReadonlySet<WaitingAppend>,
): WaitingAppend | undefined {
  let best: WaitingAppend | undefined;
  for (const entry of waiting) {
    if (best === undefined || precedes(entry, best)) {
      best = entry;
    }
  }
  return best;
}

function precedes(a: WaitingAppend, b: WaitingAppend): boolean {
  const aLease = a.appendClass === 'leases';
  const bLease = b.appendClass === 'leases';
  return aLease === bLease ? a.finishTag < b.finishTag : aLease;
}
