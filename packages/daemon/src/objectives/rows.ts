/** Rows of the burn report. */
import {
  BURN_WINDOWS_MS,
  budgetSpent,
  type BurnCounts,
  burnRate,
  firingAlerts,
  type Instant,
  type Objective,
  type ObjectiveLedger,
  type SeriesKey,
} from '@paddlewind/domain';

import type { BurnFields } from '../operator/deps.js';

/** One row of the report: the burn of a service over a window. */
export type BurnRow = BurnFields['windows'][number];

/** One alert of the report. */
export type BurnAlertFields = NonNullable<BurnFields['alerts']>[number];

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** Describes an objective, such as `99.9 % within 100 ms`. */
export function describeObjective(objective: Objective): string {
  const percent = Number((objective.target * PERCENT).toPrecision(6));
  return `${percent} % within ${objective.latencyMs} ms`;
}

function keyFields(key: SeriesKey) {
  return {
    availabilityZone: key.kind === 'zone' ? key.zone : '',
    batchNeighbours: key.kind === 'neighbour' ? [key.job] : [],
    withoutBatch: key.kind === 'without_batch',
  };
}

/** Builds a row of `counts` over `windowMs`. */
function rowOf(
  service: string,
  objective: Objective,
  key: SeriesKey,
  windowMs: number,
  counts: BurnCounts,
): BurnRow {
  const rate = burnRate(counts, objective.target);
  return {
    service,
    ...keyFields(key),
    objective: describeObjective(objective),
    target: objective.target,
    periodDays: objective.periodDays,
    windowSeconds: windowMs / MS_PER_SECOND,
    requests: BigInt(counts.requests),
    bad: BigInt(counts.failed + counts.slow),
    slow: BigInt(counts.slow),
    burnRate: rate,
    budgetSpent: budgetSpent(rate, windowMs, objective),
  };
}

/** Series for which rows are built; the bounded ones are the totals and the series by zone. */
export type RowScope = 'every_series' | 'bounded_series';

/** Returns the rows of a service, one for each series and window. */
export function rowsOf(
  ledger: ObjectiveLedger,
  service: string,
  objective: Objective,
  scope: RowScope,
  now: Instant,
): BurnRow[] {
  const keys = ledger
    .series(service)
    .filter(
      ({ kind }) =>
        scope === 'every_series' || kind === 'all' || kind === 'zone',
    );
  return keys.flatMap(key =>
    BURN_WINDOWS_MS.map(windowMs => {
      const counts = ledger.counts(service, key, windowMs, now);
      return rowOf(service, objective, key, windowMs, counts);
    }),
  );
}

function objectiveOf(row: BurnRow): Objective {
  return { target: row.target, periodDays: row.periodDays, latencyMs: 0 };
}

function coversAllRequests(row: BurnRow): boolean {
  return (
    row.availabilityZone === '' &&
    row.batchNeighbours.length === 0 &&
    !row.withoutBatch
  );
}

function countsOf(row: BurnRow | undefined): BurnCounts {
  const bad = Number(row?.bad ?? 0);
  const slow = Number(row?.slow ?? 0);
  return { requests: Number(row?.requests ?? 0), failed: bad - slow, slow };
}

/** Returns the firing alerts of each service, judged by its rows over all requests. */
export function alertsOf(rows: readonly BurnRow[]): BurnAlertFields[] {
  const totals = rows.filter(coversAllRequests);
  const services = [...new Set(totals.map(row => row.service))];
  return services.flatMap(service => {
    const own = totals.filter(row => row.service === service);
    const [first] = own;
    if (first === undefined) {
      return [];
    }
    const firing = firingAlerts(objectiveOf(first), windowMs =>
      countsOf(own.find(row => row.windowSeconds * MS_PER_SECOND === windowMs)),
    );
    return [...firing].map(severity => ({ service, severity }));
  });
}

function keyOf(row: BurnRow): string {
  const { service, objective, windowSeconds, availabilityZone } = row;
  const neighbours = row.batchNeighbours.join(',');
  return JSON.stringify([
    service,
    objective,
    windowSeconds,
    availabilityZone,
    neighbours,
    row.withoutBatch,
  ]);
}

function addRows(a: BurnRow, b: BurnRow): BurnRow {
  const sum = {
    ...a,
    requests: a.requests + b.requests,
    bad: a.bad + b.bad,
    slow: a.slow + b.slow,
  };
  const rate = burnRate(countsOf(sum), a.target);
  const windowMs = a.windowSeconds * MS_PER_SECOND;
  const spent = budgetSpent(rate, windowMs, objectiveOf(a));
  return { ...sum, burnRate: rate, budgetSpent: spent };
}

/** Adds up the rows of several hosts that have the same key. */
export function mergeRows(rows: readonly BurnRow[]): BurnRow[] {
  const merged = new Map<string, BurnRow>();
  for (const row of rows) {
    const key = keyOf(row);
    const known = merged.get(key);
    merged.set(key, known === undefined ? row : addRows(known, row));
  }
  return [...merged.values()];
}
