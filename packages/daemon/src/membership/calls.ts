/** Makes the calls that the membership asks for, and reports how they ended. */
import {
  type Client,
  Code,
  ConnectError,
  createClient,
} from '@connectrpc/connect';
import type {
  Clock,
  MemberAddress,
  MemberInfo,
  Membership,
  MembershipAction,
} from '@paddlewind/domain';
import { PeerService } from '@paddlewind/protocol';

import { memberFromWire, memberToWire, messageFromWire } from './codec.js';
import type { MembershipMetrics } from './metrics.js';
import type { PeerTransports } from './transports.js';

/** What calls need. */
export interface CallParts {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly transports: PeerTransports;
  readonly metrics: MembershipMetrics;
  readonly callTimeoutMs: number;
}

/** The part of a member's address that calls need. */
export type PeerTarget = Pick<MemberAddress, 'id' | 'address' | 'region'>;

/** Calls to peers. */
export interface PeerCalls {
  /** Makes a call; never rejects. */
  run(action: MembershipAction): Promise<void>;
  /** Sends a heartbeat and tells whether the target itself answered. */
  reach(target: PeerTarget): Promise<boolean>;
}

/** A probe includes the helper's own call, which must end before the probe does. */
const HELPER_SHARE = 0.75;

type PeerClient = Client<typeof PeerService>;

function clientOf(parts: CallParts, address: string): PeerClient {
  return createClient(PeerService, parts.transports.to(address));
}

async function exchange(
  parts: CallParts,
  target: PeerTarget,
  timeoutMs: number,
): Promise<boolean> {
  const { membership } = parts;
  const { sender, members } = membership.message(target.id, target.region);
  const res = await clientOf(parts, target.address).heartbeat(
    {
      sender: memberToWire(sender),
      members: members.map(memberToWire),
    },
    { timeoutMs },
  );
  const reply = messageFromWire(res.receiver, res.members);
  if (reply === undefined) {
    return false;
  }
  membership.onReply(target.id, reply, parts.clock());
  return reply.sender.id === target.id;
}

/** A connection that went silent may hang for minutes in retransmissions after the peer is back. */
function forgetSilent(parts: CallParts, address: string, err: unknown): void {
  if (ConnectError.from(err).code === Code.DeadlineExceeded) {
    parts.transports.forget(address);
  }
}

async function askProbe(
  parts: CallParts,
  via: string,
  target: PeerTarget,
): Promise<MemberInfo | undefined> {
  const { id, address } = target;
  const timeoutMs = parts.callTimeoutMs;
  try {
    const client = clientOf(parts, via);
    const res = await client.probe({ id, address }, { timeoutMs });
    return res.reached ? memberFromWire(res.member) : undefined;
  } catch {
    return undefined;
  }
}

/** Makes calls over `parts.transports`. */
export function createPeerCalls(parts: CallParts): PeerCalls {
  const { clock, membership, metrics } = parts;

  async function reach(
    target: PeerTarget,
    timeoutMs: number,
  ): Promise<boolean> {
    try {
      const reached = await exchange(parts, target, timeoutMs);
      metrics.heartbeats.inc({ result: reached ? 'ok' : 'wrong_member' });
      return reached;
    } catch (err) {
      metrics.heartbeats.inc({ result: 'failed' });
      forgetSilent(parts, target.address, err);
      return false;
    }
  }

  async function heartbeat(target: PeerTarget): Promise<void> {
    const sentAt = clock();
    if (await reach(target, parts.callTimeoutMs)) {
      return;
    }
    const probes = membership.onFailure(target.id, sentAt, clock());
    await Promise.all(probes.map(run));
  }

  async function probe(via: PeerTarget, target: PeerTarget): Promise<void> {
    const sentAt = clock();
    const member = await askProbe(parts, via.address, target);
    metrics.probes.inc({ result: member ? 'reached' : 'failed' });
    membership.onProbe(target.id, member, sentAt, clock());
  }

  function run(action: MembershipAction): Promise<void> {
    switch (action.kind) {
      case 'heartbeat':
        return heartbeat(action.target);
      case 'probe':
        return probe(action.via, action.target);
    }
  }

  return {
    run,
    reach: target => reach(target, parts.callTimeoutMs * HELPER_SHARE),
  };
}
