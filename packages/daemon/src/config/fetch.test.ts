import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'node:test';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { appError, type AppError, type Snapshot } from '@paddlewind/domain';
import { PeerService } from '@paddlewind/protocol';
import { Result } from 'true-myth';

import { snapshotHash } from '../log/recovery.js';
import { plainTransports } from '../membership/transports.js';
import type { Peer } from '../parts.js';
import { fetchConfigBy, registerFetchConfig } from './fetch.js';

const TEXT = 'configuration '.repeat(20_000);

/** Serves a snapshot at offset 9 beside the other calls of peers. */
async function serve(): Promise<{ peer: Peer; close: () => void }> {
  const source = {
    snapshot: (least: number): Promise<Result<Snapshot, AppError>> =>
      Promise.resolve(
        least <= 9
          ? Result.ok({ offset: 9, text: TEXT, hash: snapshotHash(TEXT) })
          : Result.err(appError('not_ready', 'too old')),
      ),
  };
  const handler = connectNodeAdapter({
    routes: router => {
      router.service(PeerService, { probe: () => ({ reached: true }) });
      registerFetchConfig(router, source);
    },
  });
  const server = createServer(handler);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const peer: Peer = {
    id: 'p',
    address: `127.0.0.1:${port}`,
    region: 'r',
    availabilityZone: 'z',
    incarnation: 'i',
    state: 'ready',
    configOffset: 9,
    heardAt: 0,
  };
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { peer, close };
}

test('a peer hands over its configuration in parts, or says that it has none', async () => {
  const { peer, close } = await serve();
  const transports = plainTransports();
  const fetch = fetchConfigBy(transports, { clock: () => 0.25 });
  const whole = await fetch(peer, 3, 10_000);
  const fault = whole.isErr ? whole.error.message : '';
  assert.equal(fault, '');
  // Compared as booleans: a difference of long texts takes minutes to show.
  assert.equal(whole.isOk && whole.value.text === TEXT, true);
  assert.equal(whole.isOk && whole.value.offset, 9);
  const older = await fetch(peer, 10, 10_000);
  assert.match(
    older.isErr ? older.error.message : '',
    /p did not hand over .*too old/,
  );
  close();
  const gone = await fetch(peer, 3, 10_000);
  assert.equal(gone.isErr && gone.error.kind, 'not_ready');
  transports.close();
});
