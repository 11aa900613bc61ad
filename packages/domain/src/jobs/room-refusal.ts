/** Refusal of jobs that would end too late to be of any value, by the leader's forecast of capacity. */
import type { Instant, Millis } from '../core/time.js';
import { MAX_LATE_FACTOR } from './objective.js';
import {
  fastestRateOf,
  isForecast,
  roomKindOf,
  ROOMS_VALID_MS,
  type RoomRow,
} from './room-rows.js';
import type { JobSpec } from './spec.js';
import { estimatedObjectiveOf, estimatedPathOf } from './start-delay.js';

/** Rows of the forecast, and the monotonic time from which they refuse nothing. */
export interface RoomLimits {
  readonly rooms: readonly RoomRow[];
  readonly roomsUntil: Instant;
}

/** The forecast by which a job is refused. */
export interface RoomForecastUsed extends RoomRow {
  /** Time since this host has read it, or since the latest time at which it may have been written. */
  readonly ageMs: Millis;
  /** Core-milliseconds that this host has added, for all hosts. */
  readonly added: number;
  /** Time until all of it is served at the fastest rate. */
  readonly waitMs: Millis;
}

/** A refusal of a job that would end after it has lost all value. */
export interface RoomRefusal {
  readonly why: 'no_room';
  /** Time until the backlog will have shrunk enough. */
  readonly retryAfterMs: Millis;
  readonly forecast: RoomForecastUsed;
}

/** Returns what this host has accepted before a job since the forecast, in core-milliseconds. */
export type AcceptedBefore = (row: RoomRow, priority: number) => number;

const MS_PER_S = 1_000;

/** Returns the refusal of a job by the kind of capacity for which it would wait the longest. */
export function roomRefusalOf(
  job: JobSpec,
  { rooms, roomsUntil }: RoomLimits,
  now: Instant,
  acceptedBefore: AcceptedBefore = () => 0,
): RoomRefusal | undefined {
  if (rooms.length === 0 || now >= roomsUntil || !isForecast(job)) {
    return undefined;
  }
  const { priority } = job.terms;
  const allowedMs =
    MAX_LATE_FACTOR * estimatedObjectiveOf(job) - estimatedPathOf(job);
  const ageMs = Math.round(now - (roomsUntil - ROOMS_VALID_MS));
  let longest: RoomForecastUsed | undefined;
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

/** Returns the row of each kind of capacity that the job needs: that of the next priority before it. */
function rowsFor(
  { steps, terms }: JobSpec,
  rooms: readonly RoomRow[],
): RoomRow[] {
  const kinds = new Set(steps.map(roomKindOf));
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
