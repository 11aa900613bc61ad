/** Adds up the error budget burn measured by all entry hosts. */
import { createClient } from '@connectrpc/connect';
import { OperatorService } from '@paddlewind/protocol';

import type { PeerTransports } from '../membership/index.js';
import type { BurnFields, OperatorFleet } from '../operator/deps.js';
import type { Peer, PeerView } from '../parts.js';
import { alertsOf, mergeRows } from './rows.js';

/** A peer that does not answer within this time is listed as missing in the report. */
const PEER_TIMEOUT_MS = 2_000;

/** Dependencies of the burn report. */
export interface BurnCollection {
  /** Returns the burn measured by this host. */
  readonly own: () => BurnFields;
  readonly peers: Pick<PeerView, 'peers'>;
  readonly transports: PeerTransports;
}

function merge(parts: readonly BurnFields[], missing: string[]): BurnFields {
  const windows = mergeRows(parts.flatMap(part => part.windows));
  const sum = (pick: (part: BurnFields) => bigint): bigint =>
    parts.reduce((total, part) => total + pick(part), 0n);
  return {
    windows,
    evictions: sum(part => part.evictions),
    batchCompleted: sum(part => part.batchCompleted),
    alerts: alertsOf(windows),
    hosts: parts.flatMap(part => part.hosts ?? []).sort(),
    missing: missing.sort(),
  };
}

async function requestBurn(
  transports: PeerTransports,
  peer: Peer,
): Promise<BurnFields | undefined> {
  try {
    const client = createClient(OperatorService, transports.to(peer.address));
    return await client.burn({ local: true }, { timeoutMs: PEER_TIMEOUT_MS });
  } catch {
    return undefined;
  }
}

/** Creates the operator call that reports the burn of this host alone (`local`) or of all entry hosts. */
export function createBurnReport(
  collection: BurnCollection,
): OperatorFleet['burn'] {
  const { own, peers, transports } = collection;
  return async local => {
    if (local) {
      return own();
    }
    const asked = peers.peers();
    const answers = await Promise.all(
      asked.map(peer => requestBurn(transports, peer)),
    );
    const missing = asked
      .filter((_, index) => answers[index] === undefined)
      .map(peer => peer.id);
    const parts = answers.filter(answer => answer !== undefined);
    return merge([own(), ...parts], missing);
  };
}
