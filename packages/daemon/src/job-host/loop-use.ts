/** Samples for how much of its time the event loop of a host is busy, and logs with what. */
import type { Clock, Millis, Schedule } from '@paddlewind/domain';
import type { Logger } from 'pino';

import { HOST_PARTS, type HostPart, type PartTimes } from './part-times.js';
import type { StageWaits } from './stage-waits.js';

/** Interval between samples. */
export const USE_SAMPLE_INTERVAL_MS: Millis = 250;
/** Number of samples that a log line covers. */
const SAMPLES_PER_LINE = 4;
/** Busy share of the time, in percent, from which a line is logged. */
const LOGGED_PERCENT = 50;
/** Busy share of a sample, in percent, from which the loop counts as saturated. */
const SATURATED_PERCENT = 90;
/** The share below which it no longer does; what was put off then fits beside the rest. */
const RELAXED_PERCENT = 70;

/** Options of the samples. */
export interface LoopUseOptions {
  /** Monotonic. */
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly log: Logger;
  readonly times: PartTimes;
  readonly waits: StageWaits;
  /** Returns for how long the loop has been busy so far. */
  readonly activeMs: () => Millis;
  /** Returns for how long garbage has been collected so far, in any part and in none. */
  readonly garbageMs: () => Millis;
  /** Returns the number of calls to workers, hosts and the log so far. */
  readonly calls: () => number;
  /** Returns the number of turns of the event loop so far; each asks the system for events. */
  readonly turns: () => number;
}

/** Totals at one moment. */
interface Totals {
  readonly at: Millis;
  readonly activeMs: Millis;
  readonly garbageMs: Millis;
  readonly calls: number;
  readonly turns: number;
  readonly parts: ReadonlyMap<HostPart, Millis>;
}

/** The use of the event loop of this process. */
export class LoopUse {
  private saturated = false;
  private lastPercent = 0;
  private sampled: Totals;
  private logged: Totals;
  private unloggedSamples = 0;
  private cancel: (() => void) | undefined;

  /** Creates samples that start with `begin`. */
  constructor(private readonly options: LoopUseOptions) {
    this.sampled = this.totals();
    this.logged = this.sampled;
  }

  /** Whether the loop has had no time to spare lately, so that all that it does is late. */
  get isSaturated(): boolean {
    return this.saturated;
  }

  /** Busy share of the last sample, in percent. */
  get busyPercent(): number {
    return this.lastPercent;
  }

  /** Samples until `stop` is called. */
  begin(): void {
    this.cancel = this.options.schedule(USE_SAMPLE_INTERVAL_MS, () => {
      this.sample();
      this.begin();
    });
  }

  /** Stops sampling. */
  stop(): void {
    this.cancel?.();
  }

  private sample(): void {
    const current = this.totals();
    const limit = this.saturated ? RELAXED_PERCENT : SATURATED_PERCENT;
    this.lastPercent = busyPercent(this.sampled, current);
    this.saturated = this.lastPercent >= limit;
    this.sampled = current;
    this.unloggedSamples += 1;
    if (this.unloggedSamples === SAMPLES_PER_LINE) {
      this.unloggedSamples = 0;
      this.logIfBusy(this.logged, current);
      this.logged = current;
    }
  }

  private totals(): Totals {
    const { clock, times, activeMs, garbageMs, calls, turns } = this.options;
    const parts = new Map(
      HOST_PARTS.map(part => [part, times.totalMs(part)] as const),
    );
    return {
      at: clock(),
      activeMs: activeMs(),
      garbageMs: garbageMs(),
      calls: calls(),
      turns: turns(),
      parts,
    };
  }

  private logIfBusy(before: Totals, current: Totals): void {
    const percent = busyPercent(before, current);
    const waits = this.options.waits.take();
    if (percent < LOGGED_PERCENT) {
      return;
    }
    const parts = HOST_PARTS.map(part => {
      const total = current.parts.get(part) ?? 0;
      return [part, Math.round(total - (before.parts.get(part) ?? 0))] as const;
    });
    this.options.log.info(
      {
        ms: Math.round(current.at - before.at),
        percent: Math.round(percent),
        parts: Object.fromEntries(parts.filter(([, ms]) => ms > 0)),
        garbageMs: Math.round(current.garbageMs - before.garbageMs),
        calls: current.calls - before.calls,
        turns: current.turns - before.turns,
        waits,
      },
      'daemon: the loop is busy',
    );
  }
}

function busyPercent(before: Totals, current: Totals): number {
  const ms = current.at - before.at;
  return ms > 0 ? (100 * (current.activeMs - before.activeMs)) / ms : 0;
}
