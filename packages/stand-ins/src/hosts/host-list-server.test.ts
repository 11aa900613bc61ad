import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';

import {
  createHttpHostList,
  type Host,
  type HostList,
} from '@paddlewind/ports';

import {
  startHostListServer,
  type HostListServer,
} from './host-list-server.js';

const HOST: Host = {
  id: 'w1',
  role: 'worker',
  state: 'live',
  address: '127.0.0.1:1',
  region: 'r',
  availabilityZone: 'tacoma',
  rack: 'r1',
  labels: { disk: 'none' },
  capacity: { cpu: 16, memoryMiB: 1024, accelerators: 0 },
  endpoints: { memberlink: '127.0.0.1:2' },
};

async function setUp(
  t: TestContext,
): Promise<{ server: HostListServer; list: HostList }> {
  const server = await startHostListServer({ hosts: [HOST] });
  const list = createHttpHostList(server.address, { timeoutMs: 10_000 });
  t.after(async () => {
    await list.close();
    await server.close();
  });
  return { server, list };
}

test('hosts are listed as they were put', async t => {
  const { list } = await setUp(t);
  assert.deepEqual((await list.list()).unwrapOr([]), [HOST]);
});

test('a leaving host shows after the lag', async t => {
  const { server, list } = await setUp(t);
  server.control.set({ lagMs: 60_000 });
  server.leave('w1');
  assert.equal((await list.list()).unwrapOr([])[0]?.state, 'live');
  server.control.set({ lagMs: 0 });
  assert.equal((await list.list()).unwrapOr([])[0]?.state, 'leaving');
});

test('hosts come and go over HTTP', async t => {
  const { server, list } = await setUp(t);
  const url = `http://${server.address}/hosts/w1`;
  await fetch(`${url}/leave`, { method: 'POST' });
  assert.equal((await list.list()).unwrapOr([])[0]?.state, 'leaving');
  await fetch(url, { method: 'DELETE' });
  assert.deepEqual((await list.list()).unwrapOr([HOST]), []);
  await fetch(url, { method: 'PUT', body: JSON.stringify(HOST) });
  assert.equal((await list.list()).unwrapOr([]).length, 1);
  const wrong = await fetch(url, { method: 'PUT', body: '{}' });
  assert.equal(wrong.status, 400);
});

for (const outage of ['refuse', 'reset'] as const) {
  test(`an outage of the list by ${outage} is an error`, async t => {
    const { server, list } = await setUp(t);
    server.control.set({ outage });
    const listed = await list.list();
    assert.equal(listed.isErr && listed.error.kind, 'not_ready');
  });
}
