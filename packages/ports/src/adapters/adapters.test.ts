import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type TestContext } from 'node:test';

import { createHttpHostList } from './http-host-list.js';
import { createHttpLogService } from './http-log-service.js';
import { createHttpWorkerAgent } from './http-worker-agent.js';

const FENCE = { shard: 's', epoch: 1, offset: 1 };
const SYNC = { fence: FENCE, renew: [], leaseMs: 1_000, acknowledge: [] };
const READ = { stream: 's', from: 5, limit: 10, waitMs: 0 };
const OPTIONS = { timeoutMs: 10_000, maxBodyBytes: 1_000 };
/** For servers that never answer, so that the test does not wait long. */
const SHORT = { ...OPTIONS, timeoutMs: 100 };

async function serve(
  t: TestContext,
  listener: http.RequestListener,
): Promise<string> {
  const server = http.createServer(listener);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

/** Calls every method of the adapters on one server and returns the errors, as `kind outcome`. */
async function failures(
  t: TestContext,
  address: string,
  options = OPTIONS,
): Promise<string[]> {
  const log = createHttpLogService(address, options);
  const hosts = createHttpHostList(address, options);
  const agent = createHttpWorkerAgent(options);
  t.after(() => Promise.all([log.close(), hosts.close(), agent.close()]));
  const results = [
    await log.append('s', 'a'),
    await log.read(READ),
    await hosts.list(),
    await agent.sync(address, SYNC),
  ];
  return results.map(result =>
    result.isErr ? `${result.error.kind} ${result.error.outcome}` : 'ok',
  );
}

const FAILED_OUTCOMES = [
  'log_unavailable unknown',
  'log_unavailable not_run',
  'not_ready not_run',
  'backend_failed unknown',
];

const FAULTY_SERVERS: Record<string, http.RequestListener> = {
  'a response that is not JSON': (_req, res) => res.end('<html>'),
  'a response that does not match the schema': (_req, res) =>
    res.end('{"offset":-1,"hosts":[{}]}'),
  'an unknown status': (_req, res) => res.writeHead(302).end(),
  'a server error': (_req, res) => res.writeHead(500).end('{}'),
  'a response that is too large': (_req, res) =>
    res.writeHead(200).end(' '.repeat(2_000)),
  'no response': () => undefined,
  'a connection reset': (_req, res) => res.destroy(),
  'a truncated response': (_req, res) => {
    res.writeHead(201, { 'content-length': 13 });
    res.write('{"offset', () => res.destroy());
  },
};

for (const [name, listener] of Object.entries(FAULTY_SERVERS)) {
  test(`${name} fails the call, and a write may have taken effect`, async t => {
    const address = await serve(t, listener);
    const options = name === 'no response' ? SHORT : OPTIONS;
    assert.deepEqual(await failures(t, address, options), FAILED_OUTCOMES);
  });
}

test('a refused connection is reported as not run', async t => {
  const server = http.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  assert.deepEqual(await failures(t, `127.0.0.1:${port}`), [
    'log_unavailable not_run',
    'log_unavailable not_run',
    'not_ready not_run',
    'backend_failed not_run',
  ]);
});

test('a page that skips or repeats an offset is rejected', async t => {
  for (const offsets of [[6], [5, 7], [5, 5]]) {
    const entries = offsets.map(offset => ({ offset, payload: 'x' }));
    const body = JSON.stringify({ entries, first: 0, head: 8 });
    const address = await serve(t, (_req, res) => res.end(body));
    const log = createHttpLogService(address, OPTIONS);
    t.after(() => log.close());
    const read = await log.read(READ);
    assert.equal(read.isErr && read.error.kind, 'log_unavailable');
  }
});

test('a canceled read fails at once', async t => {
  const address = await serve(t, () => undefined);
  const log = createHttpLogService(address, { timeoutMs: 60_000 });
  t.after(() => log.close());
  const abort = new AbortController();
  const pending = log.read({ ...READ, signal: abort.signal });
  abort.abort();
  assert.ok((await pending).isErr);
});

test('an unchanged host list is served from the cache, a changed one is read again', async t => {
  let etag = '"one"';
  let bodies = 0;
  const address = await serve(t, (req, res) => {
    if (req.headers['if-none-match'] === etag) {
      res.writeHead(304).end();
      return;
    }
    bodies += 1;
    res.writeHead(200, { etag }).end('{"hosts":[]}');
  });
  const list = createHttpHostList(address);
  t.after(() => list.close());
  const first = (await list.list()).unwrapOr(undefined);
  assert.ok(first);
  assert.equal((await list.list()).unwrapOr(undefined), first);
  assert.equal(bodies, 1);
  etag = '"two"';
  assert.notEqual((await list.list()).unwrapOr(undefined), first);
  assert.equal(bodies, 2);
});
