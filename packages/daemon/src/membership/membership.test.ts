import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  appError,
  NO_RESOURCES,
  seededRandom,
  type AppError,
} from '@paddlewind/domain';
import type { Host, HostList } from '@paddlewind/ports';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import { type MembershipPart, startMembership } from './membership.js';
import { plainTransports } from './transports.js';

const PATIENCE_MS = 20_000;

interface Node {
  readonly id: string;
  readonly server: Server;
  readonly part: MembershipPart;
  offset: number;
}

interface FakeList extends HostList {
  hosts: Host[];
  failing: boolean;
}

function fakeList(): FakeList {
  const list: FakeList = {
    hosts: [],
    failing: false,
    list: () =>
      Promise.resolve<Result<readonly Host[], AppError>>(
        list.failing
          ? Result.err(appError('backend_failed', 'list is down'))
          : Result.ok(list.hosts),
      ),
  };
  return list;
}

async function eventually(condition: () => boolean): Promise<void> {
  const giveUp = performance.now() + PATIENCE_MS;
  while (!condition()) {
    assert.ok(performance.now() < giveUp, 'condition not met in time');
    await sleep(5);
  }
}

function entryHost(id: string, address: string): Host {
  return {
    id,
    role: 'entry',
    state: 'live',
    address,
    region: 'r',
    availabilityZone: 'a',
    rack: 'r1',
    labels: {},
    capacity: NO_RESOURCES,
    endpoints: {},
  };
}

async function startNode(
  t: TestContext,
  id: string,
  list: FakeList,
): Promise<Node> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const host = entryHost(id, `127.0.0.1:${port}`);
  list.hosts = [...list.hosts, host];
  const part = startMembership({
    ctx: {
      clock: () => performance.now(),
      random: seededRandom(port),
      log: pino({ level: 'silent' }),
      metrics: new Registry(),
    },
    self: host,
    hostList: list,
    transports: plainTransports(),
    configOffset: () => node.offset,
    readiness: () => 'ready',
    settings: { intervalMs: 50, callTimeoutMs: 1_000, suspicionMs: 200 },
    hostListPollMs: 20,
  });
  const node: Node = { id, server, part, offset: 1 };
  server.on('request', connectNodeAdapter({ routes: part.peerRoutes }));
  t.after(() => {
    part.stop();
    server.closeAllConnections();
    server.close();
  });
  return node;
}

function readyPeers(node: Node): string[] {
  const peers = node.part.peers.peers();
  return peers.filter(peer => peer.state === 'ready').map(peer => peer.id);
}

test('hosts exchange offsets over HTTP', async t => {
  const list = fakeList();
  const a = await startNode(t, 'a', list);
  const b = await startNode(t, 'b', list);
  await eventually(() => readyPeers(a).includes('b'));
  await eventually(() => readyPeers(b).includes('a'));

  a.offset = 42;
  await eventually(() => b.part.peers.peers()[0]?.configOffset === 42);
});

test('a dead peer goes, one that leaves says so', async t => {
  const list = fakeList();
  const a = await startNode(t, 'a', list);
  const b = await startNode(t, 'b', list);
  const c = await startNode(t, 'c', list);
  await eventually(() =>
    [a, b, c].every(node => readyPeers(node).length === 2),
  );

  await b.part.leave(performance.now() + PATIENCE_MS);
  const states = a.part.peers.peers().map(peer => `${peer.id} ${peer.state}`);
  assert.ok(states.includes('b leaving'));
  const listed = a.part.hosts.hosts().find(host => host.id === 'b');
  assert.equal(listed?.state, 'leaving');

  c.part.stop();
  c.server.closeAllConnections();
  c.server.close();
  await eventually(() => !a.part.peers.peers().some(peer => peer.id === 'c'));
});

test('the last good host list is kept while the list fails', async t => {
  const list = fakeList();
  const a = await startNode(t, 'a', list);
  await eventually(() => a.part.hosts.hosts().length === 1);
  list.failing = true;
  await sleep(60);
  assert.equal(a.part.hosts.hosts().length, 1);
  list.failing = false;
  list.hosts = [...list.hosts, entryHost('z', '127.0.0.1:1')];
  await eventually(() => a.part.hosts.hosts().length === 2);
});
