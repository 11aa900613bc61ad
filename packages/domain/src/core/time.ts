/** Instants and clocks; the domain reads no clock of its own. */

/** Milliseconds on a clock named by the holder: monotonic for leases and requests, wall for display. */
export type Instant = number;

/** A span in milliseconds; settings hold spans, state holds only instants. */
export type Millis = number;

/** Reads the current instant. */
export type Clock = () => Instant;

/** Returns a uniformly distributed number in [0, 1). */
export type Random = () => number;

/** Runs `task` once after `delay`; the returned function cancels it. */
export type Schedule = (delay: Millis, task: () => void) => () => void;

/** A span of which only bounds are known. */
export interface SpanBounds {
  readonly from: Millis;
  /** Infinite where it may be of any length. */
  readonly to: Millis;
}

/** Bounds of a span of which nothing is known. */
export const UNKNOWN_SPAN: SpanBounds = { from: 0, to: Infinity };
