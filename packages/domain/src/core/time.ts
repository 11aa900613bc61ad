/** Types of instants, clocks and timers; the domain never reads a clock itself. */

/** Milliseconds on the owner's clock: monotonic for leases and requests, wall clock for display. */
export type Instant = number;

/** Duration in milliseconds; settings hold durations, state holds only instants. */
export type Millis = number;

/** Returns the current instant. */
export type Clock = () => Instant;

/** Returns a uniformly distributed number in [0, 1). */
export type Random = () => number;

/** Runs `task` once after `delay`; the returned function cancels it. */
export type Schedule = (delay: Millis, task: () => void) => () => void;

/** Bounds of a duration that is not known exactly. */
export interface SpanBounds {
  readonly from: Millis;
  /** Infinity if there is no upper bound. */
  readonly to: Millis;
}

/** Bounds of an unknown duration. */
export const UNKNOWN_SPAN: SpanBounds = { from: 0, to: Infinity };
