/** What members tell of themselves and of one another. */
import type { Instant } from '../core/time.js';

/** A state that a member declares of itself. */
export type DeclaredState = 'ready' | 'not_ready' | 'leaving';

/** A state as told; only others tell `suspected`. */
export type ToldState = DeclaredState | 'suspected';

/** Where a member is reached. */
export interface MemberAddress {
  readonly id: string;
  /** `ip:port` of the peer listener. */
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
}

/** What is told of a member; `incarnation` and `sequence` order it. */
export interface MemberInfo extends MemberAddress {
  readonly incarnation: string;
  readonly sequence: number;
  readonly state: ToldState;
  readonly configOffset: number;
}

/** A member as one host sees it; `heardAt` is the last news of its life. */
export interface MemberView extends MemberInfo {
  readonly heardAt: Instant;
}

/** The content of a heartbeat or of its reply. */
export interface HeartbeatMessage {
  readonly sender: MemberInfo;
  /** Bounded news of other members. */
  readonly members: readonly MemberInfo[];
}

/** A call that the caller of the state machine must make. */
export type MembershipAction =
  | { readonly kind: 'heartbeat'; readonly target: MemberAddress }
  | {
      readonly kind: 'probe';
      readonly via: MemberAddress;
      readonly target: MemberAddress;
    };
