/** Handlers of the calls of peers. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import type { Clock, Membership } from '@paddlewind/domain';
import {
  type HeartbeatRequest,
  PeerService,
  type ProbeRequest,
} from '@paddlewind/protocol';

import type { PeerCalls } from './calls.js';
import { memberToWire, messageFromWire } from './codec.js';

/** What handlers need. */
export interface PeerRouteParts {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly calls: PeerCalls;
  /** Called after each heartbeat taken. */
  readonly changed: () => void;
}

function heartbeatHandler(parts: PeerRouteParts) {
  const { membership } = parts;
  return (req: HeartbeatRequest) => {
    const message = messageFromWire(req.sender, req.members);
    if (message === undefined) {
      throw new ConnectError(
        'heartbeat without a sender',
        Code.InvalidArgument,
      );
    }
    const { id, region } = message.sender;
    if (id === membership.self().id) {
      throw new ConnectError(`id ${id} is used twice`, Code.AlreadyExists);
    }
    membership.onHeartbeat(message, parts.clock());
    const reply = membership.message(id, region);
    parts.changed();
    return {
      receiver: memberToWire(reply.sender),
      members: reply.members.map(memberToWire),
    };
  };
}

function probeHandler(parts: PeerRouteParts) {
  const { membership, calls } = parts;
  return async (req: ProbeRequest) => {
    const known = (): ReturnType<Membership['members']>[number] | undefined =>
      membership.members().find(member => member.id === req.id);
    const target = known();
    if (target?.address !== req.address) {
      return { reached: false };
    }
    const reached = await calls.reach(target);
    const member = known();
    if (!reached || member === undefined) {
      return { reached: false };
    }
    return { reached, member: memberToWire(member) };
  };
}

/** Returns the registration of the handlers. */
export function peerRoutes(
  parts: PeerRouteParts,
): (router: ConnectRouter) => void {
  return router => {
    const { heartbeat, probe } = PeerService.method;
    router.rpc(heartbeat, heartbeatHandler(parts));
    router.rpc(probe, probeHandler(parts));
  };
}
