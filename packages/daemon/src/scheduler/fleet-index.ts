/** The workers of a fleet by rack and by id, indexed once for each host list. */
import type { ShardSpec } from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

interface FleetIndex {
  readonly byRack: ReadonlyMap<string, readonly Host[]>;
  readonly byId: ReadonlyMap<string, Host>;
}

/** Host lists are replaced, never changed, so an index holds as long as its list. */
const indexes = new WeakMap<readonly Host[], FleetIndex>();

/** Returns the workers of a shard. */
export function workersOf(
  { region, availabilityZone, racks }: ShardSpec,
  hosts: readonly Host[],
): Host[] {
  const { byRack } = indexOf(hosts);
  return racks.flatMap(
    rack => byRack.get(rackKey({ region, availabilityZone, rack })) ?? [],
  );
}

/** Returns the worker of the id; undefined when it is not listed. */
export function workerOf(id: string, hosts: readonly Host[]): Host | undefined {
  return indexOf(hosts).byId.get(id);
}

function indexOf(hosts: readonly Host[]): FleetIndex {
  const known = indexes.get(hosts);
  if (known !== undefined) {
    return known;
  }
  const workers = hosts.filter(host => host.role === 'worker');
  const byRack = new Map<string, Host[]>();
  for (const worker of workers) {
    const key = rackKey(worker);
    const rack = byRack.get(key) ?? [];
    byRack.set(key, [...rack, worker]);
  }
  const byId = new Map(workers.map(worker => [worker.id, worker]));
  const index = { byRack, byId };
  indexes.set(hosts, index);
  return index;
}

function rackKey(
  place: Pick<Host, 'region' | 'availabilityZone' | 'rack'>,
): string {
  return `${place.region}/${place.availabilityZone}/${place.rack}`;
}
