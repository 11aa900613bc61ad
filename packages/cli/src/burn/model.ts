/** Model of the burn report, shared by its text and HTML renderers. */
import type { BurnResponse, BurnWindow } from '@paddlewind/protocol';

/** Error budget burn of one series in one window. */
export interface BurnCell {
  readonly windowSeconds: number;
  readonly requests: number;
  readonly failed: number;
  readonly slow: number;
  /** At a rate of 1 the error budget lasts exactly its period. */
  readonly burnRate: number;
  /** Fraction of the period's budget spent in this window. */
  readonly budgetSpent: number;
}

/** A group of requests, such as those of one zone, with a cell for each window, shortest first. */
export interface BurnSeries {
  readonly name: string;
  readonly cells: readonly BurnCell[];
}

/** Error budget burn of one service. */
export interface ServiceBurn {
  readonly service: string;
  readonly objective: string;
  readonly periodDays: number;
  readonly alerts: readonly string[];
  readonly all: BurnSeries;
  readonly zones: readonly BurnSeries[];
  /** A series for each batch job on the same worker, after the series of workers without batch work, if any. */
  readonly neighbours: readonly BurnSeries[];
}

/** Burn of all services, with fleet-wide totals. */
export interface BurnReport {
  readonly services: readonly ServiceBurn[];
  readonly evictions: number;
  readonly batchCompleted: number;
  readonly hosts: readonly string[];
  readonly missing: readonly string[];
}

/** Name of the series for requests to workers without batch work. */
export const WITHOUT_BATCH = '(no batch work)';

const ALL = 'all';
const WINDOW_UNITS = [
  { seconds: 86_400, unit: 'd' },
  { seconds: 3_600, unit: 'h' },
  { seconds: 60, unit: 'min' },
] as const;

/** Formats the length of a window, such as `30 min`. */
export function windowName(seconds: number): string {
  const exact = WINDOW_UNITS.find(each => seconds % each.seconds === 0);
  return exact === undefined
    ? `${seconds} s`
    : `${seconds / exact.seconds} ${exact.unit}`;
}

/** Formats a fraction such as 0.125 as `12.5 %`. */
export function percent(share: number): string {
  const digits = share > 0 && share < 0.001 ? 3 : 1;
  return `${(share * 100).toFixed(digits)} %`;
}

type SeriesKind = 'all' | 'zone' | 'neighbour' | 'without_batch';

function kindOf(row: BurnWindow): SeriesKind {
  if (row.withoutBatch) {
    return 'without_batch';
  }
  if (row.batchNeighbours.length > 0) {
    return 'neighbour';
  }
  return row.availabilityZone === '' ? 'all' : 'zone';
}

function nameOf(row: BurnWindow): string {
  switch (kindOf(row)) {
    case 'all':
      return ALL;
    case 'zone':
      return row.availabilityZone;
    case 'neighbour':
      return row.batchNeighbours.join(', ');
    case 'without_batch':
      return WITHOUT_BATCH;
  }
}

function cellOf(row: BurnWindow): BurnCell {
  const slow = Number(row.slow);
  return {
    windowSeconds: row.windowSeconds,
    requests: Number(row.requests),
    failed: Number(row.bad) - slow,
    slow,
    burnRate: row.burnRate,
    budgetSpent: row.budgetSpent,
  };
}

function seriesOf(rows: readonly BurnWindow[], kind: SeriesKind): BurnSeries[] {
  const own = rows.filter(row => kindOf(row) === kind);
  const names = [...new Set(own.map(nameOf))].sort();
  return names.map(name => ({
    name,
    cells: own
      .filter(row => nameOf(row) === name)
      .map(cellOf)
      .sort((a, b) => a.windowSeconds - b.windowSeconds),
  }));
}

/** Groups the rows of a burn response by service. */
export function buildReport(burn: BurnResponse): BurnReport {
  const names = [...new Set(burn.windows.map(row => row.service))].sort();
  const services = names.map((service): ServiceBurn => {
    const rows = burn.windows.filter(row => row.service === service);
    const [all = { name: ALL, cells: [] }] = seriesOf(rows, 'all');
    const alerts = burn.alerts.filter(alert => alert.service === service);
    return {
      service,
      objective: rows[0]?.objective ?? '',
      periodDays: rows[0]?.periodDays ?? 0,
      alerts: alerts.map(alert => alert.severity),
      all,
      zones: seriesOf(rows, 'zone'),
      neighbours: [
        ...seriesOf(rows, 'without_batch'),
        ...seriesOf(rows, 'neighbour'),
      ],
    };
  });
  return {
    services,
    evictions: Number(burn.evictions),
    batchCompleted: Number(burn.batchCompleted),
    hosts: burn.hosts,
    missing: burn.missing,
  };
}
