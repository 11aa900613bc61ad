/** Composes the parts of an entry host and stops them gracefully. */
import { randomUUID } from 'node:crypto';

import { objectsOf, type Instant } from '@paddlewind/domain';
import {
  createHttpHostList,
  createHttpLogService,
  createHttpWorkerAgent,
} from '@paddlewind/ports';
import type { Logger } from 'pino';
import { Registry, collectDefaultMetrics } from 'prom-client';

import { startAdmin } from './admin/server.js';
import {
  fetchConfigBy,
  registerFetchConfig,
  startConfig,
  type Config,
} from './config/index.js';
import { createFleet } from './fleet.js';
import { startInterference, type Interference } from './interference/index.js';
import { splitAddress } from './listening.js';
import {
  createCommitter,
  followRetained,
  followWithSnapshots,
  type StoppableCommitter,
} from './log/index.js';
import { startMembership, type MembershipPart } from './membership/index.js';
import {
  createBurnReport,
  startObjectives,
  type Objectives,
} from './objectives/index.js';
import { registerOperatorService } from './operator/app.js';
import type { PartContext } from './parts.js';
import { openPeerServer, type PeerServer } from './peer-server.js';
import { startRouter, type RouterHandle } from './router/index.js';
import { startScheduler, type Scheduler } from './scheduler/index.js';
import type { Settings } from './settings/schema.js';
import { startShardOwnership, type ShardOwnership } from './shards/index.js';
import { ownershipTiming, renewEvery, taskTiming } from './timing.js';

/** A running entry host. */
export interface EntryHost {
  /** `ip:port` for callers, for peers and operators, and for metrics. */
  readonly addresses: EntryHostAddresses;
  /** Stops gracefully: unready, requests finish, shards are released. */
  readonly stop: () => Promise<void>;
}

/** Where an entry host listens, each `ip:port`. */
export interface EntryHostAddresses {
  readonly router: string;
  readonly peers: string;
  readonly admin: string;
}

/** What every part of this entry host shares. */
/** The clock of all parts, `performance.now()`, counts from the start of the process. */
const PROCESS_START: Instant = 0;

interface Base {
  readonly settings: Settings;
  readonly metrics: Registry;
  readonly platform: Platform;
  readonly committer: StoppableCommitter;
  readonly ctx: PartContext;
}

type Platform = ReturnType<typeof connectPlatform>;

interface SharedState {
  readonly membership: MembershipPart;
  readonly config: Config;
}

interface Work {
  readonly ownership: ShardOwnership;
  readonly scheduler: Scheduler;
  readonly interference: Interference;
  readonly router: RouterHandle;
  readonly objectives: Objectives;
}

/** Starts every part; resolves once callers can be served. */
export async function startEntryHost(
  settings: Settings,
  log: Logger,
): Promise<EntryHost> {
  const base = createBase(settings, log);
  const peerServer = await openPeerServer(base.ctx, settings.peers);
  let stopping = false;
  const shared = startSharedState(
    base,
    peerServer,
    () => notReady().length === 0,
  );
  const notReady = () => reasonsNotReady(shared, stopping);
  const work = await startWork(base, shared);
  serveCalls(base, peerServer, shared, work, notReady);
  const admin = await startAdmin(settings.admin.listen, base.metrics, notReady);
  const addresses = {
    router: work.router.address,
    peers: peerServer.address,
    admin: admin.address,
  };
  log.info(addresses, 'daemon: serving');

  async function stop(): Promise<void> {
    stopping = true;
    log.info('daemon: stopping');
    await stopWork(settings, shared, work);
    stopSharedState(base, shared);
    await Promise.all([peerServer.close(), admin.close()]);
    await closePlatform(base.platform);
    log.info('daemon: stopped');
  }

  return { addresses, stop };
}

function createBase(settings: Settings, log: Logger): Base {
  const metrics = new Registry();
  collectDefaultMetrics({ register: metrics });
  const ctx: PartContext = {
    clock: () => performance.now(),
    random: Math.random,
    log,
    metrics,
  };
  const platform = connectPlatform(settings);
  const committer = createCommitter({
    log: platform.log,
    ctx,
    appendsPerSecond: settings.platform.appendsPerSecond,
  });
  return { settings, metrics, platform, committer, ctx };
}

function connectPlatform({ platform }: Settings) {
  return {
    log: createHttpLogService(platform.log),
    hostList: createHttpHostList(platform.hostList),
    agent: createHttpWorkerAgent(),
  };
}

async function closePlatform(platform: Platform): Promise<void> {
  const { log, hostList, agent } = platform;
  await Promise.all([log.close(), hostList.close(), agent.close()]);
}

function startSharedState(
  base: Base,
  peerServer: PeerServer,
  isReady: () => boolean,
): SharedState {
  const { settings, platform } = base;
  const { transports } = peerServer;
  let config: Config | undefined = undefined;
  const membership = startMembership({
    ctx: base.ctx,
    self: { ...settings.host, address: peerServer.address },
    hostList: platform.hostList,
    transports,
    configOffset: () => config?.offset() ?? 0,
    readiness: () => (isReady() ? 'ready' : 'not_ready'),
    settings: { intervalMs: settings.peers.heartbeatMs },
    hostListPollMs: settings.platform.hostListPollMs,
  });
  const { ctx } = base;
  config = startConfig({
    ctx,
    log: platform.log,
    committer: base.committer,
    peers: membership.peers,
    fetch: fetchConfigBy(transports, ctx),
    retentionMs: settings.platform.logRetentionMs,
  });
  return { membership, config };
}

