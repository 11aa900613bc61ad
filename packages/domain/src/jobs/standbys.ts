/**
 * Chooses the standbys of the leader. Only standbys read every decision, at a cost that grows with the work
 * of the fleet, so their number must not grow with the number of hosts.
 */
import type { Instant, Millis } from '../core/time.js';

/** A host that has offered to be a standby. */
export interface Volunteer {
  readonly cores: number;
  /** Address at which other hosts reach it; undefined if it runs an earlier version. */
  readonly address: string | undefined;
  /** Monotonic time at which its newest offer was read. */
  readonly lastOfferAt: Instant;
}

/**
 * Maximum number of standbys besides the leader. If a third of all hosts are unreachable, the leader and all
 * eight standbys are among them in one of 20,000 cases. In a fleet of up to nine hosts every other host is a
 * standby.
 */
export const MAX_STANDBYS = 8;
/** Time after its last offer at which a host counts as unavailable: three offers may be lost. */
export const VOLUNTEER_TIMEOUT_MS: Millis = 12_000;

/** Hosts that could become leader. */
export interface Candidates {
  readonly volunteers: ReadonlyMap<string, Volunteer>;
  /** Hosts that the leader has chosen as standbys; undefined while every host may be one. */
  readonly standbys: readonly string[] | undefined;
}

/** Returns the addresses of the available hosts besides `leader` that follow the journal, by name. */
export function reachableStandbys(
  { volunteers, standbys }: Candidates,
  leader: string,
  now: Instant,
): Map<string, string> {
  const found = new Map<string, string>();
  for (const [host, { address, lastOfferAt }] of volunteers) {
    const follows = standbys?.includes(host) ?? true;
    const isAvailable = now - lastOfferAt < VOLUNTEER_TIMEOUT_MS;
    if (address !== undefined && host !== leader && follows && isAvailable) {
      found.set(host, address);
    }
  }
  return found;
}

/** Tells whether there are, or have been, more hosts than the leader and its standbys. */
export function hasMoreHostsThanStandbys({
  volunteers,
  standbys,
}: Candidates): boolean {
  return standbys !== undefined || volunteers.size > MAX_STANDBYS;
}

/**
 * Chooses the standbys of `leader`: hosts with more cores first, then those chosen before; undefined if every
 * host may be one.
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
    .filter(([, { lastOfferAt }]) => now - lastOfferAt < VOLUNTEER_TIMEOUT_MS)
    .sort(
      ([a, one], [b, other]) =>
        other.cores - one.cores || wasChosen(b) - wasChosen(a),
    )
    .slice(0, MAX_STANDBYS)
    .map(([host]) => host);
}
