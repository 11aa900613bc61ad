/** Progress of a simulated task at a speed that throttling sets. */

/** Least speed of a throttled task. */
const MIN_SHARE = 0.01;

/** Progress from 0 to 1. */
export interface Progress {
  value(): number;
  share(): number;
  /** Sets the share of full speed, 0 to 1. */
  setShare(share: number): void;
  /** Time until done at this speed, in milliseconds. */
  leftMs(): number;
  /** Counts no further. */
  halt(): void;
}

/** Starts counting at `initial`; `runMs` is the time of the whole at full speed. */
export function startProgress(initial: number, runMs: () => number): Progress {
  let done = initial;
  let share = 1;
  let halted = false;
  let countedAt = performance.now();

  function speed(): number {
    return share / Math.max(1, runMs());
  }

  function value(): number {
    const now = performance.now();
    if (!halted) {
      done = Math.min(1, done + (now - countedAt) * speed());
    }
    countedAt = now;
    return done;
  }

  return {
    value,
    share: () => share,
    setShare(next) {
      value();
      share = Math.max(MIN_SHARE, Math.min(1, next));
    },
    leftMs: () => (1 - value()) / speed(),
    halt() {
      value();
      halted = true;
    },
  };
}
