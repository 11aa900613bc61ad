/** Entry hosts, a log and workers in one process on a virtual clock. */
import {
  createCommitter,
  followWithSnapshots,
  startScheduler,
  startShardOwnership,
  type Committer,
  type ConfigView,
  type PartContext,
  type Peer,
  type PeerView,
  type Scheduler,
  type ShardOwnership,
  type TaskTiming,
} from '@paddlewind/daemon';
import {
  jobSchema,
  objectKey,
  seededRandom,
  shardSchema,
  type ConfigObject,
  type ConfigState,
  type JobSpec,
  type Millis,
  type OwnershipTiming,
  type Resources,
} from '@paddlewind/domain';
import type { Host, LogService, WorkerAgent } from '@paddlewind/ports';
import {
  createMemoryLog,
  createMemoryWorkers,
  createPausable,
  createVirtualTime,
  pausableLog,
  type MemoryLog,
  type MemoryWorkers,
  type Pausable,
  type VirtualTime,
} from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

/** Timing of shard leases among the virtual hosts. */
export const SHARD_TIMING: OwnershipTiming = {
  drift: 0.001,
  marginMs: 500,
  claimStepMs: 500,
  aliveGraceMs: 5_000,
  settleMs: 30_000,
};
/** Lease of a shard. */
export const SHARD_LEASE_MS = 10_000;
const RENEW_EVERY_MS = 3_000;

/** Timing of task leases among the virtual hosts. */
export const TASK_TIMING: TaskTiming = {
  leaseMs: 20_000,
  syncEveryMs: 2_000,
  urgentSyncMs: 200,
  suspectMs: 7_000,
  drift: 0.001,
  marginMs: 3_000,
  outageHoldMs: 5_400_000,
  renewOnlyWindowMs: 10_000,
  stopGraceMs: 5_000,
};

const LOG_RETENTION_MS = 240_000;
const REGION = 'region';
const WALL_START = 1_700_000_000_000;

/** What a cluster is made of. */
export interface ClusterOptions {
  readonly zones: readonly string[];
  /** Entry hosts in each zone. */
  readonly entryHosts: number;
  /** Shards in each zone; each has one rack. */
  readonly shards: number;
  /** Workers in each shard. */
  readonly workers: number;
  readonly capacity: Resources;
  readonly objects?: readonly ConfigObject[];
  readonly seed?: number;
  /** Time of a call to a worker there and back. */
  readonly callMs?: Millis;
  /** Makes the committer of each process; the daemon's when absent. */
  readonly committer?: CommitterFactory;
}

/** Makes the committer of a process. */
export type CommitterFactory = (
  log: LogService,
  ctx: PartContext,
) => Committer & { stop: () => void };

/** A process on an entry host. */
export interface EntryHost {
  readonly id: string;
  readonly zone: string;
  readonly ownership: ShardOwnership;
  readonly scheduler: Scheduler;
  readonly pausable: Pausable;
  /** Stops it for good without a word. */
  kill(): void;
  /** Drains and releases, as on a planned stop. */
  stop(): Promise<void>;
}

/** The cluster. */
export interface Cluster {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly workers: MemoryWorkers;
  readonly hosts: Host[];
  /** Entry hosts that run, by id. */
  readonly entryHosts: Map<string, EntryHost>;
  /** Starts a process on the entry host `id` of a zone. */
  start(zone: string, id: string): EntryHost;
  /** Every entry host that has the shard's lease at this instant. */
  owners(shard: string): EntryHost[];
  shardNames(): string[];
}

/** Creates a cluster and starts its entry hosts. */
export function createVirtualHosts(options: ClusterOptions): Cluster {
  const time = createVirtualTime();
  const { clock, schedule } = time;
  const log = createMemoryLog({ clock, schedule });
  const workers = createMemoryWorkers({
    clock,
    schedule,
    delayMs: options.callMs ?? 2,
    timeoutMs: 2_000,
  });
  const config = clusterConfig(options);
  const hosts = clusterHosts(options);
  const entryHosts = new Map<string, EntryHost>();
  let starts = 0;

  function start(zone: string, id: string): EntryHost {
    const seed = (options.seed ?? 1) * 1_000 + starts++;
    const host = startEntryHost({
      zone,
      id,
      incarnation: `${starts}`,
      seed,
      time,
      log,
      workers,
      config,
      committer: options.committer ?? defaultCommitter,
      hosts,
      live: () => [...entryHosts.values()],
    });
    entryHosts.set(id, {
      ...host,
      kill: () => {
        host.kill();
        entryHosts.delete(id);
      },
      stop: async () => {
        entryHosts.delete(id);
        await host.stop();
      },
    });
    return entryHosts.get(id) ?? host;
  }

  for (const zone of options.zones) {
    for (let i = 0; i < options.entryHosts; i++) {
      start(zone, `${zone}-entry-${i}`);
    }
  }
  const shardNames = (): string[] =>
    [...config.objects.values()]
      .filter(({ object }) => object.kind === 'shard')
      .map(({ object }) => object.name);
  return {
    time,
    log,
    workers,
    hosts,
    entryHosts,
    start,
    shardNames,
    owners: shard =>
      [...entryHosts.values()].filter(host =>
        host.ownership.owned().has(shard),
      ),
  };
}

