/** Lists of listeners. */
import type { Stop } from '../parts.js';

/** Listeners that are called with `Args` and answer with `Answer`. */
export interface Listeners<Args extends unknown[], Answer = void> {
  add(listener: (...args: Args) => Answer): Stop;
  /** Calls every listener in the order of adding and returns their answers. */
  tell(...args: Args): Answer[];
}

/** Creates an empty list. */
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
    tell: (...args) => [...listeners].map(listener => listener(...args)),
  };
}
