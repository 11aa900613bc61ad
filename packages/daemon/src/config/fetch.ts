/** Handing the configuration to a peer, and asking a peer for it. */
import {
  ConnectError,
  createClient,
  type ConnectRouter,
} from '@connectrpc/connect';
import {
  appError,
  type AppError,
  type Millis,
  type Snapshot,
} from '@paddlewind/domain';
import { PeerService, type FetchConfigRequest } from '@paddlewind/protocol';
import { Result } from 'true-myth';

import { snapshotHash } from '../log/recovery.js';
import type { PeerTransports } from '../membership/transports.js';
import { unwrap } from '../operator/connect-error.js';
import type { PartContext, Peer } from '../parts.js';
import type { FetchConfig } from './peer-source.js';
import type { Config } from './start.js';

/** Characters of one part on the wire. */
const PART_CHARS = 64 * 1024;
/** Characters of a whole snapshot that are accepted of a peer. */
const MAX_SNAPSHOT_CHARS = 16 * 1024 * 1024;

/** Registers `FetchConfig`; call after the other handlers of `PeerService` are registered. */
export function registerFetchConfig(
  router: ConnectRouter,
  config: Pick<Config, 'snapshot'>,
): void {
  router.rpc(
    PeerService.method.fetchConfig,
    async function* parts(req: FetchConfigRequest) {
      const snapshot = unwrap(await config.snapshot(Number(req.minOffset)));
      const offset = BigInt(snapshot.offset);
      for (let at = 0; at < snapshot.text.length; at += PART_CHARS) {
        yield { offset, part: snapshot.text.slice(at, at + PART_CHARS) };
      }
    },
  );
}

/** Returns the call that asks a peer for its configuration. */
export function fetchConfigBy(
  transports: PeerTransports,
  ctx: Pick<PartContext, 'clock'>,
): FetchConfig {
  return async (peer, least, deadline) => {
    try {
      // The protocol takes whole milliseconds only.
      const timeoutMs = Math.max(1, Math.floor(deadline - ctx.clock()));
      return await receive(transports, peer, least, timeoutMs);
    } catch (cause) {
      return Result.err(notHandedOver(peer, cause));
    }
  };
}

async function receive(
  transports: PeerTransports,
  peer: Peer,
  least: number,
  timeoutMs: Millis,
): Promise<Result<Snapshot, AppError>> {
  const client = createClient(PeerService, transports.to(peer.address));
  const req = { minOffset: BigInt(least) };
  let offset = 0;
  let text = '';
  for await (const res of client.fetchConfig(req, { timeoutMs })) {
    offset = Number(res.offset);
    text += res.part;
    if (text.length > MAX_SNAPSHOT_CHARS) {
      return Result.err(
        appError('too_large', `The configuration of ${peer.id} is too large.`),
      );
    }
  }
  return Result.ok({ offset, text, hash: snapshotHash(text) });
}

function notHandedOver(peer: Peer, cause: unknown): AppError {
  const { rawMessage } = ConnectError.from(cause);
  return appError(
    'not_ready',
    `${peer.id} did not hand over its configuration: ${rawMessage}.`,
  );
}
