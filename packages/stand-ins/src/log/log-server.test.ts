import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';

import { createHttpLogService, type LogService } from '@paddlewind/ports';

import {
  startLogServer,
  type LogServer,
  type LogServerOptions,
} from './log-server.js';

async function setUp(
  t: TestContext,
  options: LogServerOptions = {},
  timeoutMs = 10_000,
): Promise<{ server: LogServer; log: LogService }> {
  const server = await startLogServer(options);
  const log = createHttpLogService(`http://${server.address}/`, { timeoutMs });
  t.after(async () => {
    await log.close();
    await server.close();
  });
  return { server, log };
}

function from(offset: number, waitMs = 0) {
  return { stream: 's', from: offset, limit: 10, waitMs };
}

test('appends are read back in order', async t => {
  const { log } = await setUp(t);
  assert.equal((await log.append('s', 'a')).unwrapOr(-1), 0);
  assert.equal((await log.append('s', 'b')).unwrapOr(-1), 1);
  const page = (await log.read(from(0))).unwrapOr(undefined);
  assert.deepEqual(
    page?.entries.map(entry => entry.payload),
    ['a', 'b'],
  );
  assert.equal(page.head, 2);
});

test('a read waits for the next entry', async t => {
  const { log } = await setUp(t);
  const pending = log.read(from(0, 10_000));
  await log.append('s', 'a');
  const page = (await pending).unwrapOr(undefined);
  assert.equal(page?.entries[0]?.payload, 'a');
});

test('a read of an empty stream ends after its wait', async t => {
  const { log } = await setUp(t);
  const page = (await log.read(from(0, 20))).unwrapOr(undefined);
  assert.deepEqual(page, { entries: [], first: 0, head: 0 });
});

test('entries beyond retention are trimmed', async t => {
  const { log } = await setUp(t, { retain: 2 });
  for (const payload of ['a', 'b', 'c']) {
    await log.append('s', payload);
  }
  const read = await log.read(from(0));
  assert.equal(read.isErr && read.error.kind, 'log_trimmed');
  const kept = (await log.read(from(1))).unwrapOr(undefined);
  assert.equal(kept?.first, 1);
  assert.equal(kept.entries.length, 2);
});

test('a lost answer is of unknown outcome and the entry is kept', async t => {
  const { server, log } = await setUp(t);
  server.control.set({ loseAnswers: 1 });
  const appended = await log.append('s', 'a');
  assert.equal(appended.isErr && appended.error.outcome, 'unknown');
  const page = (await log.read(from(0))).unwrapOr(undefined);
  assert.equal(page?.entries.length, 1);
});

test('an append sent twice is kept twice', async t => {
  const { server, log } = await setUp(t);
  server.control.set({ duplicate: 1 });
  await log.append('s', 'a');
  const page = (await log.read(from(0))).unwrapOr(undefined);
  assert.equal(page?.entries.length, 2);
});

test('appends over the rate surely have no effect', async t => {
  const { log } = await setUp(t, { faults: { appendsPerSecond: 1 } });
  await log.append('s', 'a');
  const second = await log.append('s', 'b');
  assert.equal(second.isErr && second.error.kind, 'overloaded');
  assert.equal(second.isErr && second.error.outcome, 'not_run');
  const page = (await log.read(from(0))).unwrapOr(undefined);
  assert.equal(page?.entries.length, 1);
});

for (const outage of ['refuse', 'hang', 'reset'] as const) {
  test(`an outage by ${outage} is unavailable and keeps nothing`, async t => {
    const timeoutMs = outage === 'hang' ? 100 : 10_000;
    const { server, log } = await setUp(t, {}, timeoutMs);
    server.control.set({ outage });
    const appended = await log.append('s', 'a');
    assert.equal(appended.isErr && appended.error.kind, 'log_unavailable');
    assert.equal(appended.isErr && appended.error.outcome, 'unknown');
    const read = await log.read(from(0));
    assert.equal(read.isErr && read.error.kind, 'log_unavailable');
    server.control.set({ outage: 'none' });
    assert.equal(server.memory.head('s'), 0);
  });
}

test('an append to a closed service surely has no effect', async t => {
  const { server, log } = await setUp(t);
  await server.close();
  const appended = await log.append('s', 'a');
  assert.equal(appended.isErr && appended.error.outcome, 'not_run');
});

test('the control endpoint reads and changes faults', async t => {
  const { server } = await setUp(t);
  const url = `http://${server.address}/control`;
  const set = await fetch(url, { method: 'POST', body: '{"slowMs":5}' });
  assert.equal(set.status, 200);
  assert.equal(server.control.faults().slowMs, 5);
  const wrong = await fetch(url, { method: 'POST', body: '{"slow":5}' });
  assert.equal(wrong.status, 400);
  const read = (await (await fetch(url)).json()) as { slowMs: number };
  assert.equal(read.slowMs, 5);
});
