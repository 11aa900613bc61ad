import assert from 'node:assert/strict';
import { get } from 'node:http';
import test, { after, before } from 'node:test';

import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { OperatorService } from '@paddlewind/protocol';
import {
  startBackendServer,
  startHostListServer,
  startLogServer,
  startWorkerServer,
} from '@paddlewind/stand-ins';
import { pino } from 'pino';

import { startEntryHost, type EntryHost } from './entry-host.js';
import { splitAddress } from './listening.js';
import { settingsSchema } from './settings/schema.js';

const CAPACITY = { cpu: 16, memoryMiB: 61_440, accelerators: 0 };
const CALL_MS = 20_000;

const DECLARATIONS = [
  { kind: 'team', name: 'members', quota: CAPACITY },
  {
    kind: 'shard',
    name: 'salem',
    region: 'northwest',
    availabilityZone: 'salem',
    racks: ['rack-1'],
  },
  {
    kind: 'service',
    name: 'memberlink',
    team: 'members',
    workers: { labels: { pool: 'memberlink' } },
    size: { cpu: 6, memoryMiB: 16_384 },
    slots: 8,
    connections: 64,
    route: { host: 'memberlink.example' },
    objective: { target: 0.999, latencyMs: 150 },
  },
];

const JOB = {
  kind: 'job',
  name: 'statements',
  team: 'members',
  tasks: 2,
  size: { cpu: 2, memoryMiB: 1_024 },
  command: ['statement-batch'],
  expectedSeconds: 0.2,
};

const closers: (() => Promise<void>)[] = [];
let host: EntryHost;
let client: Client<typeof OperatorService>;

before(async () => {
  const log = await startLogServer({});
  const backend = await startBackendServer({ backend: 'b1' });
  const worker = await startWorkerServer({ worker: 'w1', capacity: CAPACITY });
  const hosts = await startHostListServer({
    hosts: [
      {
        id: 'w1',
        role: 'worker',
        state: 'live',
        address: worker.address,
        region: 'northwest',
        availabilityZone: 'salem',
        rack: 'rack-1',
        labels: { pool: 'memberlink' },
        capacity: CAPACITY,
        endpoints: { memberlink: backend.address },
      },
    ],
  });
  closers.push(
    ...[log, backend, worker, hosts].map(each => () => each.close()),
  );
  host = await startEntryHost(
    settingsFor(log.address, hosts.address),
    pino({ level: 'silent' }),
  );
  client = createClient(
    OperatorService,
    createConnectTransport({
      baseUrl: `http://${host.addresses.peers}`,
      httpVersion: '1.1',
    }),
  );
  await until(
    async () => (await fetchStatus(host.addresses.admin, '/readyz')) === 200,
  );
});

after(async () => {
  await host.stop();
  await Promise.all(closers.map(close => close()));
});

function settingsFor(log: string, hostList: string) {
  const listen = '127.0.0.1:0';
  return settingsSchema.parse({
    host: { id: 'entry-1', region: 'northwest', availabilityZone: 'salem' },
    router: { listen },
    peers: { listen },
    admin: { listen },
    platform: { log, hostList, hostListPollMs: 50 },
    shutdown: { balancerMs: 0, drainMs: 2_000 },
  });
}

function fetchStatus(
  address: string,
  path: string,
  hostHeader = address,
): Promise<number> {
  const { host: ip, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    get({ host: ip, port, path, headers: { host: hostHeader } }, res => {
      res.resume();
      res.on('end', () => {
        resolve(res.statusCode ?? 0);
      });
    }).on('error', reject);
  });
}

/** Polls until `condition` holds; the test's timeout is the bound. */
async function until(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise(resolve => setTimeout(resolve, 25));
  }
}

test('configuration, a request and a job go the whole path', async () => {
  const changes = DECLARATIONS.map(({ kind, name, ...rest }) => ({
    kind,
    name,
    baseVersion: 0n,
    declarationJson: JSON.stringify({ kind, name, ...rest }),
  }));
  const { offset } = await client.apply({ id: 'first', changes });
  const waited = await client.waitInForce({ offset, timeoutMs: CALL_MS });
  assert.deepEqual(waited.waitingFor, []);

  const { router } = host.addresses;
  await until(
    async () =>
      (await fetchStatus(router, '/balance', 'memberlink.example')) === 200,
  );
  assert.equal(await fetchStatus(router, '/balance', 'unknown.example'), 404);

  await client.submitJob({
    id: JOB.name,
    declarationJson: JSON.stringify(JOB),
  });
  await until(async () => {
    const status = await client.jobStatus({ id: JOB.name });
    return status.state === 'completed';
  });
});

test('a change set that is repeated is accepted once', async () => {
  const team = { kind: 'team', name: 'twice', quota: CAPACITY };
  const change = {
    kind: 'team',
    name: 'twice',
    baseVersion: 0n,
    declarationJson: JSON.stringify(team),
  };
  const first = await client.apply({ id: 'same', changes: [change] });
  const second = await client.apply({ id: 'same', changes: [change] });
  assert.equal(second.offset, first.offset);
  await assert.rejects(
    client.apply({ id: 'other', changes: [change] }),
    /twice/,
  );
});

test('metrics carry the parts', async () => {
  const { host: ip, port } = splitAddress(host.addresses.admin);
  const res = await fetch(`http://${ip}:${port}/metrics`);
  assert.match(await res.text(), /paddlewind_/);
});

test('the report on burn counts requests and tasks', async () => {
  const burn = await client.burn({});
  const served = burn.windows.find(
    row => row.service === 'memberlink' && row.availabilityZone === 'salem',
  );
  assert.ok(Number(served?.requests) > 0);
  assert.equal(served?.objective, '99.9 % within 150 ms');
  assert.equal(burn.batchCompleted, 2n);
  assert.deepEqual([burn.hosts, burn.missing], [['entry-1'], []]);
});