function defaultCommitter(
  ...[log, ctx]: Parameters<CommitterFactory>
): ReturnType<CommitterFactory> {
  return createCommitter({ log, ctx });
}

interface EntryHostInput {
  readonly zone: string;
  readonly id: string;
  readonly incarnation: string;
  readonly seed: number;
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly workers: MemoryWorkers;
  readonly config: ConfigState;
  readonly committer: CommitterFactory;
  readonly hosts: readonly Host[];
  readonly live: () => readonly EntryHost[];
}

function startEntryHost(input: EntryHostInput): EntryHost {
  const { time, zone, id } = input;
  const pausable = createPausable(time.schedule);
  const log = pausableLog(input.log, pausable);
  const ctx: PartContext = {
    clock: time.clock,
    schedule: pausable.schedule,
    random: seededRandom(input.seed),
    log: pino({ level: process.env.BENCH_LOG_LEVEL ?? 'silent' }),
    metrics: new Registry(),
  };
  const committer = input.committer(log, ctx);
  const peers = peerView(id, input.live);
  const config = fixedConfig(input.config);
  const retentionMs = LOG_RETENTION_MS;
  const follow = followWithSnapshots({ log, ctx, committer, retentionMs });
  let canRead: Scheduler['canRead'] = () => true;
  const ownership = startShardOwnership({
    ctx,
    cfg: {
      region: REGION,
      availabilityZone: zone,
      incarnation: input.incarnation,
      leaseMs: SHARD_LEASE_MS,
      renewEveryMs: RENEW_EVERY_MS,
      timing: SHARD_TIMING,
    },
    shards: () => shardsIn(input.config),
    peers,
    committer,
    follow,
    canRead: each => canRead(each),
  });
  const scheduler = startScheduler({
    ctx,
    cfg: {
      region: REGION,
      availabilityZone: zone,
      roundMs: 100,
      tasks: TASK_TIMING,
    },
    wall: () => WALL_START + time.clock(),
    config,
    hosts: { hosts: () => input.hosts, onChange: () => () => undefined },
    peers,
    committer,
    follow,
    ownership,
    agent: pausableAgent(input.workers, pausable),
  });
  canRead = scheduler.canRead;
  return {
    id,
    zone,
    ownership,
    scheduler,
    pausable,
    kill: () => {
      pausable.pause();
    },
    stop: async () => {
      const deadline = time.clock() + 10_000;
      await scheduler.drain(deadline);
      await ownership.releaseAll(deadline);
      scheduler.stop();
      ownership.stop();
      committer.stop();
    },
  };
}

function pausableAgent(workers: WorkerAgent, process: Pausable): WorkerAgent {
  return {
    command: (address, command) =>
      process.hold(workers.command(address, command)),
    sync: (address, req) => process.hold(workers.sync(address, req)),
  };
}

function peerView(self: string, live: () => readonly EntryHost[]): PeerView {
  const toPeer = (host: EntryHost): Peer => ({
    id: host.id,
    address: '',
    region: REGION,
    availabilityZone: host.zone,
    incarnation: '',
    state: 'ready',
    configOffset: 0,
    heardAt: 0,
  });
  return {
    self,
    peers: () =>
      live()
        .filter(host => host.id !== self)
        .map(toPeer),
    onChange: () => () => undefined,
  };
}

function fixedConfig(state: ConfigState): ConfigView {
  return {
    current: () => state,
    inForce: () => true,
    onChange: () => () => undefined,
  };
}

function shardsIn(config: ConfigState) {
  return [...config.objects.values()].flatMap(({ object }) =>
    object.kind === 'shard' ? [object] : [],
  );
}

function clusterConfig(options: ClusterOptions): ConfigState {
  const shards = options.zones.flatMap(zone =>
    range(options.shards).map(i =>
      shardSchema.parse({
        kind: 'shard',
        name: `${zone}-${i}`,
        region: REGION,
        availabilityZone: zone,
        racks: [`${zone}-rack-${i}`],
      }),
    ),
  );
  const objects = [...shards, ...(options.objects ?? [])];
  const entries = objects.map(
    object =>
      [objectKey(object.kind, object.name), { object, version: 0 }] as const,
  );
  return { offset: 1, objects: new Map(entries) };
}

function clusterHosts(options: ClusterOptions): Host[] {
  return options.zones.flatMap(zone =>
    range(options.shards).flatMap(shard =>
      range(options.workers).map(i => {
        const id = `${zone}-${shard}-worker-${i}`;
        return {
          id,
          role: 'worker' as const,
          state: 'live' as const,
          address: id,
          region: REGION,
          availabilityZone: zone,
          rack: `${zone}-rack-${shard}`,
          labels: { site: zone },
          capacity: options.capacity,
          endpoints: {},
        };
      }),
    ),
  );
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i);
}

/** Returns a job of tasks of one core that run for `seconds`. */
export function sleepJob(
  name: string,
  tasks: number,
  seconds: number,
  more: Partial<Record<keyof JobSpec, unknown>> = {},
): JobSpec {
  return jobSchema.parse({
    kind: 'job',
    name,
    team: 'team',
    tasks,
    size: { cpu: 1, memoryMiB: 256 },
    command: ['sleep', `${seconds}`],
    ...more,
  });
}
