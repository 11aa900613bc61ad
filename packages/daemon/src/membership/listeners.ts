/** Lists of listeners. */
import type { Stop } from '../parts.js';

/** Listeners that are called with `A`. */
export interface Listeners<A extends unknown[]> {
  add(listener: (...args: A) => void): Stop;
  call(...args: A): void;
}

/** Starts with no listener. */
export function createListeners<A extends unknown[] = []>(): Listeners<A> {
  const listeners = new Set<(...args: A) => void>();
  return {
    add(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    call(...args) {
      for (const listener of [...listeners]) {
        listener(...args);
      }
    },
  };
}
