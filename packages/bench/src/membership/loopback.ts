/** Bytes and processor time of heartbeats over loopback, all hosts in one process. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  type MembershipPart,
  plainTransports,
  startMembership,
} from '@paddlewind/daemon';
import { type Millis, NO_RESOURCES, seededRandom } from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import { report } from '../report.js';

const SETTLE_MS = 3_000;
const RUN_MS = 10_000;

interface Counter {
  bytes(): number;
}

/** Counts bytes in both directions at the server's end; every connection has one. */
function countBytes(server: Server): Counter {
  const sockets = new Set<Socket>();
  let closed = 0;
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      closed += socket.bytesRead + socket.bytesWritten;
    });
  });
  return {
    bytes: () =>
      [...sockets].reduce(
        (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
        closed,
      ),
  };
}

function hostAt(id: string, address: string): Host {
  return {
    id,
    role: 'entry',
    state: 'live',
    address,
    region: 'r1',
    availabilityZone: 'r1-a',
    rack: 'k1',
    labels: {},
    capacity: NO_RESOURCES,
    endpoints: {},
  };
}

async function startHost(index: number, hosts: Host[], intervalMs: Millis) {
  const server = createServer();
  const counter = countBytes(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const self = hostAt(`entry-${index}`, `127.0.0.1:${port}`);
  hosts.push(self);
  const part: MembershipPart = startMembership({
    ctx: {
      clock: () => performance.now(),
      random: seededRandom(index),
      log: pino({ level: 'silent' }),
      metrics: new Registry(),
    },
    self,
    hostList: { list: () => Promise.resolve(Result.ok([...hosts])) },
    transports: plainTransports(),
    configOffset: () => 1_000,
    readiness: () => 'ready',
    settings: { intervalMs },
    hostListPollMs: 500,
  });
  server.on('request', connectNodeAdapter({ routes: part.peerRoutes }));
  const stop = (): void => {
    part.stop();
    server.closeAllConnections();
    server.close();
  };
  return { counter, stop };
}

/** Prints bytes a second (sent and received) and the share of a core that one host takes. */
export async function benchLoopback(
  count: number,
  intervalMs: Millis,
): Promise<void> {
  const hosts: Host[] = [];
  const running: Awaited<ReturnType<typeof startHost>>[] = [];
  for (let index = 0; index < count; index++) {
    running.push(await startHost(index, hosts, intervalMs));
  }
  await sleep(SETTLE_MS);
  const total = () =>
    running.reduce((sum, host) => sum + host.counter.bytes(), 0);
  const bytesBefore = total();
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  await sleep(RUN_MS);
  const seconds = (performance.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const bytes = total() - bytesBefore;
  running.forEach(host => {
    host.stop();
  });
  const cpuSeconds = (cpu.user + cpu.system) / 1e6;
  report({
    bench: 'membership.loopback',
    hosts: count,
    intervalMs,
    sentBytesPerSecond: Math.round(bytes / seconds / count),
    corePercent: Math.round((cpuSeconds / seconds / count) * 1e4) / 100,
  });
}
