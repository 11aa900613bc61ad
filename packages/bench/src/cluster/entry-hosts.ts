/** Entry hosts as processes, each with a settings file in a temporary directory. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import type { Host } from '@paddlewind/ports';

import { freePorts } from '../processes/free-ports.js';
import type { Child, ProcessGroup } from '../processes/process-group.js';
import { until } from '../processes/until.js';
import type { Platform } from './platform.js';

/** An entry host; its process may be started again. */
export interface EntryHost {
  readonly id: string;
  /** `ip:port` for callers. */
  readonly router: string;
  /** `ip:port` for operators and other entry hosts. */
  readonly peers: string;
  readonly listed: Host;
  /** The process, the last one when it was started again. */
  child(): Child;
  start(): void;
  isReady(): Promise<boolean>;
}

/** What entry hosts are started with. */
export interface EntryHostOptions {
  readonly group: ProcessGroup;
  readonly platform: Platform;
  /** Directory of settings and logs. */
  readonly directory: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  /** Time that the log keeps entries, where that is short. */
  readonly retentionMs?: number;
}

const DAEMON = fileURLToPath(
  new URL('../../../daemon/dist/main.js', import.meta.url),
);
const PORTS_EACH = 3;
const PROBE_MS = 500;

/** Leases and waits that let a run of seconds show a hand-over. */
const TIMING = {
  scheduler: { shardLeaseMs: 3_000, taskLeaseMs: 5_000, roundMs: 50 },
  shutdown: { balancerMs: 1_000, drainMs: 5_000 },
};
const HEARTBEAT_MS = 250;
const HOST_LIST_POLL_MS = 500;

/** Starts one entry host for each availability zone given. */
export async function startEntryHosts(
  options: EntryHostOptions,
): Promise<EntryHost[]> {
  const zones = options.availabilityZones;
  const ports = await freePorts(zones.length * PORTS_EACH);
  const hosts = zones.map((zone, i) => {
    const own = ports.slice(i * PORTS_EACH, (i + 1) * PORTS_EACH);
    return createEntryHost(options, zone, `entry-${i + 1}`, own);
  });
  hosts.forEach(host => {
    options.platform.hosts.put(host.listed);
  });
  hosts.forEach(host => {
    host.start();
  });
  return hosts;
}

/** Waits until every entry host is ready; false when one is not in time. */
export async function allReady(
  hosts: readonly EntryHost[],
  limitMs: number,
): Promise<boolean> {
  const ready = await until(async () => {
    const states = await Promise.all(hosts.map(host => host.isReady()));
    return states.every(Boolean) ? true : undefined;
  }, limitMs);
  return ready ?? false;
}

function createEntryHost(
  options: EntryHostOptions,
  availabilityZone: string,
  id: string,
  ports: readonly number[],
): EntryHost {
  const [router = '', peers = '', admin = ''] = ports.map(
    port => `127.0.0.1:${port}`,
  );
  const { group, directory, region } = options;
  const settings = join(directory, `${id}.json`);
  const host = { id, region, availabilityZone };
  const listen = { router, peers, admin };
  const planned = options.availabilityZones.length;
  const content = settingsOf(options, host, listen, planned);
  writeFileSync(settings, JSON.stringify(content, null, 2));
  let child: Child | undefined;
  return {
    id,
    router,
    peers,
    listed: listedHost(host, peers),
    child() {
      if (child === undefined) {
        throw new Error(`${id} was not started`);
      }
      return child;
    },
    start() {
      const logFile = join(directory, `${id}.log`);
      const args = [DAEMON, '--settings', settings];
      child = group.start({ name: id, args, logFile });
    },
    isReady: () => probe(`http://${admin}/readyz`),
  };
}

interface Place {
  readonly id: string;
  readonly region: string;
  readonly availabilityZone: string;
}

function settingsOf(
  { platform, retentionMs }: EntryHostOptions,
  host: Place,
  listen: { router: string; peers: string; admin: string },
  entryHosts: number,
): object {
  return {
    host,
    router: { listen: listen.router },
    peers: { listen: listen.peers, heartbeatMs: HEARTBEAT_MS },
    admin: { listen: listen.admin },
    platform: {
      log: platform.log.address,
      hostList: platform.hosts.address,
      hostListPollMs: HOST_LIST_POLL_MS,
      logRetentionMs: retentionMs,
    },
    entryHosts,
    ...TIMING,
  };
}

function listedHost(place: Place, address: string): Host {
  return {
    ...place,
    role: 'entry',
    state: 'live',
    address,
    rack: 'entry',
    labels: {},
    capacity: { cpu: 1, memoryMiB: 1_024, accelerators: 0 },
    endpoints: {},
  };
}

async function probe(url: string): Promise<boolean> {
  try {
    const res = await fetch(url, { signal: AbortSignal.timeout(PROBE_MS) });
    await res.text();
    return res.ok;
  } catch {
    return false;
  }
}
