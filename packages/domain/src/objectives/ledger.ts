/** Outcomes of the requests of each service, in all, by availability zone and by batch neighbour. */
import type { Instant, Millis } from '../core/time.js';
import type { BurnCounts } from './burn.js';
import type { RequestOutcome } from './outcome.js';
import { createWindowCounter, type WindowCounter } from './window-counter.js';

/** What a series counts; `without_batch` is for requests whose worker ran no batch work. */
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
  /** Batch jobs on the worker; undefined when unknown, or no worker was reached. */
  readonly neighbours: readonly string[] | undefined;
}

/** Outcomes by service. */
export interface ObjectiveLedger {
  record(req: ServedRequest, now: Instant): void;
  /** Services with a series, in order of name. */
  services(): string[];
  series(service: string): SeriesKey[];
  counts(
    service: string,
    key: SeriesKey,
    windowMs: Millis,
    now: Instant,
  ): BurnCounts;
  /** Forgets services that are no longer declared. */
  retain(services: ReadonlySet<string>): void;
}

/** Neighbours remembered for a service; the one not seen for longest gives way. */
const MAX_NEIGHBOURS = 32;
/** Zones remembered for a service. */
const MAX_ZONES = 32;

const OUTCOMES: readonly RequestOutcome[] = ['good', 'failed', 'slow'];

interface Series {
  readonly key: SeriesKey;
  readonly counter: WindowCounter;
}

type ServiceSeries = Map<string, Series>;

function nameOf(key: SeriesKey): string {
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

function keysOf(req: ServedRequest): SeriesKey[] {
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

/** Drops the least recently used series of a kind beyond `limit`; a map keeps the order of use. */
function bound(
  all: ServiceSeries,
  kind: SeriesKey['kind'],
  limit: number,
): void {
  const names = [...all].filter(([, series]) => series.key.kind === kind);
  const excess = Math.max(0, names.length - limit);
  names.slice(0, excess).forEach(([name]) => all.delete(name));
}

function touch(all: ServiceSeries, key: SeriesKey, now: Instant): Series {
  const name = nameOf(key);
  const known = all.get(name);
  const series = known ?? {
    key,
    counter: createWindowCounter(OUTCOMES.length, now),
  };
  all.delete(name);
  all.set(name, series);
  if (known === undefined) {
    bound(all, 'neighbour', MAX_NEIGHBOURS);
    bound(all, 'zone', MAX_ZONES);
  }
  return series;
}

/** Starts empty. */
export function createObjectiveLedger(): ObjectiveLedger {
  const services = new Map<string, ServiceSeries>();
  return {
    record(req, now) {
      const all = services.get(req.service) ?? new Map<string, Series>();
      services.set(req.service, all);
      const kind = OUTCOMES.indexOf(req.outcome);
      for (const key of keysOf(req)) {
        touch(all, key, now).counter.add(kind, now);
      }
    },
    services: () => [...services.keys()].sort(),
    series(service) {
      const all = [...(services.get(service)?.values() ?? [])];
      const keys = all.map(series => series.key);
      return keys.sort((a, b) => (nameOf(a) < nameOf(b) ? -1 : 1));
    },
    counts(service, key, windowMs, now) {
      const series = services.get(service)?.get(nameOf(key));
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
