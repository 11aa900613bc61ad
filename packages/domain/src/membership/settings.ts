/** Times and bounds of membership. */
import type { Millis } from '../core/time.js';

/** Times and bounds of membership; spans in milliseconds. */
export interface MembershipSettings {
  /** Between two heartbeats to the same peer. */
  readonly intervalMs: Millis;
  /** After which an unanswered heartbeat or probe has failed. */
  readonly callTimeoutMs: Millis;
  /** From suspicion to the judgement that a silent member is gone. */
  readonly suspicionMs: Millis;
  /** A longer gap between two looks at the clock is a pause of this process. */
  readonly pauseMs: Millis;
  /** Silence of every peer after which this host counts as cut off. */
  readonly cutOffMs: Millis;
  /** How long a host that hears nobody judges nobody. */
  readonly holdJudgementMs: Millis;
  /** How long a member that is gone is remembered. */
  readonly forgetMs: Millis;
  /** Regions up to this many members exchange heartbeats all with all. */
  readonly fullMeshLimit: number;
  /** Peers asked to probe a member before it is suspected. */
  readonly indirectProbes: number;
  /** Members told of in one message. */
  readonly newsLimit: number;
  /** Heartbeats to another region are sent once in so many intervals. */
  readonly remoteEvery: number;
}

/** Settings that docs/design/membership.md reasons for. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  intervalMs: 1_000,
  callTimeoutMs: 800,
  suspicionMs: 3_000,
  pauseMs: 400,
  cutOffMs: 5_000,
  holdJudgementMs: 60_000,
  forgetMs: 120_000,
  fullMeshLimit: 16,
  indirectProbes: 3,
  newsLimit: 24,
  remoteEvery: 3,
};
