/** Silence of other regions; each judges its own members, and only its silence as a whole is judged elsewhere. */
import type { Instant } from '../core/time.js';
import type { Moment, Roster } from './roster.js';
import type { MembershipSettings } from './settings.js';

/** Cycles of heartbeats to another region that may pass without news of it. */
const MISSED_CYCLES = 8;

function lastNews(roster: Roster): Map<string, Instant> {
  const heardAt = new Map<string, Instant>();
  for (const { info, heard } of roster.values()) {
    const before = heardAt.get(info.region) ?? -Infinity;
    heardAt.set(info.region, Math.max(before, heard?.running ?? -Infinity));
  }
  return heardAt;
}

/** Returns the regions other than `own` from which no news came for several cycles. */
export function silentRegions(
  roster: Roster,
  own: string,
  settings: MembershipSettings,
  at: Moment,
): ReadonlySet<string> {
  const limitMs = settings.intervalMs * settings.remoteEvery * MISSED_CYCLES;
  const silent = new Set<string>();
  for (const [region, heardAt] of lastNews(roster)) {
    if (region !== own && at.running - heardAt > limitMs) {
      silent.add(region);
    }
  }
  return silent;
}
