/** What this entry host knows of the backend servers of one service. */
import type { Instant, Millis } from '../core/time.js';
import {
  createLatencyModel,
  createSlowness,
  type LatencyModel,
  type Slowness,
} from './latency-model.js';
import type { BackendInfo } from './dispatcher.js';

/** One backend server. */
export interface Backend {
  readonly address: string;
  info: BackendInfo;
  /** Start of each try of this entry host that runs on it, by request, in order. */
  readonly running: Map<number, Instant>;
  readonly slowness: Slowness;
  /** Attraction that interference control gives it: 1 is neutral. */
  weight: number;
  /** Tries that this entry host may run on it by its share of the slots. */
  homeSlots: number;
  /** Connections that this entry host may hold to it. */
  connectionLimit: number;
  /** Grows with each failure, halves with each good answer. */
  failureScore: number;
  /** Ejected until then. */
  ejectedUntil: Instant;
}

/** The servers of one service. */
export interface BackendPool {
  readonly all: Map<string, Backend>;
  /** Those that may be given new requests, by address. */
  live: readonly Backend[];
  /** The live ones at which this entry host has slots, and the rest. */
  home: readonly Backend[];
  away: readonly Backend[];
  /** Slots of this entry host at the live servers. */
  homeSlots: number;
  readonly latency: LatencyModel;
}

/** Creates a pool without servers. */
export function createBackendPool(initialLatencyMs: Millis): BackendPool {
  return {
    all: new Map(),
    live: [],
    home: [],
    away: [],
    homeSlots: 0,
    latency: createLatencyModel(initialLatencyMs),
  };
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
  dropUnused(pool);
}

/** Forgets servers that are gone and on which nothing runs any more. */
export function dropUnused(pool: BackendPool): void {
  for (const backend of pool.all.values()) {
    if (backend.info.state !== 'live' && backend.running.size === 0) {
      pool.all.delete(backend.address);
    }
  }
}

/** Applies a division of the slots: those of this entry host, by address. */
export function setHomeSlots(
  pool: BackendPool,
  slots: ReadonlyMap<string, number>,
): void {
  for (const backend of pool.live) {
    backend.homeSlots = slots.get(backend.address) ?? 0;
  }
  pool.home = pool.live.filter(backend => backend.homeSlots > 0);
  pool.away = pool.live.filter(backend => backend.homeSlots === 0);
  pool.homeSlots = pool.home.reduce((sum, { homeSlots }) => sum + homeSlots, 0);
}

function newBackend(info: BackendInfo): Backend {
  return {
    address: info.address,
    info,
    running: new Map(),
    slowness: createSlowness(),
    weight: 1,
    homeSlots: 0,
    connectionLimit: 0,
    failureScore: 0,
    ejectedUntil: 0,
  };
}
