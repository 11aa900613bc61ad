/** What the parts of a membership share. */
import type { Random } from '../core/time.js';
import type { CallPlan } from './call-plan.js';
import type { NewsQueue } from './news.js';
import type { Roster } from './roster.js';
import type { SelfMember } from './self.js';
import type { MembershipSettings } from './settings.js';

/** Counts changes that others should notice. */
export interface ChangeCounter {
  count(): number;
  mark(): void;
}

/** What the parts of a membership share. */
export interface MembershipContext {
  readonly settings: MembershipSettings;
  readonly random: Random;
  readonly roster: Roster;
  readonly news: NewsQueue;
  readonly self: SelfMember;
  readonly plan: CallPlan;
  readonly changes: ChangeCounter;
}

/** Counts changes from 0 and calls `onMark` at each. */
export function createChangeCounter(onMark: () => void): ChangeCounter {
  let count = 0;
  return {
    count: () => count,
    mark() {
      count += 1;
      onMark();
    },
  };
}
