/** Entry hosts as processes over a log and a host list in this process, for the configuration benchmark. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Host } from '@paddlewind/ports';
import { OperatorService } from '@paddlewind/protocol';
import {
  startHostListServer,
  startLogServer,
  type LogServer,
} from '@paddlewind/stand-ins';

import { freePorts } from '../processes/free-ports.js';
import { createProcessGroup, type Child } from '../processes/process-group.js';
import { until } from '../processes/until.js';

const PORTS_PER_HOST = 3;
const READY_LIMIT_MS = 30_000;
const DAEMON = new URL('../../../daemon/dist/main.js', import.meta.url);

/** An entry host that runs as a process. */
export interface EntryProcess {
  readonly id: string;
  readonly child: Child;
  readonly operators: Client<typeof OperatorService>;
  /** `http://ip:port` of its metrics. */
  readonly admin: string;
}

/** The entry hosts, and the log that they share. */
export interface Fleet {
  readonly log: LogServer;
  readonly hosts: readonly EntryProcess[];
  close(): Promise<void>;
}

interface Ports {
  readonly router: string;
  readonly peers: string;
  readonly admin: string;
}

/** Starts `count` entry hosts and waits until all are ready. */
export async function startFleet(count: number): Promise<Fleet> {
  const directory = mkdtempSync(join(tmpdir(), 'paddlewind-'));
  const group = createProcessGroup();
  const log = await startLogServer({ host: '127.0.0.1', port: 0 });
  const hostList = await startHostListServer({ host: '127.0.0.1', port: 0 });
  const ports = await freePorts(count * PORTS_PER_HOST);
  const at = (index: number): string => `127.0.0.1:${ports[index] ?? 0}`;
  const hosts = Array.from({ length: count }, (_, index): EntryProcess => {
    const id = `entry-${index}`;
    const own = {
      router: at(index * PORTS_PER_HOST),
      peers: at(index * PORTS_PER_HOST + 1),
      admin: at(index * PORTS_PER_HOST + 2),
    };
    hostList.put(listed(id, index, own.peers));
    const file = join(directory, `${id}.json`);
    const settings = settingsOf(id, index, own, log, hostList.address);
    writeFileSync(file, JSON.stringify(settings));
    const child = group.start({
      name: id,
      args: [fileURLToPath(DAEMON), '--settings', file],
      logFile: join(directory, `${id}.log`),
    });
    return {
      id,
      child,
      operators: operatorsAt(own.peers),
      admin: `http://${own.admin}`,
    };
  });
  await Promise.all(hosts.map(untilReady));
  return {
    log,
    hosts,
    close: async () => {
      await group.close();
      await Promise.all([log.close(), hostList.close()]);
      rmSync(directory, { recursive: true });
    },
  };
}

function zoneOf(index: number): string {
  return `z${index % 3}`;
}

function listed(id: string, index: number, address: string): Host {
  return {
    id,
    role: 'entry',
    state: 'live',
    address,
    region: 'r1',
    availabilityZone: zoneOf(index),
    rack: `rack-${index}`,
    labels: {},
    capacity: { cpu: 0, memoryMiB: 0, accelerators: 0 },
    endpoints: {},
  };
}

function settingsOf(
  id: string,
  index: number,
  own: Ports,
  log: LogServer,
  hostList: string,
) {
  return {
    host: { id, region: 'r1', availabilityZone: zoneOf(index) },
    router: { listen: own.router },
    peers: { listen: own.peers },
    admin: { listen: own.admin },
    platform: { log: log.address, hostList },
    logLevel: 'warn',
  };
}

function operatorsAt(address: string): Client<typeof OperatorService> {
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
  });
  return createClient(OperatorService, transport);
}

async function untilReady(host: EntryProcess): Promise<void> {
  const ready = await until(async () => {
    const res = await fetch(`${host.admin}/readyz`).catch(() => undefined);
    return res?.status === 200 ? true : undefined;
  }, READY_LIMIT_MS);
  if (ready === undefined) {
    throw new Error(`${host.id} is not ready`);
  }
}
