/** Deterministic random numbers and hashes for decisions, tests and benchmarks. */
import type { Random } from './time.js';

/** Creates a deterministic generator (mulberry32) from the 32-bit `seed`. */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Hashes `text` to an unsigned 32-bit number (FNV-1a with a final mix). */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns the candidates in rendezvous-hashing order for `key`, the preferred one first. */
export function rendezvousOrder(
  key: string,
  candidates: readonly string[],
): string[] {
  const weighted = candidates.map(name => ({
    name,
    weight: hash32(`${key}\u0000${name}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
  return weighted.map(entry => entry.name);
}
