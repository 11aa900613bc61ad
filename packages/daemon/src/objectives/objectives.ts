/** Measures service-level objectives from ended requests. */
import {
  createObjectiveLedger,
  type Instant,
  type Objective,
  objectsOf,
  outcomeOf,
} from '@paddlewind/domain';

import type { BurnFields } from '../operator/deps.js';
import type {
  ConfigView,
  EndedRequest,
  HostView,
  PartContext,
  RequestFeed,
  Stop,
} from '../parts.js';
import {
  createObjectiveMetrics,
  type ObjectiveMetrics,
  registerBurnGauges,
} from './metrics.js';
import { alertsOf, rowsOf, type RowScope } from './rows.js';

/** Dependencies of the measurement of objectives. */
export interface ObjectivesOptions {
  readonly ctx: PartContext;
  /** This host's id and availability zone. */
  readonly self: { readonly id: string; readonly availabilityZone: string };
  readonly config: ConfigView;
  readonly hosts: HostView;
  readonly requests: RequestFeed;
  /** Returns the jobs with a task on a worker, or undefined if this process does not know them. */
  readonly jobsOn: (worker: string) => readonly string[] | undefined;
  /** Returns the batch evictions and completions to report. */
  readonly batchTotals: () => {
    readonly evictions: number;
    readonly completed: number;
  };
}

/** The running measurement of objectives. */
export interface Objectives {
  /** Returns the burn measured by this host. */
  burn(): BurnFields;
  stop: Stop;
}

/** Time for which the jobs on a worker are cached. */
const NEIGHBOURS_CACHE_MS = 1_000;

/** Returns a cached lookup of the jobs on a worker. */
function createNeighbourLookup(
  options: ObjectivesOptions,
  zones: ReadonlyMap<string, string>,
) {
  const { clock } = options.ctx;
  const cache = new Map<
    string,
    { until: Instant; jobs: readonly string[] | undefined }
  >();
  return (worker: string): readonly string[] | undefined => {
    const now = clock();
    const known = cache.get(worker);
    if (known !== undefined && known.until > now) {
      return known.jobs;
    }
    const isInOwnZone = zones.get(worker) === options.self.availabilityZone;
    const jobs = options.jobsOn(worker) ?? (isInOwnZone ? [] : undefined);
    cache.set(worker, { until: now + NEIGHBOURS_CACHE_MS, jobs });
    return jobs;
  };
}

function trackObjectives(
  config: ConfigView,
  onChange: (declared: ReadonlySet<string>) => void,
) {
  const objectives = new Map<string, Objective>();
  const update = (): void => {
    objectives.clear();
    for (const service of objectsOf(config.current(), 'service')) {
      objectives.set(service.name, service.objective);
    }
    onChange(new Set(objectives.keys()));
  };
  update();
  return { objectives, stop: config.onChange(update) };
}

function trackZones(hosts: HostView) {
  const zones = new Map<string, string>();
  const update = (): void => {
    zones.clear();
    for (const host of hosts.hosts()) {
      zones.set(host.id, host.availabilityZone);
    }
  };
  update();
  return { zones, stop: hosts.onChange(update) };
}

/** Starts measuring objectives. */
export function startObjectives(options: ObjectivesOptions): Objectives {
  const { ctx, self } = options;
  const ledger = createObjectiveLedger();
  const metrics: ObjectiveMetrics = createObjectiveMetrics(ctx.metrics);
  const objectiveTracker = trackObjectives(options.config, declared => {
    ledger.retain(declared);
  });
  const { objectives } = objectiveTracker;
  const zoneTracker = trackZones(options.hosts);
  const neighboursOf = createNeighbourLookup(options, zoneTracker.zones);

  function recordRequest(req: EndedRequest): void {
    const { service, end, worker, durationMs } = req;
    const objective = objectives.get(service);
    const outcome =
      objective && outcomeOf(end, durationMs, objective.latencyMs);
    if (outcome === undefined) {
      return;
    }
    const zone = zoneTracker.zones.get(worker ?? '') ?? self.availabilityZone;
    const neighbours = worker === undefined ? undefined : neighboursOf(worker);
    ledger.record({ service, zone, outcome, neighbours }, ctx.clock());
    metrics.requests.inc({ service, outcome });
  }

  function rows(scope: RowScope) {
    const now = ctx.clock();
    return [...objectives].flatMap(([service, objective]) =>
      rowsOf(ledger, service, objective, scope, now),
    );
  }

  registerBurnGauges(ctx.metrics, () => rows('bounded_series'));
  const stopFeed = options.requests.onEnded(recordRequest);
  return {
    burn() {
      const windows = rows('every_series');
      const { evictions, completed } = options.batchTotals();
      return {
        windows,
        evictions: BigInt(evictions),
        batchCompleted: BigInt(completed),
        alerts: alertsOf(windows),
        hosts: [self.id],
        missing: [],
      };
    },
    stop() {
      stopFeed();
      objectiveTracker.stop();
      zoneTracker.stop();
    },
  };
}