async function startWork(base: Base, shared: SharedState): Promise<Work> {
  const { settings, platform, committer } = base;
  const { membership, config } = shared;
  const { region, availabilityZone } = settings.host;
  const follow = followWithSnapshots({
    log: platform.log,
    ctx: base.ctx,
    committer,
    retentionMs: settings.platform.logRetentionMs,
  });
  const { shardLeaseMs } = settings.scheduler;
  let canRead: Scheduler['canRead'] = () => true;
  const ownership = startShardOwnership({
    ctx: base.ctx,
    cfg: {
      region,
      availabilityZone,
      incarnation: randomUUID(),
      leaseMs: shardLeaseMs,
      renewEveryMs: renewEvery(shardLeaseMs),
      timing: ownershipTiming(),
    },
    shards: () =>
      objectsOf(config.current(), 'shard').filter(
        shard => shard.region === region,
      ),
    peers: membership.peers,
    committer,
    follow,
    ready: () => config.inForce(),
    canRead: zone => canRead(zone),
  });
  const { hosts, peers } = membership;
  const interference = startInterference({
    ctx: base.ctx,
    cfg: { region, availabilityZone },
    wall: Date.now,
    config,
    hosts,
  });
  const scheduler = startScheduler({
    ctx: base.ctx,
    cfg: {
      region,
      availabilityZone,
      roundMs: settings.scheduler.roundMs,
      tasks: taskTiming(settings.scheduler),
    },
    wall: Date.now,
    config,
    hosts,
    peers,
    committer,
    follow,
    ownership,
    agent: platform.agent,
    penalty: interference.penalty,
    onReport: interference.onReport,
  });
  canRead = scheduler.canRead;
  const router = await startCallersRouter(base, shared);
  interference.connect(scheduler.attempts, router.latency);
  const objectives = startObjectives({
    ctx: base.ctx,
    self: settings.host,
    config,
    hosts: membership.hosts,
    requests: router.requests,
    jobsOn: worker => scheduler.jobsOn(worker),
    batchTotals: () => scheduler.batchTotals(),
  });
  return { ownership, scheduler, interference, router, objectives };
}

function startCallersRouter(
  { ctx, settings, committer, platform }: Base,
  { membership, config }: SharedState,
): Promise<RouterHandle> {
  const { host, router, shutdown, entryHosts } = settings;
  return startRouter({
    ctx,
    committer,
    follow: (stream, onBatch) =>
      followRetained({ log: platform.log, stream, ctx, onBatch }),
    cfg: config,
    hosts: membership.hosts,
    peers: membership.peers,
    settings: {
      listen: splitAddress(router.listen),
      limits: {
        maxHeaderBytes: router.maxHeaderBytes,
        headersTimeoutMs: router.headersTimeoutMs,
        bodyIdleTimeoutMs: router.bodyIdleTimeoutMs,
        drainGraceMs: shutdown.balancerMs,
      },
      availabilityZone: host.availabilityZone,
      region: host.region,
      hostId: host.id,
      entryHosts,
      joinedAt: PROCESS_START,
    },
  });
}

function serveCalls(
  base: Base,
  peerServer: PeerServer,
  shared: SharedState,
  work: Work,
  notReady: () => readonly string[],
): void {
  const { config, membership } = shared;
  const { scheduler, ownership } = work;
  const fleet = createFleet({
    config,
    hosts: membership.hosts,
    peers: membership.peers,
    scheduler,
    ownership,
    ready: () => notReady().length === 0,
    burn: createBurnReport({
      own: () => work.objectives.burn(),
      peers: membership.peers,
      transports: peerServer.transports,
    }),
  });
  const { clock } = base.ctx;
  peerServer.serve([
    membership.peerRoutes,
    router => {
      registerFetchConfig(router, config);
    },
    router => {
      const deps = { clock, config, jobs: scheduler, fleet, notReady };
      registerOperatorService(router, deps);
    },
  ]);
}

function reasonsNotReady(
  { membership, config }: SharedState,
  stopping: boolean,
): string[] {
  const reasons: string[] = [];
  if (stopping) {
    reasons.push('this host is stopping');
  }
  const problem = config.problem();
  if (problem !== undefined) {
    reasons.push(problem);
  }
  if (membership.cutOff() && !config.inForce()) {
    reasons.push('no peer and no log can be reached');
  }
  return reasons;
}

/** Requests finish while tasks are handed over; what still runs at the deadline is broken off. */
async function stopWork(
  settings: Settings,
  { membership }: SharedState,
  { ownership, scheduler, interference, router, objectives }: Work,
): Promise<void> {
  const { balancerMs, drainMs } = settings.shutdown;
  const deadline: Instant = performance.now() + balancerMs + drainMs;
  interference.stop();
  await Promise.all([
    membership.leave(deadline),
    router.drain(deadline),
    scheduler.drain(deadline).then(() => ownership.releaseAll(deadline)),
  ]);
  objectives.stop();
  scheduler.stop();
  ownership.stop();
}

function stopSharedState(
  { committer }: Base,
  { membership, config }: SharedState,
): void {
  committer.stop();
  config.stop();
  membership.stop();
}
