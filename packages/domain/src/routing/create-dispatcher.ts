/** The dispatcher: admission, choice, retries and hedges of the requests of one service. */
import type { Instant } from '../core/time.js';
import type { Dispatch, Dispatcher } from './dispatcher.js';
import {
  createState,
  type DispatcherState,
  forgetIdle,
} from './dispatcher-state.js';
import { hedge, retry } from './further-tries.js';
import { slownessAt } from './latency-model.js';
import {
  refreshDueLimits,
  setBackends,
  setPeers,
  steer,
} from './membership.js';
import type { DispatcherOptions } from './options.js';
import { admit, endTry, refuseHopeless, release } from './sending.js';

/** Creates a dispatcher for one service; it knows no server until `setBackends`. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const state = createState(options);
  return {
    setBackends(backends, now) {
      setBackends(state, backends, now);
      return release(state, now);
    },
    offer(req, now) {
      state.retryBudget.credit();
      state.hedgeBudget.credit();
      return [admit(state, req, now)];
    },
    finish(id, backend, result, now) {
      endTry(state, id, backend, result, now);
      return release(state, now);
    },
    retry: (req, result, now) => [retry(state, req, result, now)],
    hedge: (req, now) => hedge(state, req, now),
    withdraw(id) {
      state.queue.remove(id);
      forgetIdle(state, id);
    },
    setPeers(count, now, hosts = []) {
      setPeers(state, count, hosts, now);
      return release(state, now);
    },
    steer(worker, weight) {
      steer(state, worker, weight);
    },
    connectionLimit: (backend, now) =>
      state.pool.all.get(backend)?.connectionLimit ??
      state.share.limitsAt(now)(backend),
    tick: now => tick(state, now),
    loads: () => loads(state),
  };
}

function tick(state: DispatcherState, now: Instant): Dispatch[] {
  refreshDueLimits(state, now);
  const sent = release(state, now);
  const refused = refuseHopeless(state, now);
  forgetExpired(state, now);
  return [...sent, ...refused];
}

/** Forgets failed requests whose retry was never asked for. */
function forgetExpired(state: DispatcherState, now: Instant): void {
  for (const { req } of state.active.values()) {
    if (req.deadline <= now && !state.queue.has(req.id)) {
      forgetIdle(state, req.id);
    }
  }
}

function loads(state: DispatcherState): ReturnType<Dispatcher['loads']> {
  const { all, latency } = state.pool;
  return [...all.values()].map(({ address, running, slowness }) => ({
    backend: address,
    inFlight: running.size,
    queued: 0,
    latencyUs: Math.round(
      latency.meanMs * slownessAt(slowness, slowness.learnedAt) * 1_000,
    ),
  }));
}
