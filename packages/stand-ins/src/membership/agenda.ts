/** Events in order of time, for fakes with an own clock. */
import type { Instant } from '@paddlewind/domain';

/** Events in whole milliseconds; those of one instant in order of rank, then of entry. */
export interface Agenda {
  add(at: Instant, rank: number, run: () => void): void;
  /** Runs what is due at `at`, with what that adds for the same instant. */
  run(at: Instant): void;
}

/** Starts without events. */
export function createAgenda(): Agenda {
  const events = new Map<Instant, { rank: number; run: () => void }[]>();
  return {
    add(at: Instant, rank: number, run: () => void): void {
      const slot = events.get(at) ?? [];
      slot.push({ rank, run });
      events.set(at, slot);
    },
    run(at: Instant): void {
      for (let slot = events.get(at); slot?.length; slot = events.get(at)) {
        slot.sort((a, b) => a.rank - b.rank);
        slot.shift()?.run();
      }
      events.delete(at);
    },
  };
}
