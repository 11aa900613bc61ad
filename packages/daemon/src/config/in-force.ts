/** Whether this host may serve by the configuration that it has: a pure state machine. */
import type { Instant, Millis } from '@paddlewind/domain';

/** What the gate looks at. */
export interface ForceEvidence {
  /** Next offset to be folded; undefined while there is no state. */
  readonly offset: number | undefined;
  /** Highest offset heard of, from peers or as the log's head. */
  readonly known: number;
  /** Whether everything up to the log's head was folded since this process began. */
  readonly isCaughtUp: boolean;
  /** Whether the log has answered a read since this process began. */
  readonly hasLogAnswered: boolean;
  /** Whether a peer that serves can be reached. */
  readonly hasPeer: boolean;
  /** Whether the stream can be followed; false once entries expired unread or a record is too new. */
  readonly canFollow: boolean;
}

/** Spans of the gate. */
export interface ForceLimits {
  /** How long a host in force may take to obtain a newer offset that it hears of. */
  readonly graceMs: Millis;
  /** How long a fresh host listens for peers before it goes by them in an outage. */
  readonly settleMs: Millis;
}

/** Decides whether the configuration is in force here. */
export interface InForceCheck {
  /** Takes the evidence; call at every change of it. */
  note(evidence: ForceEvidence, now: Instant): void;
  /** Whether this host has begun to serve; it never goes back to a state before that. */
  hasBegun(): boolean;
  inForce(now: Instant): boolean;
}

/** Creates the gate of a host that started at `startedAt`. */
export function createInForceCheck(
  limits: ForceLimits,
  startedAt: Instant,
): InForceCheck {
  let hasBegun = false;
  let behindSince: Instant | undefined;

  function mayBegin(evidence: ForceEvidence, now: Instant): boolean {
    const { offset, known } = evidence;
    if (offset === undefined || offset < known || !evidence.canFollow) {
      return false;
    }
    const isSettled = now - startedAt >= limits.settleMs;
    const mayGoByPeers =
      !evidence.hasLogAnswered && evidence.hasPeer && isSettled;
    return evidence.isCaughtUp || mayGoByPeers;
  }

  function note(evidence: ForceEvidence, now: Instant): void {
    hasBegun = hasBegun || mayBegin(evidence, now);
    const offset = evidence.offset ?? 0;
    const isBehind = offset < evidence.known || !evidence.canFollow;
    behindSince = isBehind ? (behindSince ?? now) : undefined;
  }

  return {
    note,
    hasBegun: () => hasBegun,
    inForce: now =>
      hasBegun &&
      (behindSince === undefined || now - behindSince < limits.graceMs),
  };
}
