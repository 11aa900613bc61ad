/** Operators' calls on the state of the fleet. */
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

/** Answers with the service-level burn that this host measures. */
export function burnHandler(deps: OperatorDeps) {
  return deps.fleet.burn();
}
