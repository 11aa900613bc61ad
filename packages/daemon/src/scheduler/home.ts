/** Where a job is submitted: the same for every entry host and every retry. */
import { rendezvousOrder, type ShardSpec } from '@paddlewind/domain';

/** The shard that first holds a job, and its availability zone. */
export interface Home {
  readonly zone: string;
  readonly shard: string;
}

/** Returns the home of `job` among the shards of a region; undefined when there are none. */
export function homeOf(
  job: string,
  shards: readonly ShardSpec[],
): Home | undefined {
  const zones = new Set(shards.map(shard => shard.availabilityZone));
  const [zone] = rendezvousOrder(job, [...zones]);
  const near = shards.filter(shard => shard.availabilityZone === zone);
  const [shard] = rendezvousOrder(
    job,
    near.map(each => each.name),
  );
  return zone === undefined || shard === undefined
    ? undefined
    : { zone, shard };
}
