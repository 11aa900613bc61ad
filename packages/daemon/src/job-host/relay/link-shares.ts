/** What payloads that a host sends itself, while it leads, may take of its link. */

/** Part of the link for payloads while other hosts can send them. */
const PAYLOAD_SHARE = 1 / 8;
/** Part of the link for all payloads where none can: looks, stops, appends and reads need the rest. */
const ALONE_SHARE = 0.65;

/** Bytes a second of payloads; infinite where the link is. */
export interface LinkShares {
  /** Up to which a leader has no other host send any. */
  readonly payloads: number;
  /** For starts that other hosts could not send. */
  readonly retries: number;
  /** For all starts, while no other host can send any. */
  readonly alone: number;
}

/** Returns the shares of a link that carries `bytesPerS`. */
export function linkSharesOf(bytesPerS: number): LinkShares {
  return {
    payloads: bytesPerS * PAYLOAD_SHARE,
    retries: bytesPerS * PAYLOAD_SHARE,
    alone: bytesPerS * ALONE_SHARE,
  };
}
