/** What the planner of a shard is told of workers, services and teams. */
import {
  NO_RESOURCES,
  addResources,
  matches,
  objectsOf,
  type ConfigState,
  type Decision,
  type PlacementPenalty,
  type PolicySpec,
  type Resources,
  type ScheduleState,
  type ScheduleView,
  type ServiceSpec,
  type ShardSpec,
  type TeamSpec,
  type TeamView,
  type WorkerAvailability,
  type SchedulableWorker,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

import { workersOf } from './fleet-index.js';
import type { BatchAdvice } from './types.js';

/** What a view is built of. */
export interface ViewInput {
  readonly shard: ShardSpec;
  readonly epoch: number;
  readonly config: ConfigState;
  readonly hosts: readonly Host[];
  readonly state: ScheduleState;
  readonly reachable: (worker: string) => boolean;
  readonly advise: (worker: string) => BatchAdvice;
  readonly penalty: PlacementPenalty | undefined;
  readonly logAvailable: boolean;
  readonly pending: readonly Decision[];
}

/** Builds the view of a shard. */
export function buildView(input: ViewInput): ScheduleView {
  const { shard, config, state } = input;
  const { services, shards, drained, policies, teams } = digestOf(config);
  return {
    shard: shard.name,
    epoch: input.epoch,
    workers: workersOf(shard, input.hosts).map(host =>
      toWorkerView(input, host, services, drained),
    ),
    policies,
    teams,
    siblings: shards
      .filter(each => each.name !== shard.name && state.shards.has(each.name))
      .map(each => ({
        shard: each.name,
        workers: workersOf(each, input.hosts).map(host => ({
          labels: host.labels,
          capacity: host.capacity,
          reserved: reservedOn(host, services),
        })),
      })),
    logAvailable: input.logAvailable,
    ...(input.penalty === undefined ? {} : { penalty: input.penalty }),
    pending: input.pending,
  };
}

function toWorkerView(
  input: ViewInput,
  host: Host,
  services: readonly ServiceSpec[],
  drained: ReadonlySet<string>,
): SchedulableWorker {
  const reserved = reservedOn(host, services);
  const elsewhere = usedByOthers(input.state, input.shard.name, host.id);
  return {
    id: host.id,
    rack: host.rack,
    labels: host.labels,
    capacity: host.capacity,
    reserved: addResources(reserved, elsewhere),
    availability: availabilityOf(input, host, drained),
    ...input.advise(host.id),
  };
}

function availabilityOf(
  { reachable }: ViewInput,
  host: Host,
  drained: ReadonlySet<string>,
): WorkerAvailability {
  if (host.state === 'leaving') {
    return 'leaving';
  }
  if (drained.has(host.id)) {
    return 'drained';
  }
  return reachable(host.id) ? 'live' : 'unreachable';
}

/** What views take from a configuration. */
interface ConfigDigest {
  readonly services: readonly ServiceSpec[];
  readonly shards: readonly ShardSpec[];
  readonly drained: ReadonlySet<string>;
  readonly policies: readonly PolicySpec[];
  readonly teams: readonly TeamView[];
}

const digests = new WeakMap<ConfigState, ConfigDigest>();

/** Returns the same digest for the same configuration, so that the planner sees what is unchanged. */
function digestOf(config: ConfigState): ConfigDigest {
  const known = digests.get(config);
  if (known !== undefined) {
    return known;
  }
  const shards = objectsOf(config, 'shard');
  const digest = {
    services: objectsOf(config, 'service'),
    shards,
    drained: drainedWorkers(config),
    policies: objectsOf(config, 'policy'),
    teams: objectsOf(config, 'team').map(team => toTeamView(team, shards)),
  };
  digests.set(config, digest);
  return digest;
}

function drainedWorkers(config: ConfigState): ReadonlySet<string> {
  const workers = objectsOf(config, 'worker');
  return new Set(workers.filter(each => each.drained).map(each => each.name));
}

/** Returns what the services on a worker take. */
export function reservedOn(
  host: Pick<Host, 'labels'>,
  services: readonly ServiceSpec[],
): Resources {
  return services
    .filter(service => matches(service.workers, host.labels))
    .map(service => service.size)
    .reduce<Resources>(addResources, NO_RESOURCES);
}

/** Returns what tasks of other shards still take on a worker that changed shards. */
function usedByOthers(
  state: ScheduleState,
  shard: string,
  worker: string,
): Resources {
  let used = NO_RESOURCES;
  for (const [name, schedule] of state.shards) {
    const load = schedule.workers.get(worker);
    if (name !== shard && load !== undefined) {
      used = addResources(used, load.used);
    }
  }
  return used;
}

/** Splits a quota evenly over all shards, so that the parts never exceed the whole. */
function toTeamView(team: TeamSpec, shards: readonly ShardSpec[]): TeamView {
  const parts = Math.max(1, shards.length);
  const { cpu, memoryMiB, accelerators } = team.quota;
  return {
    name: team.name,
    weight: team.weight,
    allotment: {
      cpu: cpu / parts,
      memoryMiB: memoryMiB / parts,
      accelerators: Math.floor(accelerators / parts),
    },
  };
}
