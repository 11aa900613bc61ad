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

interface Candidate {
  readonly backend: Backend;
  /** Whether a slot of this host is free there and nothing is known against the server. */
  readonly isFree: boolean;
  readonly scoreMs: Millis;
}

/** Returns the server to send to now, or undefined when the request has to wait. */
export function chooseBackend(
  state: DispatcherState,
  avoid: readonly string[],
  now: Instant,
): Backend | undefined {
  const best =
    bestCandidate(state, avoid, now) ??
    (avoid.length > 0 ? bestCandidate(state, [], now) : undefined);
  return best !== undefined && isWorthNow(state, best, now)
    ? best.backend
    : undefined;
}

function bestCandidate(
  state: DispatcherState,
  avoid: readonly string[],
  now: Instant,
): Candidate | undefined {
  const { home, away } = state.pool;
  const atHome = bestOf(state, home, avoid, now);
  if (atHome?.isFree === true) {
    return atHome;
  }
  return better(atHome, bestOf(state, away, avoid, now));
}

/** Compares a sample of the servers that may be used. */
function bestOf(
  state: DispatcherState,
  servers: readonly Backend[],
  avoid: readonly string[],
  now: Instant,
): Candidate | undefined {
  let best: Candidate | undefined;
  let compared = 0;
  for (const backend of fromRandom(state, servers)) {
    if (!mayUse(state, backend, avoid, now)) {
      continue;
    }
    const isFree = isFreeAndUsual(state, backend, now);
    const scoreMs = scoreOf(state, backend, now);
    best = better(best, { backend, isFree, scoreMs });
    compared += 1;
    if (compared >= state.tunables.sampleSize) {
      break;
    }
  }
  return best;
}

/** Goes through the servers once, from a random one on. */
function* fromRandom(
  state: DispatcherState,
  servers: readonly Backend[],
): Generator<Backend> {
  const offset = Math.floor(state.options.random() * servers.length);
  for (let i = 0; i < servers.length; i++) {
    const backend = servers[(offset + i) % servers.length];
    if (backend !== undefined) {
      yield backend;
    }
  }
}

/** A free slot comes first, then the least expected response time. */
function better(
  a: Candidate | undefined,
  b: Candidate | undefined,
): Candidate | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  if (a.isFree !== b.isFree) {
    return a.isFree ? a : b;
  }
  return b.scoreMs < a.scoreMs ? b : a;
}

function isFreeAndUsual(
  state: DispatcherState,
  backend: Backend,
  now: Instant,
): boolean {
  return (
    backend.running.size < backend.homeSlots &&
    backend.weight >= 1 &&
    slownessOf(state, backend, now) <= state.tunables.slownessDeadband
  );
}

function isWorthNow(
  state: DispatcherState,
  best: Candidate,
  now: Instant,
): boolean {
  const waitMs = waitingScoreMs(state);
  return (
    best.isFree ||
    best.scoreMs <= waitMs ||
    best.scoreMs <= waitMs * leastWaited(state, now)
  );
}

/**
 * Returns the slowness of the fastest server, of a sample, whose slots of this host are all taken: what a
 * waiting request waits for. Infinity when none is, so that nothing waits while all servers are slow and free.
 */
function leastWaited(state: DispatcherState, now: Instant): number {
  let least = Infinity;
  let compared = 0;
  for (const backend of fromRandom(state, state.pool.home)) {
    const isTaken = backend.running.size >= backend.homeSlots;
    if (isTaken && !isEjected(backend, now)) {
      least = Math.min(least, slownessFactor(state, backend, now));
      compared += 1;
    }
    if (compared >= state.tunables.sampleSize) {
      break;
    }
  }
  return least;
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
  const slowness = slownessOf(state, backend, now);
  return slowness > slownessDeadband
    ? slowness
    : 1 + slownessSlope * (slowness - 1);
}

/** Slowness by what the server answered and by what it still owes. */
function slownessOf(
  state: DispatcherState,
  backend: Backend,
  now: Instant,
): number {
  return Math.max(
    slownessAt(backend.slowness, now),
    oldestAge(state, backend, now) / SUSPECT_AGE,
  );
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
