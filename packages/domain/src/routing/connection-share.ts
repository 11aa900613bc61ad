/** The share of one entry host in the connections that a server accepts from all of them. */
import { hash32 } from '../core/random.js';
import type { Instant, Millis } from '../core/time.js';

/** What a share follows from. */
export interface ConnectionShareOptions {
  /** Connections that a server accepts over all entry hosts. */
  readonly connections: number;
  /** Entry hosts that were planned for. */
  readonly planned: number;
  /** Entry hosts that may be live without being known here yet. */
  readonly headroom: number;
  /** Time within which every entry host has seen a change. */
  readonly settleMs: Millis;
  /** Time within which every request that runs has ended. */
  readonly drainMs: Millis;
  readonly self: string;
  /** When this entry host joined. */
  readonly joinedAt: Instant;
}

/** The share of one entry host; it shrinks at once and grows only after the settling time. */
export interface ConnectionShare {
  /** Takes the entry hosts now live, this one included. */
  setHosts(count: number, ids: readonly string[], now: Instant): void;
  /** Returns the connections that this entry host may hold to a server, by its address. */
  limitsAt(now: Instant): (address: string) => number;
}

interface View {
  readonly count: number;
  readonly ids: readonly string[];
  /** When a newer view replaced it; Infinity for the current one. */
  readonly endedAt: Instant;
}

/** Creates the share of an entry host that knows of no other. */
export function createConnectionShare(
  options: ConnectionShareOptions,
): ConnectionShare {
  const { connections, planned, headroom, self } = options;
  const keepMs = options.settleMs + options.drainMs;
  let views: View[] = [{ count: 1, ids: [self], endedAt: Infinity }];

  /** Every host of the views that others may still act on. */
  function recent(now: Instant): { count: number; ids: ReadonlySet<string> } {
    views = views.filter(view => view.endedAt + keepMs > now);
    const ids = new Set(views.flatMap(view => view.ids));
    const counts = views.map(view => view.count);
    return { count: Math.max(ids.size, ...counts), ids };
  }

  return {
    setHosts(count, ids, now) {
      views = views.map(view => ({
        ...view,
        endedAt: Math.min(view.endedAt, now),
      }));
      views.push({ count, ids, endedAt: Infinity });
    },
    limitsAt(now) {
      const { count, ids } = recent(now);
      const isJoining = now < options.joinedAt + keepMs;
      if (isJoining && count > planned + headroom) {
        return () => 0;
      }
      const hosts = Math.max(planned, count) + headroom;
      const share = Math.floor(connections / hosts);
      const places = Math.max(1, connections - headroom);
      return share > 0
        ? () => share
        : address => (rankOf(self, ids, address) < places ? 1 : 0);
    },
  };
}

/** Returns how many hosts come before `self` in the rendezvous order of the server. */
function rankOf(
  self: string,
  ids: ReadonlySet<string>,
  address: string,
): number {
  if (!ids.has(self)) {
    return Infinity;
  }
  const weightOf = (id: string): number => hash32(`${address}\u0000${id}`);
  const own = weightOf(self);
  let rank = 0;
  for (const id of ids) {
    const weight = weightOf(id);
    if (weight > own || (weight === own && id < self)) {
      rank += 1;
    }
  }
  return rank;
}
