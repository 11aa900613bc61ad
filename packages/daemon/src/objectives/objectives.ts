/** Measures service-level objectives by the ends of requests. */
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

/** What the part is given. */
export interface ObjectivesOptions {
  readonly ctx: PartContext;
  /** This host's id and availability zone. */
  readonly self: { readonly id: string; readonly availabilityZone: string };
  readonly config: ConfigView;
  readonly hosts: HostView;
  readonly requests: RequestFeed;
  /** Jobs with a task on a worker; undefined when not known here. */
  readonly jobsOn: (worker: string) => readonly string[] | undefined;
  readonly batchTotals: () => {
    readonly evictions: number;
    readonly completed: number;
  };
}

/** The running part. */
export interface Objectives {
  /** Burn as this host measures it. */
  burn(): BurnFields;
  stop: Stop;
}

/** Jobs on a worker are looked up at most so often. */
const NEIGHBOURS_FRESH_MS = 1_000;

/** Returns the jobs on a worker, remembered for a second. */
function createNeighbours(
  options: ObjectivesOptions,
  zones: ReadonlyMap<string, string>,
) {
  const { clock } = options.ctx;
  const remembered = new Map<
    string,
    { until: Instant; jobs: readonly string[] | undefined }
  >();
  return (worker: string): readonly string[] | undefined => {
    const now = clock();
    const known = remembered.get(worker);
    if (known !== undefined && known.until > now) {
      return known.jobs;
    }
    const near = zones.get(worker) === options.self.availabilityZone;
    const jobs = options.jobsOn(worker) ?? (near ? [] : undefined);
    remembered.set(worker, { until: now + NEIGHBOURS_FRESH_MS, jobs });
    return jobs;
  };
}

function followObjectives(
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

function followZones(hosts: HostView) {
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

/** Starts to measure. */
export function startObjectives(options: ObjectivesOptions): Objectives {
  const { ctx, self } = options;
  const ledger = createObjectiveLedger();
  const metrics: ObjectiveMetrics = createObjectiveMetrics(ctx.metrics);
  const followed = followObjectives(options.config, declared => {
    ledger.retain(declared);
  });
  const { objectives } = followed;
  const hosts = followZones(options.hosts);
  const neighboursOf = createNeighbours(options, hosts.zones);

  function take(req: EndedRequest): void {
    const { service, end, worker, durationMs } = req;
    const objective = objectives.get(service);
    const outcome =
      objective && outcomeOf(end, durationMs, objective.latencyMs);
    if (outcome === undefined) {
      return;
    }
    const zone = hosts.zones.get(worker ?? '') ?? self.availabilityZone;
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
  const stopFeed = options.requests.onEnded(take);
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
      followed.stop();
      hosts.stop();
    },
  };
}
