/** A configuration of the design's size, or a multiple of it. */
import {
  objectSchema,
  type ConfigObject,
  type ProposedChange,
} from '@paddlewind/domain';

/** Objects of the size to design for: 3,100 workers, 79 teams, 14 availability zones. */
const TEAMS = 79;
const SERVICES = 240;
const POLICIES = 40;
const SHARDS = 100;
const DRAINED_WORKERS = 520;

/** Returns the declarations at `scale` times the design's size. */
export function sampleConfig(scale: number): ConfigObject[] {
  const teams = many(TEAMS * scale, sampleTeam);
  const services = many(SERVICES * scale, i => sampleService(i, teams.length));
  return [
    ...teams,
    ...services,
    ...many(POLICIES * scale, samplePolicy),
    ...many(SHARDS * scale, sampleShard),
    ...many(DRAINED_WORKERS * scale, sampleWorker),
  ];
}

/** Returns team number `index`, with a weight to be varied. */
export function sampleTeam(index: number, weight = 1): ConfigObject {
  return objectSchema.parse({
    kind: 'team',
    name: `team-${index}`,
    quota: { cpu: 400, memoryMiB: 1_048_576, accelerators: 4 },
    weight,
  });
}

/** Returns the change that declares `object` on `baseVersion`. */
export function changeTo(
  object: ConfigObject,
  baseVersion: number,
): ProposedChange {
  const { kind, name } = object;
  return { kind, name, baseVersion, declaration: object };
}

function many<T>(count: number, make: (index: number) => T): T[] {
  return Array.from({ length: Math.round(count) }, (_, index) => make(index));
}

function sampleService(index: number, teams: number): ConfigObject {
  return objectSchema.parse({
    kind: 'service',
    name: `service-${index}`,
    labels: { tier: 'interactive', product: `product-${index % 12}` },
    team: `team-${index % teams}`,
    workers: { labels: { pool: `pool-${index % 30}` } },
    size: { cpu: 4, memoryMiB: 8_192 },
    slots: 8,
    connections: 64,
    route: { host: `service-${index}.example.org`, timeoutMs: 2_000 },
    objective: { target: 0.999, latencyMs: 120 },
  });
}

function samplePolicy(index: number): ConfigObject {
  return objectSchema.parse({
    kind: 'policy',
    name: `policy-${index}`,
    order: index,
    work: { labels: { tier: `tier-${index}` } },
    class: index % 2 === 0 ? 'batch' : 'latency_critical',
  });
}

function sampleShard(index: number): ConfigObject {
  return objectSchema.parse({
    kind: 'shard',
    name: `shard-${index}`,
    region: `r${index % 5}`,
    availabilityZone: `z${index % 14}`,
    racks: [0, 1, 2, 3].map(rack => `rack-${index * 4 + rack}`),
  });
}

function sampleWorker(index: number): ConfigObject {
  return objectSchema.parse({
    kind: 'worker',
    name: `worker-${index}`,
    drained: true,
  });
}
