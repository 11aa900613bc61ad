/** Shares of a leader's link that payloads may use. */

/** Fraction of the link for payloads while other hosts can send them. */
const PAYLOAD_SHARE = 1 / 8;
/**
 * Fraction of the link for payloads while no other host can send them; polls, stops, appends and
 * reads need the rest.
 */
const WITHOUT_RELAYS_SHARE = 0.65;

/** Bandwidth of a leader's link for payloads, in bytes per second; infinite on an unlimited link. */
export interface LinkShares {
  /** Payload rate up to which the leader sends all starts itself. */
  readonly payloads: number;
  /** For starts that other hosts could not send. */
  readonly retries: number;
  /** For all starts while no other host can send any. */
  readonly withoutRelays: number;
}

/** Returns the shares of a link that carries `bytesPerS`. */
export function linkSharesOf(bytesPerS: number): LinkShares {
  return {
    payloads: bytesPerS * PAYLOAD_SHARE,
    retries: bytesPerS * PAYLOAD_SHARE,
    withoutRelays: bytesPerS * WITHOUT_RELAYS_SHARE,
  };
}
