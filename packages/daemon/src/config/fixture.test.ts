/** Several configurations over one log, with peers that can be cut and hosts that restart. */
import {
  appError,
  objectSchema,
  seededRandom,
  type AppError,
  type ConfigObject,
  type ConfigState,
  type Instant,
  type ProposedChange,
} from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import {
  createMemoryLog,
  createVirtualTime,
  type MemoryLog,
  type MemoryLogOptions,
  type VirtualTime,
} from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import { createListeners, type Listeners } from '../core/listeners.js';
import { createCommitter, type StoppableCommitter } from '../log/committer.js';
import type { PartContext, Peer, PeerView } from '../parts.js';
import { startConfig, type Config, type ConfigOptions } from './start.js';

const HEARTBEAT_MS = 1_000;

/** A host of the cluster; `config` changes when it restarts. */
export interface TestHost {
  readonly id: string;
  config: Config;
  committer: StoppableCommitter;
  /** Cuts this host off from the log, from its peers, or both. */
  readonly cut: { log: boolean; peers: boolean };
  /** States served by this process, in order. */
  served: ConfigState[];
  /** Called with each state that is served. */
  onServed: (state: ConfigState) => void;
}

/** The log, the hosts and the time that they share. */
export interface Cluster {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly hosts: TestHost[];
  host(index: number): TestHost;
  /** Highest offset that a host last heard of from peers that serve. */
  heardBy(index: number): number;
  restart(index: number): void;
  /** Applies a team's declaration through a host. */
  apply(
    index: number,
    id: string,
    change: ProposedChange,
    span?: number,
  ): Promise<Result<number, AppError>>;
  stop(): void;
}

/** Returns a team's declaration. */
export function team(name: string, weight = 1): ConfigObject {
  const quota = { cpu: 1, memoryMiB: 1 };
  return objectSchema.parse({ kind: 'team', name, quota, weight });
}

/** Returns the change that declares `object`. */
export function put(object: ConfigObject, baseVersion = 0): ProposedChange {
  const { kind, name } = object;
  return { kind, name, baseVersion, declaration: object };
}

/** Runs the clock until `promise` settles and returns its value. */
export async function settled<T>(
  { time }: Pick<Cluster, 'time'>,
  promise: Promise<T>,
): Promise<T> {
  let isDone = false;
  void promise.then(() => {
    isDone = true;
  });
  await time.until(() => isDone);
  return promise;
}

/** Starts a cluster; heartbeats carry offsets every second. */
export function startVirtualHosts(
  count: number,
  settings: Partial<ConfigOptions> & {
    readonly seed?: number;
    readonly log?: LogService;
    readonly retainMs?: number;
  } = {},
): Cluster {
  const time = createVirtualTime();
  const { seed = 1, retainMs, ...options } = settings;
  const logOptions: MemoryLogOptions =
    retainMs === undefined ? time : { ...time, retainMs };
  const log = createMemoryLog(logOptions);
  const random = seededRandom(seed);
  const told = new Map<string, Map<string, Peer>>();
  const changes = new Map<string, Listeners<[]>>();
  const hosts: TestHost[] = [];

  function start(
    id: string,
    cut: TestHost['cut'],
  ): Pick<TestHost, 'config' | 'committer'> {
    const ctx: PartContext = {
      ...time,
      random,
      log: pino({ level: 'silent' }),
      metrics: new Registry(),
    };
    const own = cutLog(log, () => cut.log);
    const committer = createCommitter({ log: own, ctx });
    told.set(id, new Map());
    const config = startConfig({
      ctx,
      log: own,
      committer,
      peers: peerView(id),
      fetch: (peer, least) => fetchFrom(id, peer.id, least),
      ...options,
    });
    return { config, committer };
  }

  function peerView(id: string): PeerView {
    const listeners = createListeners<[]>();
    changes.set(id, listeners);
    return {
      self: id,
      peers: () => [...(told.get(id)?.values() ?? [])],
      onChange: listener => listeners.add(listener),
    };
  }

  function fetchFrom(from: string, to: string, least: number) {
    const source = hosts.find(host => host.id === to);
    return source === undefined || !areConnected(from, to)
      ? Promise.resolve(
          Result.err<never, AppError>(appError('not_ready', 'cut')),
        )
      : source.config.snapshot(least);
  }

  function areConnected(a: string, b: string): boolean {
    return hosts.every(
      host => (host.id !== a && host.id !== b) || !host.cut.peers,
    );
  }

  function beat(): void {
    for (const host of hosts) {
      tellPeers(host);
    }
    changes.forEach(listeners => listeners.emit());
    time.schedule(HEARTBEAT_MS, beat);
  }

  function tellPeers(sender: TestHost): void {
    for (const receiver of hosts) {
      const known = told.get(receiver.id);
      if (receiver === sender) {
        continue;
      }
      if (areConnected(sender.id, receiver.id)) {
        known?.set(sender.id, peerOf(sender, time.clock()));
      } else {
        suspect(known, sender.id);
      }
    }
  }

  for (let i = 0; i < count; i++) {
    const cut = { log: false, peers: false };
    const host: TestHost = {
      id: `h${i}`,
      cut,
      served: [],
      onServed: () => undefined,
      ...start(`h${i}`, cut),
    };
    hosts.push(host);
    watchServed(host);
  }
  beat();

  function hostAt(index: number): TestHost {
    const host = hosts[index];
    if (host === undefined) {
      throw new Error(`no host ${index}`);
    }
    return host;
  }

  return {
    time,
    log,
    hosts,
    host: hostAt,
    heardBy: index => {
      const peers = [...(told.get(hostAt(index).id)?.values() ?? [])];
      const ready = peers.filter(peer => peer.state === 'ready');
      return Math.max(0, ...ready.map(peer => peer.configOffset));
    },
    restart: index => {
      const host = hostAt(index);
      host.config.stop();
      host.committer.stop();
      host.served = [];
      Object.assign(host, start(host.id, host.cut));
      watchServed(host);
    },
    apply: (index, id, change, span = 10_000) =>
      hostAt(index).config.apply(id, [change], time.clock() + span),
    stop: () => {
      hosts.forEach(host => {
        host.config.stop();
        host.committer.stop();
      });
    },
  };
}

function watchServed(host: TestHost): void {
  host.config.onChange(state => {
    host.served.push(state);
    host.onServed(state);
  });
}

function suspect(known: Map<string, Peer> | undefined, id: string): void {
  const peer = known?.get(id);
  if (peer !== undefined) {
    known?.set(id, { ...peer, state: 'suspected' });
  }
}

function peerOf(host: TestHost, now: Instant): Peer {
  return {
    id: host.id,
    address: host.id,
    region: 'r',
    availabilityZone: 'z',
    incarnation: '1',
    state: host.config.inForce() ? 'ready' : 'not_ready',
    configOffset: host.config.offset(),
    heardAt: now,
  };
}

function cutLog(log: LogService, isCut: () => boolean): LogService {
  const unavailable = <T>(): Result<T, AppError> =>
    Result.err(appError('log_unavailable', 'cut', { outcome: 'not_run' }));
  return {
    append: (stream, payload) =>
      isCut() ? Promise.resolve(unavailable()) : log.append(stream, payload),
    read: async req => {
      const page = isCut() ? unavailable<never>() : await log.read(req);
      return isCut() ? unavailable() : page;
    },
  };
}
