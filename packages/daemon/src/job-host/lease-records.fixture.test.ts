/** Journal records of leaders that grant leases, and the lease ends of a host that reads them. */
import { UNKNOWN_SPAN } from '@paddlewind/domain';
import type { JournalRecord, LeaseHandover } from '@paddlewind/domain/jobs';

import { LeaseEnds } from './lease-ends.js';

/** Returns the claim of a leader. */
export function claim(epoch: number): JournalRecord {
  return { kind: 'claim', epoch, host: 'h', nonce: 0 };
}

/** Returns a heartbeat of a leader, with the leases that it hands over. */
export function heartbeat(
  epoch: number,
  handed?: LeaseHandover,
): JournalRecord {
  const leader = {
    epoch,
    host: 'h',
    nonce: 0,
    address: 'h',
    ledForMs: undefined,
    silence: UNKNOWN_SPAN,
  };
  return { kind: 'heartbeat', ...leader, handed, standbys: undefined };
}

/** Returns the lease ends of a host that has read the journal from its beginning. */
export function endsFromBeginning(): LeaseEnds {
  const ends = new LeaseEnds();
  ends.noteBeginning();
  return ends;
}
