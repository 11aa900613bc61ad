/** Typed event listeners. */
import type { Stop } from '../parts.js';

/** Listeners that are called with `Args` and return `Answer`. */
export interface Listeners<Args extends unknown[], Answer = void> {
  /** Adds a listener; the returned function removes it. */
  add(listener: (...args: Args) => Answer): Stop;
  /** Calls every listener in the order in which they were added and returns their results. */
  emit(...args: Args): Answer[];
}

/** Creates an empty list of listeners. */
export function createListeners<
  Args extends unknown[],
  Answer = void,
>(): Listeners<Args, Answer> {
  const listeners = new Set<(...args: Args) => Answer>();
  return {
    add(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    emit: (...args) => [...listeners].map(listener => listener(...args)),
  };
}
