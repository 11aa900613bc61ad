/** Adds up the time that the garbage collector of this process takes. */
import { PerformanceObserver } from 'node:perf_hooks';

import type { Millis } from '@paddlewind/domain';

/** Time of collections, observed from the creation of this object on. */
export class GarbageTime {
  private sumMs: Millis = 0;

  /** Starts to observe the collector. */
  constructor() {
    new PerformanceObserver(list => {
      for (const { duration } of list.getEntries()) {
        this.sumMs += duration;
      }
    }).observe({ entryTypes: ['gc'] });
  }

  /** Time so far; collections of the current turn of the event loop are not in it yet. */
  get totalMs(): Millis {
    return this.sumMs;
  }
}
