/** What happens in a queue model: requests, and how servers behave over time. All of it follows from a seed. */
import { type Instant, type Random, seededRandom } from '@paddlewind/domain';

/** Sizes of the model; the defaults are those of the memberlink service. */
export interface ModelSize {
  readonly entryHosts: number;
  readonly servers: number;
  readonly slots: number;
  readonly connections: number;
  readonly zones: number;
  /** Tries that may wait at a server. */
  readonly maxWaiting: number;
}

/** Nine entry hosts and 45 servers in four availability zones. */
export const MEMBERLINK: ModelSize = {
  entryHosts: 9,
  servers: 45,
  slots: 8,
  connections: 64,
  zones: 4,
  maxWaiting: Infinity,
};

/** What is wrong in a run. */
export type Scenario =
  'even' | 'skewed' | 'noise_wave' | 'failing_fast' | 'stalling';

/** Mean time that a server takes for a request, in milliseconds. */
export const MEAN_SERVICE_MS = 20;

/** Shape of the log-normal service time: p50 is 0.61, p99 is 6.2 of the mean. */
const SERVICE_SIGMA = 1;
const MAX_SERVICE_MS = 50 * MEAN_SERVICE_MS;

/** Time a caller gives a request, in milliseconds. */
export const DEADLINE_MS = 1_000;

/** One way between availability zones and within one, in milliseconds. */
const CROSS_ZONE_MS = 0.5;
const SAME_ZONE_MS = 0.1;

const WAVE_MS = 1_000;
const WAVE_SLOWDOWN = 3;
const WAVE_SHARE = 0.1;
const FAIL_FAST_MS = 1;

/** Share of requests that are idempotent. */
const IDEMPOTENT_SHARE = 0.8;

/** Load of the least and of the most loaded entry host when skewed, relative to the mean. */
const SKEW = 0.3;

/** One request. */
export interface ModelRequest {
  readonly id: number;
  readonly host: number;
  readonly arrivesAt: Instant;
  readonly deadline: Instant;
  readonly idempotent: boolean;
  /** Time that an undisturbed server takes, in milliseconds. */
  readonly workMs: number;
  /** Times that the caller has asked before. */
  readonly attempt: number;
}

/** How a server behaves at an instant. */
export type ServerMode =
  | { readonly kind: 'serving'; readonly slowdown: number }
  | { readonly kind: 'failing'; readonly afterMs: number }
  | { readonly kind: 'stalled' };

/** The input of one run. */
export interface Workload {
  readonly size: ModelSize;
  readonly endsAt: Instant;
  /** Returns the next request in order of arrival. */
  next(): ModelRequest;
  modeOf(server: number, at: Instant): ServerMode;
  delayMs(host: number, server: number): number;
}

/** Creates the workload of `load` (1 is all slots busy) that follows from `seed`. */
export function createWorkload(
  size: ModelSize,
  scenario: Scenario,
  load: number,
  endsAt: Instant,
  seed: number,
): Workload {
  return {
    size,
    endsAt,
    next: createArrivals(size, scenario, load, seed),
    modeOf: createModes(size, scenario, endsAt, seed),
    delayMs: (host, server) =>
      host % size.zones === server % size.zones ? SAME_ZONE_MS : CROSS_ZONE_MS,
  };
}

function createArrivals(
  size: ModelSize,
  scenario: Scenario,
  load: number,
  seed: number,
): () => ModelRequest {
  const random = seededRandom(seed);
  const perMs = (load * size.servers * size.slots) / MEAN_SERVICE_MS;
  let id = 0;
  let at = 0;
  return () => {
    at += -Math.log(1 - random()) / perMs;
    id += 1;
    return {
      id,
      host: pickHost(size, scenario, random),
      arrivesAt: at,
      deadline: at + DEADLINE_MS,
      idempotent: random() < IDEMPOTENT_SHARE,
      workMs: drawWorkMs(random),
      attempt: 0,
    };
  };
}

function pickHost(size: ModelSize, scenario: Scenario, random: Random): number {
  const host = Math.floor(random() * size.entryHosts);
  if (scenario !== 'skewed') {
    return host;
  }
  // Moves requests from the lower half to the mirrored upper half of the hosts.
  const mirror = size.entryHosts - 1 - host;
  const moved = random() < SKEW && host < mirror;
  return moved ? mirror : host;
}

function drawWorkMs(random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const factor = Math.exp(SERVICE_SIGMA * normal - SERVICE_SIGMA ** 2 / 2);
  return Math.min(MAX_SERVICE_MS, MEAN_SERVICE_MS * factor);
}

function createModes(
  size: ModelSize,
  scenario: Scenario,
  endsAt: Instant,
  seed: number,
): Workload['modeOf'] {
  const serving: ServerMode = { kind: 'serving', slowdown: 1 };
  const random = seededRandom(seed ^ 0x5bd1e995);
  const faulty = Math.floor(random() * size.servers);
  const isFaulty = (server: number, at: Instant): boolean =>
    server === faulty && at > endsAt / 4 && at < (endsAt * 3) / 4;
  switch (scenario) {
    case 'even':
    case 'skewed':
      return () => serving;
    case 'noise_wave':
      return createWaves(size, endsAt, random);
    case 'failing_fast':
      return (server, at) =>
        isFaulty(server, at)
          ? { kind: 'failing', afterMs: FAIL_FAST_MS }
          : serving;
    case 'stalling':
      return (server, at) =>
        isFaulty(server, at) ? { kind: 'stalled' } : serving;
  }
}

/** Every wave slows another tenth of the servers. */
function createWaves(
  size: ModelSize,
  endsAt: Instant,
  random: Random,
): Workload['modeOf'] {
  const slowPerWave: Set<number>[] = [];
  const slowServers = Math.ceil(size.servers * WAVE_SHARE);
  for (let at = 0; at <= endsAt; at += WAVE_MS) {
    const slow = new Set<number>();
    while (slow.size < slowServers) {
      slow.add(Math.floor(random() * size.servers));
    }
    slowPerWave.push(slow);
  }
  return (server, at) => {
    const slow = slowPerWave[Math.floor(at / WAVE_MS)]?.has(server) === true;
    return { kind: 'serving', slowdown: slow ? WAVE_SLOWDOWN : 1 };
  };
}
