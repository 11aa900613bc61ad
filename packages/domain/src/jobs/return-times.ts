/** When callers of refused jobs should return: spread over time, and the earliest refused first. */
import type { Instant, Millis, Random } from '../core/time.js';
import { dropOldest } from './drop-oldest.js';

/** A refusal for which a time to return is needed. */
export interface RefusedCaller {
  readonly job: string;
  readonly queue: string;
  /** Time until the job could be accepted if nothing else were. */
  readonly soonestMs: Millis;
  /** Time in which as much work as that of the job is completed for callers of this host. */
  readonly gapMs: Millis;
  /** Time at which the caller gives up. */
  readonly deadline: Instant;
}

/** Shortest time to return, the unit of the `Retry-After` header. */
const MIN_RETURN_MS: Millis = 1_000;
/** Longest time to return: only absurd estimates of run times need more, and they may be infinite. */
const MAX_RETURN_MS: Millis = 3_600_000;
/** Time that an answer needs before the caller's deadline. */
const DEADLINE_MARGIN_MS: Millis = 300;
/** Longest time to return while the log does not answer: most outages have ended by then. */
const MAX_LOG_RETURN_MS: Millis = 4_000;
/** Largest fraction by which that time is lengthened, so that callers don't return together. */
const MAX_LOG_SPREAD = 0.25;
/** The fractional parts of its successive multiples are spread more evenly than random numbers. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;
/** Makes names differ that have the same characters in another order. */
const HASH_FACTOR = 31;
/** Most jobs whose refusal is remembered. */
const MAX_REMEMBERED_JOBS = 2_000;

/** Assigns times to return. */
export class ReturnTimes {
  /** The last time to return that was assigned in each queue. */
  private readonly slots = new Map<string, Instant>();
  /** Slots of the first refusals of jobs, the oldest refusal first. */
  private readonly slotByJob = new Map<string, Instant>();

  /** Creates slots; `spread` places the first of a wave, so that those of several hosts don't coincide. */
  constructor(private readonly spread: Random = () => 0) {}

  /** Returns after how many milliseconds, a multiple of 1,000, a caller should return. */
  returnMs(caller: RefusedCaller, now: Instant): Millis {
    const ownSlot = this.slotByJob.get(caller.job);
    if (ownSlot === undefined) {
      return this.assignSlot(caller, now);
    }
    // It has waited for its slot and goes before all jobs that were refused later.
    const soonest = now + Math.max(MIN_RETURN_MS, caller.soonestMs);
    const wantedMs = Math.max(ownSlot, soonest) - now;
    return boundedReturnMs(wantedMs, now, caller.deadline);
  }

  /** Forgets a job that was accepted. */
  forget(job: string): void {
    this.slotByJob.delete(job);
  }

  private assignSlot(caller: RefusedCaller, now: Instant): Millis {
    const { job, queue, soonestMs, deadline } = caller;
    const gapMs = Math.min(MAX_RETURN_MS, caller.gapMs);
    const next = (this.slots.get(queue) ?? -Infinity) + gapMs;
    const soonest = now + Math.max(MIN_RETURN_MS, soonestMs);
    const slot = next >= soonest ? next : soonest + gapMs * this.spread();
    const returnMs = boundedReturnMs(slot - now, now, deadline);
    // A slot that the caller can't wait for is left to the next one.
    if (now + returnMs >= slot) {
      this.slots.set(queue, slot);
    }
    this.slotByJob.set(job, Math.min(slot, now + returnMs));
    dropOldest(this.slotByJob, MAX_REMEMBERED_JOBS);
    return returnMs;
  }
}

/** Returns a time in whole seconds that leaves the caller time for an answer, where at least 1 s is left. */
export function boundedReturnMs(
  wantedMs: Millis,
  now: Instant,
  deadline: Instant,
): Millis {
  const wholeMs = Math.min(MAX_RETURN_MS, toWholeSeconds(wantedMs, Math.ceil));
  const leftMs = deadline - DEADLINE_MARGIN_MS - now;
  return leftMs < MIN_RETURN_MS
    ? wholeMs
    : Math.min(wholeMs, toWholeSeconds(leftMs, Math.floor));
}

/** Returns when a caller should return if the log has not answered for `awayMs`. */
export function logReturnMs(
  awayMs: Millis,
  random: Random,
  now: Instant,
  deadline: Instant,
): Millis {
  const atLeast = Math.max(MIN_RETURN_MS, awayMs);
  const baseMs = Math.min(MAX_LOG_RETURN_MS, atLeast);
  const spreadMs = baseMs * (1 + MAX_LOG_SPREAD * random());
  const wholeMs = toWholeSeconds(spreadMs, Math.round);
  return boundedReturnMs(wholeMs, now, deadline);
}

/** Returns a source of numbers in [0, 1) that are evenly spread, starting at a point that `name` decides. */
export function evenSpread(name: string): Random {
  let next = 0;
  for (const character of name) {
    next = (HASH_FACTOR * next + character.charCodeAt(0) * GOLDEN_RATIO) % 1;
  }
  return () => {
    next = (next + GOLDEN_RATIO) % 1;
    return next;
  };
}

function toWholeSeconds(ms: Millis, round: (s: number) => number): Millis {
  return MIN_RETURN_MS * Math.max(1, round(ms / MIN_RETURN_MS));
}
