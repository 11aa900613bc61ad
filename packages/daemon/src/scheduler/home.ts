/** Where a job is submitted, and which shard first holds it. */
import {
  fits,
  matches,
  rendezvousOrder,
  subtractResources,
  type JobSpec,
  type Resources,
  type ShardSpec,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

import { workersOf } from './fleet-index.js';

/** A shard and its availability zone. */
export interface Home {
  readonly zone: string;
  readonly shard: string;
}

/**
 * Returns the availability zone in whose stream the job's home is settled: the same for every
 * entry host and every retry, whatever hosts they see. Undefined without shards.
 */
export function registryZone(
  job: string,
  shards: readonly ShardSpec[],
): string | undefined {
  const zones = new Set(shards.map(shard => shard.availabilityZone));
  return rendezvousOrder(job, [...zones])[0];
}

/** What the choice of a home is made on. */
export interface HomeView {
  /** Shards of the region. */
  readonly shards: readonly ShardSpec[];
  readonly hosts: readonly Host[];
  /** What services take on a host. */
  readonly reserved: (host: Host) => Resources;
}

/**
 * Returns the shard to propose for a job: one of the registry's zone if a worker there could ever
 * hold its tasks, else one of another zone where one could. Undefined without shards.
 */
export function chooseHome(job: JobSpec, view: HomeView): Home | undefined {
  const zone = registryZone(job.name, view.shards);
  const able = view.shards.filter(shard => couldHold(shard, job, view));
  const near = (shards: readonly ShardSpec[]): ShardSpec[] =>
    shards.filter(shard => shard.availabilityZone === zone);
  const choices = [near(able), able, near(view.shards)];
  const candidates = choices.find(each => each.length > 0) ?? [];
  const names = candidates.map(shard => shard.name);
  const [name] = rendezvousOrder(job.name, names);
  const chosen = candidates.find(shard => shard.name === name);
  return chosen && { zone: chosen.availabilityZone, shard: chosen.name };
}

function couldHold(
  shard: ShardSpec,
  job: JobSpec,
  { hosts, reserved }: HomeView,
): boolean {
  return workersOf(shard, hosts).some(
    host =>
      matches(job.workers, host.labels) &&
      fits(job.size, subtractResources(host.capacity, reserved(host))),
  );
}
