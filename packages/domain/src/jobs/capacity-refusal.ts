/** Refusal of jobs that would end too late to be of any value, by the leader's forecast of capacity. */
import type { Instant, Millis } from '../core/time.js';
import { MAX_LATE_FACTOR } from './objective.js';
import {
  fastestRateOf,
  capacityKindOf,
  FORECAST_VALID_MS,
  type CapacityRow,
} from './capacity-rows.js';
import { losesByWaiting, type JobSpec } from './spec.js';
import { estimatedObjectiveOf, estimatedPathOf } from './start-delay.js';

/** Rows of the forecast, and the monotonic time from which they refuse nothing. */
export interface CapacityLimits {
  readonly rooms: readonly CapacityRow[];
  readonly roomsUntil: Instant;
}

/** The forecast by which a job is refused. */
export interface AppliedForecast extends CapacityRow {
  /** Time since this host has read it, or since the latest time at which it may have been written. */
  readonly ageMs: Millis;
  /** Core-milliseconds that this host has added, for all hosts. */
  readonly added: number;
  /** Time until backlog and added work are served at the fastest rate. */
  readonly waitMs: Millis;
}

/** A refusal of a job that would end after it has lost all value. */
export interface CapacityRefusal {
  readonly why: 'no_room';
  /** Time until the backlog will have shrunk enough. */
  readonly retryAfterMs: Millis;
  readonly forecast: AppliedForecast;
}

/** Returns what this host has accepted before a job since the forecast, in core-milliseconds. */
export type AcceptedBefore = (row: CapacityRow, priority: number) => number;

const MS_PER_S = 1_000;

/** Returns the refusal of a job by the kind of capacity for which it would wait the longest. */
export function capacityRefusalOf(
  job: JobSpec,
  { rooms, roomsUntil }: CapacityLimits,
  now: Instant,
  acceptedBefore: AcceptedBefore = () => 0,
): CapacityRefusal | undefined {
  if (rooms.length === 0 || now >= roomsUntil || !losesByWaiting(job)) {
    return undefined;
  }
  const { priority } = job.terms;
  const allowedMs =
    MAX_LATE_FACTOR * estimatedObjectiveOf(job) - estimatedPathOf(job);
  const ageMs = Math.round(now - (roomsUntil - FORECAST_VALID_MS));
  let longest: AppliedForecast | undefined;
  for (const row of rowsFor(job, rooms)) {
    const added = Math.round(row.hosts * acceptedBefore(row, priority));
    const backlog = row.backlog + added;
    const waitMs = Math.round((MS_PER_S * backlog) / fastestRateOf(row));
    if (waitMs > (longest?.waitMs ?? allowedMs)) {
      longest = { ...row, ageMs, added, waitMs };
    }
  }
  return longest === undefined
    ? undefined
    : {
        why: 'no_room',
        retryAfterMs: Math.ceil(longest.waitMs - allowedMs),
        forecast: longest,
      };
}

/** Returns the row of each kind of capacity that the job needs: that of its own priority or the next higher one. */
function rowsFor(
  { steps, terms }: JobSpec,
  rooms: readonly CapacityRow[],
): CapacityRow[] {
  const kinds = new Set(steps.map(capacityKindOf));
  return [...kinds].flatMap(kind => {
    const before = rooms.filter(
      row =>
        row.service === terms.service &&
        row.kind === kind &&
        row.priority <= terms.priority,
    );
    return before.sort((a, b) => b.priority - a.priority).slice(0, 1);
  });
}
