import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  answerText,
  manualClock,
  rawCall,
  requestText,
  startFixture,
  startRawServer,
  waitFor,
  type RawServer,
} from './fixture.test.js';

/** Counts the connections on which a whole request has come. */
function arrived(server: RawServer): number {
  return server.received.filter(text => text.endsWith('\r\n\r\n')).length;
}

test('a drain drops no request', async t => {
  const clock = manualClock();
  let answers = false;
  const server = await startRawServer(t, socket => {
    if (answers) {
      socket.write(answerText('ok'));
    }
  });
  const fixture = await startFixture(t, [server.address], {
    clock: clock.now,
    limits: { drainGraceMs: 100 },
  });
  const call = () => rawCall(t, fixture.port, requestText('GET'));
  const running = Array.from({ length: 5 }, call);
  await waitFor(() => arrived(server) === 5);
  let ended = false;
  const drained = fixture.router.drain(clock.now() + 5_000).then(() => {
    ended = true;
  });
  assert.equal(fixture.router.ready(), false);
  const late = call();
  await waitFor(() => arrived(server) === 6);
  answers = true;
  server.sockets.forEach(socket => socket.write(answerText('ok')));
  for (const caller of [...running, late]) {
    assert.match(await caller.closed(), /200 OK[^]*connection: close[^]*ok$/i);
  }
  const last = call();
  assert.match(await last.closed(), /200 OK[^]*connection: close[^]*ok$/i);
  clock.advance(99);
  await new Promise(resolve => setTimeout(resolve, 50));
  assert.equal(ended, false, 'the grace is not over');
  clock.advance(1);
  await drained;
});

test('a drain past its deadline refuses or breaks off what is left', async t => {
  const clock = manualClock();
  const server = await startRawServer(t, (socket, text) => {
    if (text.includes('X-Half')) {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
    }
  });
  const fixture = await startFixture(t, [server.address], {
    clock: clock.now,
    connections: 8,
  });
  const half = rawCall(t, fixture.port, requestText('GET', ['X-Half: 1']));
  await half.until(/half/);
  const silent = rawCall(t, fixture.port, requestText('GET'));
  await waitFor(() => arrived(server) === 2);
  const queued = rawCall(t, fixture.port, requestText('GET'));
  const length = fixture.metrics.getSingleMetric(
    'paddlewind_router_queue_length',
  );
  await waitFor(async () => (await length?.get())?.values[0]?.value === 1);
  const drained = fixture.router.drain(clock.now() + 50);
  clock.advance(50);
  await drained;
  await half.closed();
  assert.ok(half.wasReset());
  assert.match(await silent.closed(), /503 [^]*outcome: unknown/);
  assert.match(await queued.closed(), /503 [^]*outcome: not-run/);
});
