/** Choice of a backend server for one request: the least expected response time, or to wait for a slot. */
import type { Instant, Millis } from '../core/time.js';
import type { Backend } from './backend-pool.js';
import type { DispatcherState } from './dispatcher-state.js';
import { allowedTries, isEjected } from './ejection.js';
import { slownessAt } from './latency-model.js';

/** Least weight that is told apart from 0. */
const MIN_WEIGHT = 0.01;

/** Age of a running try, in mean response times, at which its server begins to count as slow. */
const SUSPECT_AGE = 6;

interface Scored {
  readonly backend: Backend;
  readonly scoreMs: Millis;
}

/** Returns the server to send to now, or undefined when the request has to wait. */
export function chooseBackend(
  state: DispatcherState,
  avoid: readonly string[],
  now: Instant,
): Backend | undefined {
  const best =
    leastScore(state, avoid, now) ??
    (avoid.length > 0 ? leastScore(state, [], now) : undefined);
  return best !== undefined && isWorthNow(state, best, now)
    ? best.backend
    : undefined;
}

function isWorthNow(
  state: DispatcherState,
  best: Scored,
  now: Instant,
): boolean {
  const waitMs = waitingScoreMs(state);
  return (
    best.scoreMs <= waitMs || best.scoreMs <= waitMs * leastWaited(state, now)
  );
}

/**
 * Returns the slowness of the fastest server whose slots of this host are all taken: what a waiting
 * request waits for. Infinity when none is, so that nothing waits while all servers are slow and free.
 */
function leastWaited(state: DispatcherState, now: Instant): number {
  let least = Infinity;
  for (const backend of state.pool.home) {
    const isTaken = backend.running.size >= backend.homeSlots;
    if (isTaken && !isEjected(backend, now)) {
      least = Math.min(least, slownessFactor(state, backend, now));
    }
  }
  return least;
}

function leastScore(
  state: DispatcherState,
  avoid: readonly string[],
  now: Instant,
): Scored | undefined {
  const { home, away, latency } = state.pool;
  const atHome = leastOf(state, home, avoid, now);
  if (atHome !== undefined && atHome.scoreMs <= latency.meanMs) {
    return atHome;
  }
  const elsewhere = leastOf(state, away, avoid, now);
  if (atHome === undefined || elsewhere === undefined) {
    return atHome ?? elsewhere;
  }
  return atHome.scoreMs <= elsewhere.scoreMs ? atHome : elsewhere;
}

/** Compares a sample of the candidates that may be used. */
function leastOf(
  state: DispatcherState,
  candidates: readonly Backend[],
  avoid: readonly string[],
  now: Instant,
): Scored | undefined {
  const offset = Math.floor(state.options.random() * candidates.length);
  const { sampleSize } = state.tunables;
  let best: Scored | undefined;
  let compared = 0;
  for (let i = 0; i < candidates.length && compared < sampleSize; i++) {
    const backend = candidates[(offset + i) % candidates.length];
    if (backend === undefined || !mayUse(state, backend, avoid, now)) {
      continue;
    }
    compared += 1;
    const scoreMs = scoreOf(state, backend, now);
    if (best === undefined || scoreMs < best.scoreMs) {
      best = { backend, scoreMs };
    }
  }
  return best;
}

function mayUse(
  state: DispatcherState,
  backend: Backend,
  avoid: readonly string[],
  now: Instant,
): boolean {
  const { pool, tunables } = state;
  const spill = pool.homeSlots > 0 ? tunables.maxSpill : Infinity;
  return (
    backend.running.size < allowedTries(backend) &&
    backend.running.size < backend.homeSlots + spill &&
    !isEjected(backend, now) &&
    !avoid.includes(backend.address)
  );
}

/** Expected response time of a server, longer beyond this host's share of its slots. */
function scoreOf(
  state: DispatcherState,
  backend: Backend,
  now: Instant,
): Millis {
  const { crossZoneMs, spillCost } = state.tunables;
  const excess = Math.max(0, backend.running.size + 1 - backend.homeSlots);
  const isNear =
    backend.info.availabilityZone === state.options.availabilityZone;
  const runMs = state.pool.latency.meanMs * slownessFactor(state, backend, now);
  const weight = Math.max(MIN_WEIGHT, backend.weight);
  return (
    (runMs * (1 + excess * spillCost)) / weight + (isNear ? 0 : crossZoneMs)
  );
}

/** Slowness as it counts: in full when it is beyond chance, else only enough to order free servers. */
function slownessFactor(
  state: DispatcherState,
  backend: Backend,
  now: Instant,
): number {
  const { slownessDeadband, slownessSlope } = state.tunables;
  const slowness = Math.max(
    slownessAt(backend.slowness, now),
    oldestAge(state, backend, now) / SUSPECT_AGE,
  );
  return slowness > slownessDeadband
    ? slowness
    : 1 + slownessSlope * (slowness - 1);
}

/** Returns the age of the oldest running try in mean response times. */
function oldestAge(
  state: DispatcherState,
  backend: Backend,
  now: Instant,
): number {
  for (const startedAt of backend.running.values()) {
    return (now - startedAt) / state.pool.latency.meanMs;
  }
  return 0;
}

/** Expected response time when the next request waits here for a slot of this host's share. */
function waitingScoreMs(state: DispatcherState): Millis {
  const { latency, homeSlots } = state.pool;
  if (homeSlots === 0) {
    return Infinity;
  }
  const waits = (state.queue.size() + 1) / homeSlots;
  return latency.meanMs * (1 + waits) + state.tunables.crossZoneMs;
}
