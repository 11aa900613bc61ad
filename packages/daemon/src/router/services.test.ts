import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { PeerView } from '../parts.js';

import {
  answerText,
  manualClock,
  rawCall,
  requestText,
  startFixture,
  startRawServer,
  waitFor,
  webConfig,
  workerAt,
} from './fixture.test.js';

/** More entry hosts than are planned for. */
function manyPeers(): PeerView {
  const peers = Array.from({ length: 40 }, (_, i) => ({
    id: `entry-${i + 1}`,
    availabilityZone: 'olympia',
    region: 'nw',
    address: '127.0.0.1:1',
    incarnation: '1',
    state: 'ready' as const,
    configOffset: 2,
    heardAt: 0,
  }));
  return {
    self: 'entry-1',
    peers: () => peers,
    onChange: () => () => undefined,
  };
}

test('an entry host that just joined an overfull fleet opens no connection', async t => {
  const clock = manualClock();
  const server = await startRawServer(t, socket =>
    socket.write(answerText('ok')),
  );
  const fixture = await startFixture(t, [server.address], {
    clock: clock.now,
    deps: { peers: manyPeers() },
  });
  const call = () => rawCall(t, fixture.port, requestText('GET'));
  assert.match(await call().until(/ok$|"message"/), /503 [^]*not-run/);
  fixture.config.set(webConfig({}, 2));
  assert.match(await call().until(/ok$|"message"/), /503 [^]*not-run/);
  assert.equal(server.received.length, 0);
  // Past the settling time and the longest request, also for a new dispatcher.
  clock.advance(10_000);
  fixture.config.set(webConfig({}, 3));
  assert.match(await call().until(/ok$|"message"/), /200 OK/);
});

test('a changed configuration keeps the weights of servers', async t => {
  const clock = manualClock();
  // Without answers eight requests take all slots of one server, or some of two of equal weight.
  const avoided = await startRawServer(t, () => undefined);
  const other = await startRawServer(t, () => undefined);
  const fixture = await startFixture(t, [avoided.address, other.address], {
    clock: clock.now,
  });
  const { id } = workerAt(avoided.address);
  async function callUnder(version: number): Promise<void> {
    fixture.config.set(webConfig({}, version));
    for (let count = 0; count < 8; count++) {
      rawCall(t, fixture.port, requestText('GET'));
    }
    await waitFor(
      () => avoided.received.length + other.received.length === 8 * version,
    );
  }
  fixture.router.latency.steer('web', id, 0);
  await callUnder(1);
  await callUnder(2);
  await callUnder(3);
  assert.equal(avoided.received.length, 0);
  fixture.router.latency.steer('web', id, 1);
  await callUnder(4);
  await waitFor(() => avoided.received.length > 0);
});
