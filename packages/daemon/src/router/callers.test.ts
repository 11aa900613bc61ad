import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import {
  answerText,
  rawCall,
  requestText,
  startFixture,
  startRawServer,
  waitFor,
  type Fixture,
  type FixtureOptions,
  type RawServer,
} from './fixture.test.js';

/** Runs against a server that answers `ok` to every head, and to nothing else. */
async function withServer(
  t: TestContext,
  run: (fixture: Fixture, server: RawServer) => Promise<void>,
  options: FixtureOptions = {},
): Promise<void> {
  const server = await startRawServer(t, (socket, text) => {
    if (text.includes('HTTP/1.1')) {
      socket.write(answerText('ok'));
    }
  });
  const fixture = await startFixture(t, [server.address], options);
  await run(fixture, server);
}

const H = 'POST /path HTTP/1.1\r\nHost: web\r\n';
const MALFORMED = [
  [
    'length and coding',
    `${H}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  ],
  [
    'coding and length',
    `${H}Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n`,
  ],
  ['two lengths', `${H}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`],
  [
    'the same length twice',
    `${H}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`,
  ],
  ['a list of lengths', `${H}Content-Length: 3, 3\r\n\r\nabc`],
  ['a signed length', `${H}Content-Length: +3\r\n\r\nabc`],
  ['a hexadecimal length', `${H}Content-Length: 0x3\r\n\r\nabc`],
  [
    'a length beyond numbers',
    `${H}Content-Length: 99999999999999999999\r\n\r\nabc`,
  ],
  ['another coding', `${H}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`],
  [
    'the coding twice',
    `${H}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  ],
  ['an obscured coding', `${H}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`],
  [
    'a coding in HTTP/1.0',
    'POST / HTTP/1.0\r\nHost: web\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  ],
  ['bare line feeds', 'POST / HTTP/1.1\nHost: web\nContent-Length: 3\n\nabc'],
  ['a bare line feed in the headers', `${H}X-A: 1\nX-B: 2\r\n\r\n`],
  ['a bare carriage return', `${H}X-A: 1\rX-B: 2\r\n\r\n`],
  [
    'a space before the colon',
    `${H}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n`,
  ],
  ['a folded header', `${H}X-A: 1\r\n folded\r\n\r\n`],
  ['a null byte', `${H}X-A: a\0b\r\n\r\n`],
  ['two hosts', `${H}Host: other\r\n\r\n`],
  ['no host', 'GET / HTTP/1.1\r\n\r\n'],
  ['no target', 'GET HTTP/1.1\r\nHost: web\r\n\r\n'],
  ['a relative target', 'GET path HTTP/1.1\r\nHost: web\r\n\r\n'],
  ['an upgrade', `${H}Connection: upgrade\r\nUpgrade: websocket\r\n\r\n`],
  ['another expectation', `${H}Expect: 200-ok\r\n\r\n`],
  ['a deadline that is no instant', `${H}Paddlewind-Deadline-Ms: soon\r\n\r\n`],
  ['an idempotency key with a space', `${H}Idempotency-Key: a b\r\n\r\n`],
] as const;

test('malformed requests are refused and reach no server', async t => {
  await withServer(t, async (fixture, server) => {
    for (const [name, text] of MALFORMED) {
      const caller = rawCall(t, fixture.port, text);
      const got = await caller.until(/\r\n\r\n/);
      assert.match(got, /^HTTP\/1\.1 400 /, name);
      assert.match(got, /paddlewind-outcome: not-run/, name);
    }
    assert.deepEqual(server.received, []);
  });
});

test('a malformed chunk is never taken for a body', async t => {
  await withServer(t, async fixture => {
    const text = `${H}Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n`;
    const caller = rawCall(t, fixture.port, text);
    const got = await caller.closed();
    assert.doesNotMatch(got, /200 OK/);
  });
});

test('what follows a request is the next request, not part of it', async t => {
  await withServer(t, async (fixture, server) => {
    const smuggled = requestText('GET', ['X-Smuggled: 1']);
    const length = `Content-Length: ${smuggled.length}`;
    const caller = rawCall(
      t,
      fixture.port,
      requestText('POST', [length], smuggled) +
        requestText('GET', ['X-Next: 1']),
    );
    await caller.until(/ok[^]*ok$/);
    const sent = server.received.join('|');
    assert.equal(sent.match(/X-Smuggled/g)?.length, 1);
    assert.match(sent, new RegExp(`${length}\r\n\r\nGET /path`, 'i'));
  });
});

const LIMITS = [
  [
    'headers too large',
    requestText('GET', [`X-A: ${'a'.repeat(20_000)}`]),
    431,
  ],
  [
    'headers too many',
    requestText(
      'GET',
      Array.from({ length: 200 }, (_, i) => `X-${i}: 1`),
    ),
    431,
  ],
  [
    'a body too long',
    requestText('POST', ['Content-Length: 5000'], 'abc'),
    413,
  ],
  ['an unknown host', requestText('GET').replace('web', 'other'), 404],
  [
    'a deadline gone by',
    requestText('GET', ['Paddlewind-Deadline-Ms: 1000']),
    503,
  ],
] as const;

test('requests over a limit are refused and reach no server', async t => {
  const route = { maxBodyBytes: 4_000 };
  await withServer(
    t,
    async (fixture, server) => {
      for (const [name, text, status] of LIMITS) {
        const caller = rawCall(t, fixture.port, text);
        const got = await caller.until(/"message"/);
        assert.match(got, new RegExp(`^HTTP/1.1 ${status} `), name);
        assert.match(got, /paddlewind-outcome: not-run/, name);
      }
      assert.deepEqual(server.received, []);
    },
    { route },
  );
});

test('a streamed body over the limit is cut off', async t => {
  const server = await startRawServer(t, () => undefined);
  const fixture = await startFixture(t, [server.address], {
    route: { maxBodyBytes: 100 },
  });
  const chunk = `60\r\n${'a'.repeat(96)}\r\n`;
  const coding = ['Transfer-Encoding: chunked'];
  const caller = rawCall(t, fixture.port, requestText('POST', coding, chunk));
  await waitFor(() => server.received.length === 1);
  caller.socket.write(chunk);
  const got = await caller.until(/"message"/);
  assert.match(got, /^HTTP\/1\.1 413 /);
  assert.match(got, /paddlewind-outcome: unknown/);
  await waitFor(() => server.sockets[0]?.destroyed === true);
  assert.doesNotMatch(server.received[0] ?? '', /\r\n0\r\n/);
});

test('slow headers and slow bodies are given up', async t => {
  const limits = { headersTimeoutMs: 100, bodyIdleTimeoutMs: 100 };
  await withServer(
    t,
    async (fixture, server) => {
      const header = rawCall(t, fixture.port, 'GET / HTTP/1.1\r\nHost:');
      const small = rawCall(
        t,
        fixture.port,
        requestText('POST', ['Content-Length: 10'], 'abc'),
      );
      const large = rawCall(
        t,
        fixture.port,
        requestText('POST', ['Content-Length: 100000']),
      );
      assert.match(await header.until(/"message"/), /^HTTP\/1\.1 400 /);
      assert.match(await small.until(/"message"/), /^HTTP\/1\.1 503 /);
      assert.match(await large.until(/"message"/), /outcome: not-run/);
      assert.deepEqual(server.received.join(''), '');
    },
    { limits },
  );
});

test('a caller that leaves cancels its request', async t => {
  const server = await startRawServer(t, () => undefined);
  const fixture = await startFixture(t, [server.address]);
  const caller = rawCall(t, fixture.port, requestText('GET'));
  await waitFor(() => server.received.length === 1);
  caller.socket.destroy();
  await waitFor(() => server.sockets[0]?.destroyed === true);
});

test('a caller that leaves in its body never makes a whole request', async t => {
  const server = await startRawServer(t, () => undefined);
  const fixture = await startFixture(t, [server.address]);
  const head = requestText(
    'POST',
    ['Transfer-Encoding: chunked'],
    '3\r\nabc\r\n',
  );
  const caller = rawCall(t, fixture.port, head);
  await waitFor(() => server.received[0]?.includes('abc') === true);
  caller.socket.destroy();
  await waitFor(() => server.sockets[0]?.destroyed === true);
  assert.doesNotMatch(server.received[0] ?? '', /\r\n0\r\n/);
});

test('100-continue is sent only once a server takes the request', async t => {
  await withServer(t, async fixture => {
    const expect = ['Expect: 100-continue', 'Content-Length: 3'];
    const taken = rawCall(t, fixture.port, requestText('POST', expect));
    await taken.until('100 Continue');
    taken.socket.write('abc');
    assert.match(await taken.until(/ok$/), /200 OK/);
    fixture.setServers([]);
    const refused = rawCall(t, fixture.port, requestText('POST', expect));
    const got = await refused.until(/"message"/);
    assert.match(got, /^HTTP\/1\.1 503 [^]*not-run[^]*retry-after: \d/);
  });
});

test('the deadline is passed on, the earlier of two', async t => {
  await withServer(
    t,
    async (fixture, server) => {
      const near = Date.now() + 2_000;
      const headers = [`Paddlewind-Deadline-Ms: ${near}`];
      const caller = rawCall(t, fixture.port, requestText('GET', headers));
      await caller.until(/ok$/);
      const sent = /paddlewind-deadline-ms: (\d+)/.exec(
        server.received[0] ?? '',
      );
      assert.ok(Math.abs(Number(sent?.[1]) - near) <= 2);
    },
    { route: { timeoutMs: 60_000 } },
  );
});

test('answers to pipelined requests keep their order', async t => {
  let count = 0;
  const server = await startRawServer(t, (socket, text) => {
    const id = /X-Id: (\d)/.exec(text)?.[1] ?? '';
    setTimeout(() => socket.write(answerText(`<${id}>`)), 60 - 20 * count++);
  });
  const fixture = await startFixture(t, [server.address]);
  const texts = ['1', '2', '3'].map(id => requestText('GET', [`X-Id: ${id}`]));
  const caller = rawCall(t, fixture.port, texts.join(''));
  await caller.until(/<1>[^]*<2>[^]*<3>/);
});

test('nothing is served while the configuration is not in force', async t => {
  await withServer(t, async (fixture, server) => {
    const check = 'GET /paddlewind/ready HTTP/1.1\r\nHost: x\r\n\r\n';
    const health = rawCall(t, fixture.port, check);
    assert.match(await health.until(/ready\n$/), /^HTTP\/1\.1 200 /);
    fixture.inForce.set(false);
    assert.equal(fixture.router.ready(), false);
    health.socket.write(check);
    await health.until(/503 [^]*not ready\n$/);
    const caller = rawCall(t, fixture.port, requestText('GET'));
    assert.match(await caller.until(/"message"/), /503 [^]*not-run/);
    assert.deepEqual(server.received, []);
  });
});
