/** Operators' calls on the state of the fleet. */
import type { BurnRequest } from '@paddlewind/protocol';

import type { OperatorDeps } from './deps.js';

/** Answers with the hosts, shards and entry hosts that this host sees. */
export function topHandler(deps: OperatorDeps) {
  const { fleet } = deps;
  return {
    hosts: fleet.hosts(),
    shards: fleet.shards(),
    members: fleet.members(),
  };
}

/** Answers with service-level burn, of this host alone or of all. */
export function burnHandler(deps: OperatorDeps, req: BurnRequest) {
  return deps.fleet.burn(req.local);
}
