import assert from 'node:assert/strict';
import http from 'node:http';
import test, { type TestContext } from 'node:test';

import { memorySink, type StandInEvent } from '../events/events.js';
import {
  startBackendServer,
  type BackendServerOptions,
} from './backend-server.js';

async function setUp(
  t: TestContext,
  options: Partial<BackendServerOptions> = {},
) {
  const { sink, events } = memorySink<StandInEvent>();
  const own = { backend: 'b1', onEvent: sink, ...options };
  const server = await startBackendServer(own);
  t.after(() => server.close());
  const ask = (id: string) =>
    fetch(`http://${server.address}/balance`, {
      method: 'POST',
      headers: { 'x-request-id': id },
      body: `body of ${id}`,
    });
  return { server, events, ask };
}

test('an answer echoes its own request', async t => {
  const { ask, events } = await setUp(t);
  const ids = ['a', 'b', 'c'];
  const answers = await Promise.all(
    ids.map(async id => (await ask(id)).json() as Promise<object>),
  );
  assert.deepEqual(
    answers,
    ids.map(id => ({
      backend: 'b1',
      request: id,
      method: 'POST',
      url: '/balance',
      body: `body of ${id}`,
    })),
  );
  const types = events.map(event => event.type);
  assert.equal(types.filter(type => type === 'request_began').length, 3);
  assert.equal(types.filter(type => type === 'request_ended').length, 3);
});

test('requests beyond the slots wait', async t => {
  const faults = { serviceMs: 60_000 };
  const { server, ask } = await setUp(t, { slots: 2, faults });
  const ids = ['a', 'b', 'c', 'd', 'e'];
  const asked = Promise.allSettled(ids.map(ask));
  const deadline = performance.now() + 20_000;
  while (server.counters().mostWaiting < 3 && performance.now() < deadline) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  assert.equal(server.counters().mostWaiting, 3);
  assert.equal(server.counters().mostInSlots, 2);
  await server.close();
  await asked;
});

test('connections beyond the limit are refused and counted', async t => {
  const { server } = await setUp(t, {
    connections: 1,
    faults: { serviceMs: 500 },
  });
  const agents = [new http.Agent(), new http.Agent()];
  const ends = await Promise.all(
    agents.map(
      agent =>
        new Promise<string>(resolve => {
          http
            .get(`http://${server.address}/`, { agent }, res => {
              res.resume();
              resolve('answered');
            })
            .on('error', () => {
              resolve('refused');
            });
        }),
    ),
  );
  assert.deepEqual(ends.sort(), ['answered', 'refused']);
  assert.equal(server.counters().refusedConnections, 1);
});

for (const brokenKind of ['reset', 'half'] as const) {
  test(`an answer broken by ${brokenKind} never looks whole`, async t => {
    const { ask, server } = await setUp(t, {
      faults: { brokenShare: 1, brokenKind },
    });
    await assert.rejects(async () => (await ask('a')).text());
    assert.equal(server.counters().broken, 1);
  });
}
