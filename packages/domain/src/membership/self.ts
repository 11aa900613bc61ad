/** What this host tells of itself. */
import type { Instant, Millis } from '../core/time.js';
import type { DeclaredState, MemberAddress, MemberInfo } from './types.js';
import { incarnationAfter } from './version.js';

/** The part of a host's own information that changes. */
export interface SelfState {
  readonly state: DeclaredState;
  readonly configOffset: number;
}

/** This host's own information. */
export interface SelfMember {
  info(): MemberInfo;
  /** Takes a new state and tells whether it differs. */
  set(state: SelfState): boolean;
  /** Raises the sequence once an interval. */
  beat(running: Instant, intervalMs: Millis): void;
  /** Takes what others tell of this host; returns whether they must be corrected. */
  hear(info: MemberInfo): boolean;
}

/** Starts as not ready at sequence 1. */
export function createSelf(
  address: MemberAddress,
  incarnation: string,
): SelfMember {
  let nextBeatAt = -Infinity;
  let info: MemberInfo = {
    ...address,
    incarnation,
    sequence: 1,
    state: 'not_ready',
    configOffset: 0,
  };
  const raise = (change: Partial<MemberInfo>): void => {
    info = { ...info, ...change, sequence: info.sequence + 1 };
  };
  return {
    info: () => info,
    set(state) {
      const same =
        state.state === info.state && state.configOffset === info.configOffset;
      if (!same) {
        raise(state);
      }
      return !same;
    },
    beat(running, intervalMs) {
      if (running >= nextBeatAt) {
        raise({});
        nextBeatAt = running + intervalMs;
      }
    },
    hear(told) {
      if (told.incarnation > info.incarnation) {
        raise({ incarnation: incarnationAfter(told.incarnation) });
        return true;
      }
      const current = told.incarnation === info.incarnation;
      if (current && told.state === 'suspected') {
        raise({});
        return true;
      }
      return false;
    },
  };
}
