/** What follows from the lists of servers and entry hosts: limits, shares of slots and weights. */
import type { Instant } from '../core/time.js';
import { replaceBackends, setHomeSlots } from './backend-pool.js';
import type { BackendInfo, EntryHostInfo } from './dispatcher.js';
import type { DispatcherState } from './dispatcher-state.js';
import { endEjectionsOfAll } from './ejection.js';
import { homeSlotsOf } from './home-slots.js';

/** Time between looks at the limits on connections. */
const LIMITS_INTERVAL_MS = 500;

/** Takes a new list of servers. */
export function setBackends(
  state: DispatcherState,
  backends: readonly BackendInfo[],
  now: Instant,
): void {
  replaceBackends(state.pool, backends);
  endEjectionsOfAll(state.pool, now);
  for (const backend of state.pool.live) {
    backend.weight = state.weights.get(backend.info.worker) ?? 1;
  }
  dealSlots(state);
  refreshLimits(state, now);
}

/** Takes a new list of entry hosts. */
export function setPeers(
  state: DispatcherState,
  count: number,
  hosts: readonly EntryHostInfo[],
  now: Instant,
): void {
  const ids = hosts.map(host => host.id);
  state.hosts = hosts;
  state.share.setHosts(count, ids, now);
  dealSlots(state);
  refreshLimits(state, now);
}

/** Applies what time alone changes in the limits on connections, now and then. */
export function refreshDueLimits(state: DispatcherState, now: Instant): void {
  if (now >= state.limitsDueAt) {
    refreshLimits(state, now);
  }
}

function refreshLimits(state: DispatcherState, now: Instant): void {
  state.limitsDueAt = now + LIMITS_INTERVAL_MS;
  const limitOf = state.share.limitsAt(now);
  for (const backend of state.pool.live) {
    backend.connectionLimit = limitOf(backend.address);
  }
}

/** Sets the weight of a worker's server; kept for when the server returns. */
export function steer(
  state: DispatcherState,
  worker: string,
  weight: number,
): void {
  const kept = Math.max(0, weight);
  state.weights.set(worker, kept);
  if (kept === 1) {
    state.weights.delete(worker);
  }
  for (const backend of state.pool.live) {
    if (backend.info.worker === worker) {
      backend.weight = kept;
    }
  }
}

function dealSlots(state: DispatcherState): void {
  const { pool, hosts, options } = state;
  const servers = pool.live.map(backend => backend.address);
  const ids = hosts.map(host => host.id);
  const { slots } = options.service;
  setHomeSlots(pool, homeSlotsOf(options.self, ids, servers, slots));
}
