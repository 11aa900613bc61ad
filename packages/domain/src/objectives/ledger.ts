/** Request outcomes of each service: in total, by availability zone and by batch job on the same worker. */
import type { Instant, Millis } from '../core/time.js';
import type { BurnCounts } from './burn.js';
import type { RequestOutcome } from './outcome.js';
import { createWindowCounter, type WindowCounter } from './window-counter.js';

/** Key of a series; `without_batch` counts requests to workers without batch work. */
export type SeriesKey =
  | { readonly kind: 'all' }
  | { readonly kind: 'zone'; readonly zone: string }
  | { readonly kind: 'neighbour'; readonly job: string }
  | { readonly kind: 'without_batch' };

/** One request of a service. */
export interface ServedRequest {
  readonly service: string;
  readonly zone: string;
  readonly outcome: RequestOutcome;
  /** Batch jobs on the worker; undefined if unknown or no worker was reached. */
  readonly neighbours: readonly string[] | undefined;
}

/** Counts of request outcomes by service and series. */
export interface ObjectiveLedger {
  record(req: ServedRequest, now: Instant): void;
  /** Returns the services with recorded requests, sorted by name. */
  services(): string[];
  series(service: string): SeriesKey[];
  counts(
    service: string,
    key: SeriesKey,
    windowMs: Millis,
    now: Instant,
  ): BurnCounts;
  /** Deletes all services except the given ones. */
  retain(services: ReadonlySet<string>): void;
}

/** Maximum batch jobs with a series per service; the least recently seen one is dropped first. */
const MAX_NEIGHBOURS = 32;
/** Maximum availability zones with a series per service. */
const MAX_ZONES = 32;

const OUTCOMES: readonly RequestOutcome[] = ['good', 'failed', 'slow'];

interface Series {
  readonly key: SeriesKey;
  readonly counter: WindowCounter;
}

type ServiceSeries = Map<string, Series>;

function seriesName(key: SeriesKey): string {
  switch (key.kind) {
    case 'all':
    case 'without_batch':
      return key.kind;
    case 'zone':
      return `zone ${key.zone}`;
    case 'neighbour':
      return `neighbour ${key.job}`;
  }
}

function seriesKeys(req: ServedRequest): SeriesKey[] {
  const keys: SeriesKey[] = [{ kind: 'all' }, { kind: 'zone', zone: req.zone }];
  if (req.neighbours?.length === 0) {
    keys.push({ kind: 'without_batch' });
  }
  const jobs = new Set(req.neighbours ?? []);
  return [
    ...keys,
    ...[...jobs].map(job => ({ kind: 'neighbour' as const, job })),
  ];
}

/** Drops the least recently used series of a kind beyond `limit`; the map is in order of use. */
function trimSeries(
  all: ServiceSeries,
  kind: SeriesKey['kind'],
  limit: number,
): void {
  const names = [...all].filter(([, series]) => series.key.kind === kind);
  const excess = Math.max(0, names.length - limit);
  names.slice(0, excess).forEach(([name]) => all.delete(name));
}

function touchSeries(all: ServiceSeries, key: SeriesKey, now: Instant): Series {
  const name = seriesName(key);
  const known = all.get(name);
  const series = known ?? {
    key,
    counter: createWindowCounter(OUTCOMES.length, now),
  };
  all.delete(name);
  all.set(name, series);
  if (known === undefined) {
    trimSeries(all, 'neighbour', MAX_NEIGHBOURS);
    trimSeries(all, 'zone', MAX_ZONES);
  }
  return series;
}

/** Creates an empty ledger. */
export function createObjectiveLedger(): ObjectiveLedger {
  const services = new Map<string, ServiceSeries>();
  return {
    record(req, now) {
      const all = services.get(req.service) ?? new Map<string, Series>();
      services.set(req.service, all);
      const kind = OUTCOMES.indexOf(req.outcome);
      for (const key of seriesKeys(req)) {
        touchSeries(all, key, now).counter.add(kind, now);
      }
    },
    services: () => [...services.keys()].sort(),
    series(service) {
      const all = [...(services.get(service)?.values() ?? [])];
      const keys = all.map(series => series.key);
      return keys.sort((a, b) => (seriesName(a) < seriesName(b) ? -1 : 1));
    },
    counts(service, key, windowMs, now) {
      const series = services.get(service)?.get(seriesName(key));
      const sums = series?.counter.sum(windowMs, now) ?? [];
      const [good = 0, failed = 0, slow = 0] = sums;
      return { requests: good + failed + slow, failed, slow };
    },
    retain(names) {
      for (const name of [...services.keys()]) {
        if (!names.has(name)) {
          services.delete(name);
        }
      }
    },
  };
}
