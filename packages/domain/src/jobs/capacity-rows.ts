/** Rows of the leader's forecast of capacity, as hosts read them, and their encoding in records. */
import type { Millis } from '../core/time.js';
import type { JobSpec, StepSpec } from './spec.js';

/** Kind of capacity: processor time that others leave idle, or reserved processors. */
export type CapacityKind = 'filler' | 'plain';

/** Forecast of one service, kind of capacity and priority; tasks of higher priorities are included. */
export interface CapacityRow {
  readonly service: string;
  readonly kind: CapacityKind;
  readonly priority: number;
  /** Core-milliseconds that accepted jobs still need. */
  readonly backlog: number;
  /** Core-milliseconds that are completed per second. */
  readonly rate: number;
  /** Error of the rate, in percent of it. */
  readonly errorPercent: number;
  /** Number of hosts that accept jobs. */
  readonly hosts: number;
}

type WireCapacityRow = readonly [
  service: string,
  kind: 'f' | 'p',
  priority: number,
  backlog: number,
  rate: number,
  errorPercent: number,
  hosts: number,
];

/** Time after which a forecast that was not replaced refuses nothing; a leader publishes one a second. */
export const FORECAST_VALID_MS: Millis = 3_000;
/** Most rows that are published, which bounds the size of a record. */
export const MAX_CAPACITY_ROWS = 32;
const MS_PER_S = 1_000;
const PERCENT = 100;

/** Returns the kind of capacity that tasks of a step use. */
export function capacityKindOf({ filler }: StepSpec): CapacityKind {
  return filler ? 'filler' : 'plain';
}

/** Returns the core-milliseconds that a job needs of one kind of capacity, by its caller's estimates. */
export function estimatedWorkOf(
  { steps }: JobSpec,
  kind: CapacityKind,
): number {
  let work = 0;
  for (const step of steps) {
    if (capacityKindOf(step) === kind) {
      work += (step.tasks * step.size.cpuMilli * step.estimateMs) / MS_PER_S;
    }
  }
  return work;
}

/** Returns the largest rate that the error allows, in core-milliseconds per second. */
export function fastestRateOf({ rate, errorPercent }: CapacityRow): number {
  return rate * (1 + errorPercent / PERCENT);
}

/** Returns the column that holds the rows at the end of a record; no column without rows. */
export function capacityColumns(
  rows: readonly CapacityRow[],
): [] | [readonly WireCapacityRow[]] {
  return rows.length === 0
    ? []
    : [rows.slice(0, MAX_CAPACITY_ROWS).map(toWire)];
}

function toWire(row: CapacityRow): WireCapacityRow {
  return [
    row.service,
    row.kind === 'filler' ? 'f' : 'p',
    row.priority,
    Math.round(row.backlog),
    Math.round(row.rate),
    Math.round(row.errorPercent),
    row.hosts,
  ];
}

/** Returns the rows of a column; none if it is absent or any of it is invalid. */
export function parseCapacityRows(column: unknown): readonly CapacityRow[] {
  if (!Array.isArray(column) || !column.every(isWireCapacityRow)) {
    return [];
  }
  return column.slice(0, MAX_CAPACITY_ROWS).map(toRow);
}

function toRow(row: WireCapacityRow): CapacityRow {
  const [service, letter, priority, backlog, rate, errorPercent, hosts] = row;
  const kind = letter === 'f' ? 'filler' : 'plain';
  return { service, kind, priority, backlog, rate, errorPercent, hosts };
}

function isWireCapacityRow(row: unknown): row is WireCapacityRow {
  if (!Array.isArray(row)) {
    return false;
  }
  const [service, letter, priority, ...amounts] = row as unknown[];
  const [backlog, rate, errorPercent, hosts] = amounts;
  return (
    typeof service === 'string' &&
    (letter === 'f' || letter === 'p') &&
    isAtLeast(priority, -Infinity) &&
    isAtLeast(backlog, 0) &&
    isAtLeast(rate, 1) &&
    isAtLeast(errorPercent, 0) &&
    isAtLeast(hosts, 1)
  );
}

function isAtLeast(value: unknown, least: number): boolean {
  return Number.isFinite(value) && Number(value) >= least;
}
