/**
 * Which hosts stand by to lead. Only these read every decision; what that costs grows with the fleet's
 * work, so that their number must not grow with the number of hosts.
 */
import type { Instant, Millis } from '../core/time.js';

/** A host that has offered to stand by. */
export interface Volunteer {
  readonly cores: number;
  /** Where other hosts reach it; undefined for one of an earlier version. */
  readonly address: string | undefined;
  /** Monotonic time at which its newest offer was read. */
  readonly lastOfferAt: Instant;
}

/**
 * Hosts that stand by beside the leader. With a third of all hosts out of reach, of nine none is left once
 * in 20,000 times; and a fleet of up to nine hosts works as if all stood by.
 */
export const MAX_STANDBYS = 8;
/** A host that has not offered itself for this long is gone: three offers may be lost. */
export const VOLUNTEER_LIFE_MS: Millis = 12_000;

/** What is known of the hosts that could lead. */
export interface Candidates {
  readonly volunteers: ReadonlyMap<string, Volunteer>;
  /** Hosts that the leader has chosen to stand by; undefined while all may. */
  readonly standbys: readonly string[] | undefined;
}

/** Returns where the hosts are reached that follow the journal beside `leader`, by name. */
export function reachableStandbys(
  { volunteers, standbys }: Candidates,
  leader: string,
  now: Instant,
): Map<string, string> {
  const found = new Map<string, string>();
  for (const [host, { address, lastOfferAt: heardAt }] of volunteers) {
    const follows = standbys?.includes(host) ?? true;
    const isThere = now - heardAt < VOLUNTEER_LIFE_MS;
    if (address !== undefined && host !== leader && follows && isThere) {
      found.set(host, address);
    }
  }
  return found;
}

/** Whether there are, or have been, more hosts than the leader and those that stand by. */
export function hasMoreHostsThanStandbys({
  volunteers,
  standbys,
}: Candidates): boolean {
  return standbys !== undefined || volunteers.size > MAX_STANDBYS;
}

/**
 * Returns the hosts that are to stand by beside `leader`, large ones first, then those chosen before;
 * undefined where all may.
 */
export function chooseStandbys(
  candidates: Candidates,
  leader: string,
  now: Instant,
): string[] | undefined {
  if (!hasMoreHostsThanStandbys(candidates)) {
    return undefined;
  }
  const { volunteers, standbys = [] } = candidates;
  const wasChosen = (host: string): number => Number(standbys.includes(host));
  return [...volunteers]
    .filter(([host]) => host !== leader)
    .filter(([, { lastOfferAt: heardAt }]) => now - heardAt < VOLUNTEER_LIFE_MS)
    .sort(
      ([a, one], [b, other]) =>
        other.cores - one.cores || wasChosen(b) - wasChosen(a),
    )
    .slice(0, MAX_STANDBYS)
    .map(([host]) => host);
}
