/** Learned response times: of all servers together, and of each one relative to them. */
import type { Instant, Millis } from '../core/time.js';

/** Weight of one answer in what is learned of all servers and of one. */
const POOL_GAIN = 1 / 256;
const BACKEND_GAIN = 1 / 8;

/** Time after which half of what was learned of one server is forgotten unless confirmed. */
const FORGET_HALF_MS = 500;

/** Shortest response time that is told apart. */
const MIN_LATENCY_MS = 0.01;

/** Smoothed response time of good answers of all servers. */
export interface LatencyModel {
  /** Mean, in milliseconds. */
  meanMs: Millis;
  /** Mean of the logarithm, which a heavy tail moves less. */
  meanLog: number;
}

/** How much slower than the others one server is. */
export interface Slowness {
  /** Smoothed logarithm of the response time over that of all servers. */
  log: number;
  learnedAt: Instant;
}

/** Creates a model that assumes `initialMs` until it has learned. */
export function createLatencyModel(initialMs: Millis): LatencyModel {
  return { meanMs: initialMs, meanLog: Math.log(initialMs) };
}

/** Creates the slowness of a server of which nothing is known. */
export function createSlowness(): Slowness {
  return { log: 0, learnedAt: 0 };
}

/** Learns from the response time of a good answer. */
export function learnLatency(
  model: LatencyModel,
  slowness: Slowness,
  latencyMs: Millis,
  now: Instant,
): void {
  const sample = Math.log(Math.max(MIN_LATENCY_MS, latencyMs));
  slowness.log = smooth(
    fadedLog(slowness, now),
    sample - model.meanLog,
    BACKEND_GAIN,
  );
  slowness.learnedAt = now;
  model.meanMs = smooth(model.meanMs, latencyMs, POOL_GAIN);
  model.meanLog = smooth(model.meanLog, sample, POOL_GAIN);
}

/** Returns how many times slower than the others a server is; fades to 1 while it is unused. */
export function slownessAt(slowness: Slowness, now: Instant): number {
  return Math.exp(fadedLog(slowness, now));
}

function fadedLog(slowness: Slowness, now: Instant): number {
  const idleMs = Math.max(0, now - slowness.learnedAt);
  return slowness.log * 0.5 ** (idleMs / FORGET_HALF_MS);
}

function smooth(old: number, sample: number, gain: number): number {
  return old + (sample - old) * gain;
}
