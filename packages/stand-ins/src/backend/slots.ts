/** The slots of a backend server: a first-in, first-out semaphore that remembers its peaks. */

/** Slots that requests take in order of arrival. */
export interface Slots {
  /** Resolves to the function that gives the slot back. */
  take(): Promise<() => void>;
  peaks(): { readonly mostInUse: number; readonly mostWaiting: number };
}

/** Creates `count` free slots. */
export function createSlots(count: number): Slots {
  const waiting: (() => void)[] = [];
  let inUse = 0;
  let mostInUse = 0;
  let mostWaiting = 0;

  function release(): void {
    const next = waiting.shift();
    if (next === undefined) {
      inUse -= 1;
    } else {
      next();
    }
  }

  return {
    async take() {
      if (inUse < count) {
        inUse += 1;
        mostInUse = Math.max(mostInUse, inUse);
        return release;
      }
      await new Promise<void>(resolve => {
        waiting.push(resolve);
        mostWaiting = Math.max(mostWaiting, waiting.length);
      });
      return release;
    },
    peaks: () => ({ mostInUse, mostWaiting }),
  };
}
