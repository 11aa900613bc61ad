import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import { createMemoryLog, type MemoryLog } from '@paddlewind/stand-ins';

import {
  answerText,
  rawCall,
  requestText,
  startFixture,
  startRawServer,
  waitFor,
  type Fixture,
  type RawServer,
} from './fixture.test.js';

function payment(key: string, body = 'pay'): string {
  const length = `Content-Length: ${body.length}`;
  return requestText('POST', [`Idempotency-Key: ${key}`, length], body);
}

async function pay(t: TestContext, to: Fixture, text: string): Promise<string> {
  return await rawCall(t, to.port, text).until(/paid$|"message":".*"}$/);
}

/** Repeats a payment until its answer matches. */
async function payUntil(
  t: TestContext,
  to: Fixture,
  text: string,
  pattern: RegExp,
): Promise<string> {
  const giveUpAt = performance.now() + 10_000;
  for (;;) {
    const got = await pay(t, to, text);
    if (pattern.test(got)) {
      return got;
    }
    assert.ok(performance.now() < giveUpAt, got);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

/** Two entry hosts that share a log, in front of one server. */
async function startPair(
  t: TestContext,
  server: RawServer,
  log: MemoryLog,
  keyWindowMs = 600_000,
): Promise<[Fixture, Fixture]> {
  function start(hostId: string): Promise<Fixture> {
    return startFixture(t, [server.address], {
      route: { idempotencyKeys: true, timeoutMs: 2_000 },
      limits: { keyWindowMs },
      log,
      hostId,
    });
  }
  return [await start('entry-1'), await start('entry-2')];
}

function newLog(): MemoryLog {
  return createMemoryLog({ clock: () => performance.now() });
}

function startBank(t: TestContext): Promise<RawServer> {
  return startRawServer(t, socket => socket.write(answerText('paid')));
}

function paymentsAt(server: RawServer): number {
  return server.received.join('').match(/POST/g)?.length ?? 0;
}

test('a repeat is told the earlier status, at any entry host', async t => {
  const server = await startBank(t);
  const pair = await startPair(t, server, newLog());
  assert.match(await pay(t, pair[0], payment('a')), /^HTTP\/1\.1 200 /);
  for (const host of pair) {
    const got = await payUntil(t, host, payment('a'), /earlier-status/);
    assert.match(
      got,
      /^HTTP\/1\.1 409 [^]*outcome: run[^]*earlier-status: 200/,
    );
    const other = await pay(t, host, payment('a', 'pay more'));
    assert.match(other, /^HTTP\/1\.1 409 [^]*not-run[^]*"conflict"/);
  }
  assert.equal(paymentsAt(server), 1);
});

test('of many at once one is sent', async t => {
  const server = await startRawServer(t, socket => {
    setTimeout(() => socket.write(answerText('paid')), 50);
  });
  const pair = await startPair(t, server, newLog());
  const calls = Array.from({ length: 20 }, (_, i) =>
    pay(t, pair[i % 2 === 0 ? 0 : 1], payment('a')),
  );
  const answers = await Promise.all(calls);
  assert.equal(answers.filter(got => got.endsWith('paid')).length, 1);
  const told = answers.filter(got => /outcome: (unknown|run)/.test(got));
  assert.equal(told.length, 19);
  assert.equal(paymentsAt(server), 1);
});

test('a repeat after the sender crashed is not sent', async t => {
  const server = await startRawServer(t, () => undefined);
  const [first, second] = await startPair(t, server, newLog());
  rawCall(t, first.port, payment('a'));
  await waitFor(() => paymentsAt(server) === 1);
  await first.router.close();
  const got = await pay(t, second, payment('a'));
  assert.match(got, /^HTTP\/1\.1 409 [^]*unknown[^]*"duplicate_request"/);
  assert.equal(paymentsAt(server), 1);
});

test('answers lost by the log change nothing', async t => {
  const server = await startBank(t);
  const log = newLog();
  const pair = await startPair(t, server, log);
  log.loseAnswers(2);
  const got = await Promise.all(pair.map(host => pay(t, host, payment('a'))));
  assert.equal(got.filter(text => text.endsWith('paid')).length, 1);
  assert.equal(paymentsAt(server), 1);
});

test('in an outage of the log nothing with a key is sent, and a retry after it is', async t => {
  const server = await startBank(t);
  const log = newLog();
  const [host] = await startPair(t, server, log);
  log.setOutage(true);
  for (let count = 0; count < 2; count++) {
    const refused = await pay(t, host, payment('a'));
    assert.match(refused, /^HTTP\/1\.1 503 [^]*not-run[^]*retry-after: \d/);
  }
  assert.equal(paymentsAt(server), 0);
  log.setOutage(false);
  await payUntil(t, host, payment('a'), /paid$/);
  assert.equal(paymentsAt(server), 1);
});

test('a key whose request was not sent is free again', async t => {
  const server = await startBank(t);
  const [host] = await startPair(t, server, newLog());
  host.setServers([]);
  assert.match(await pay(t, host, payment('a')), /503 [^]*not-run/);
  host.setServers([server.address]);
  await payUntil(t, host, payment('a'), /paid$/);
  assert.equal(paymentsAt(server), 1);
});

test('a key is forgotten after the window', async t => {
  const server = await startBank(t);
  const [host] = await startPair(t, server, newLog(), 200);
  await pay(t, host, payment('a'));
  await payUntil(t, host, payment('a'), /paid$/);
  assert.equal(paymentsAt(server), 2);
});

test('requests without a key, and idempotent ones, are not recorded', async t => {
  const server = await startBank(t);
  const log = newLog();
  const [host] = await startPair(t, server, log);
  await pay(t, host, requestText('GET', ['Idempotency-Key: a']));
  await pay(t, host, requestText('POST', ['Content-Length: 1'], 'x'));
  assert.equal(log.head('keys.nw'), 0);
});

test('keys are known after older records of the stream expired', async t => {
  const server = await startBank(t);
  const log = newLog();
  const [first] = await startPair(t, server, log);
  await pay(t, first, payment('old'));
  await pay(t, first, payment('a'));
  await waitFor(() => log.head('keys.nw') >= 2);
  log.trim('keys.nw', 1);
  const [fresh] = await startPair(t, server, log);
  assert.match(await pay(t, fresh, payment('a')), /^HTTP\/1\.1 409 /);
});
