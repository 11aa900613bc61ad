/** Order of what is told of one member. */
import type { Instant, Random } from '../core/time.js';

/** The part of a member's information that orders it. */
export interface MemberVersion {
  readonly incarnation: string;
  readonly sequence: number;
}

const TIME_DIGITS = 10;
const RANDOM_DIGITS = 6;
const RADIX = 36;

/** Names a start of the process at wall-clock `startedAt`; a later start compares greater. */
export function newIncarnation(startedAt: Instant, random: Random): string {
  const time = Math.floor(startedAt).toString(RADIX).padStart(TIME_DIGITS, '0');
  const salt = Math.floor(random() * RADIX ** RANDOM_DIGITS)
    .toString(RADIX)
    .padStart(RANDOM_DIGITS, '0');
  return `${time}-${salt}`;
}

/** Returns an incarnation greater than `heard`, for a host whose clock went back. */
export function incarnationAfter(heard: string): string {
  return `${heard}+`;
}

/** Compares two versions: negative when `a` is older, 0 when equal. */
export function compareVersions(a: MemberVersion, b: MemberVersion): number {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation < b.incarnation ? -1 : 1;
  }
  return a.sequence - b.sequence;
}
