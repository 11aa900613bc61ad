/** What this entry host knows of the backend servers of one service. */
import type { Instant } from '../core/time.js';
import type { BackendInfo, TryResult } from './dispatcher.js';
import type { Tunables } from './options.js';

/** Weight of one answer in the smoothed response time. */
const LATENCY_GAIN = 1 / 16;

/** Failures in a row that count as fully failing; more do not lengthen the ejection. */
const MAX_FAILURE_SCORE = 12;

/** One backend server. */
export interface Backend {
  readonly address: string;
  info: BackendInfo;
  /** Tries of this entry host that run on it. */
  inFlight: number;
  /** Smoothed response time of good answers, in milliseconds; undefined before the first. */
  latencyMs: number | undefined;
  /** Grows with failures, halves with each good answer. */
  failureScore: number;
  /** Ejected until then. */
  ejectedUntil: Instant;
}

/** The servers of one service. */
export interface BackendPool {
  readonly all: Map<string, Backend>;
  /** Those that may be given new requests, by address. */
  live: readonly Backend[];
  /** Smoothed response time over all servers, in milliseconds. */
  latencyMs: number;
}

/** Creates a pool without servers. */
export function createBackendPool(tunables: Tunables): BackendPool {
  return { all: new Map(), live: [], latencyMs: tunables.initialLatencyMs };
}

/** Replaces the list of servers; one that vanished is kept while tries run on it. */
export function replaceBackends(
  pool: BackendPool,
  listed: readonly BackendInfo[],
): void {
  const addresses = new Set(listed.map(info => info.address));
  for (const backend of pool.all.values()) {
    if (!addresses.has(backend.address)) {
      backend.info = { ...backend.info, state: 'leaving' };
      dropIfGone(pool, backend, addresses);
    }
  }
  for (const info of listed) {
    const known = pool.all.get(info.address);
    if (known === undefined) {
      pool.all.set(info.address, newBackend(info));
    } else {
      known.info = info;
    }
  }
  pool.live = [...pool.all.values()]
    .filter(backend => backend.info.state === 'live')
    .sort((a, b) => (a.address < b.address ? -1 : 1));
}

function dropIfGone(
  pool: BackendPool,
  backend: Backend,
  listed: ReadonlySet<string>,
): void {
  if (backend.inFlight === 0 && !listed.has(backend.address)) {
    pool.all.delete(backend.address);
  }
}

function newBackend(info: BackendInfo): Backend {
  return {
    address: info.address,
    info,
    inFlight: 0,
    latencyMs: undefined,
    failureScore: 0,
    ejectedUntil: 0,
  };
}

/** Tells whether a result speaks against the server that gave it. */
export function isFailure(result: TryResult): boolean {
  switch (result.kind) {
    case 'answered':
      return result.status >= 500 && result.status !== 501;
    case 'not_sent':
    case 'broken':
    case 'timeout':
      return true;
    case 'canceled':
      return false;
  }
}

/** Learns from the end of a try that began at `startedAt`. */
export function recordResult(
  pool: BackendPool,
  backend: Backend,
  result: TryResult,
  startedAt: Instant,
  now: Instant,
  tunables: Tunables,
): void {
  if (isFailure(result)) {
    recordFailure(pool, backend, now, tunables);
  } else if (result.kind === 'answered') {
    recordAnswer(pool, backend, now - startedAt);
  }
}

function recordAnswer(
  pool: BackendPool,
  backend: Backend,
  latencyMs: number,
): void {
  backend.failureScore = Math.floor(backend.failureScore / 2);
  backend.latencyMs = smooth(backend.latencyMs ?? pool.latencyMs, latencyMs);
  pool.latencyMs = smooth(pool.latencyMs, latencyMs);
}

function smooth(old: number, sample: number): number {
  return old + (sample - old) * LATENCY_GAIN;
}

function recordFailure(
  pool: BackendPool,
  backend: Backend,
  now: Instant,
  tunables: Tunables,
): void {
  backend.failureScore = Math.min(MAX_FAILURE_SCORE, backend.failureScore + 1);
  if (isEjected(backend, now) || !mayEject(pool, now, tunables)) {
    return;
  }
  const ejectionMs = pool.latencyMs * 2 ** (backend.failureScore - 1);
  backend.ejectedUntil = now + Math.min(ejectionMs, tunables.maxEjectionMs);
}

/** Tells whether the server is ejected at `now`. */
export function isEjected(backend: Backend, now: Instant): boolean {
  return now < backend.ejectedUntil;
}

function mayEject(
  pool: BackendPool,
  now: Instant,
  tunables: Tunables,
): boolean {
  const ejected = pool.live.filter(other => isEjected(other, now)).length;
  return ejected + 1 <= pool.live.length * tunables.maxEjectedShare;
}
