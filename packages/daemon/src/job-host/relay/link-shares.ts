/** What starts may take of the link of a host that leads. */

/** Part of the link for payloads that the leader sends itself, while other hosts can send them. */
const PAYLOAD_SHARE = 1 / 8;
/** Part of the link for all starts: looks, stops, appends and reads need the rest. */
const STARTS_SHARE = 0.65;

/** Bytes a second that starts may take; infinite where the link is. */
export interface LinkShares {
  /** For starts that the leader sends itself, with their payloads. */
  readonly payloads: number;
  /** For all starts, also those that it has other hosts send. */
  readonly starts: number;
}

/** Returns the shares of a link that carries `bytesPerS`. */
export function linkSharesOf(bytesPerS: number): LinkShares {
  return {
    payloads: bytesPerS * PAYLOAD_SHARE,
    starts: bytesPerS * STARTS_SHARE,
  };
}
