/** Verdicts of the fold on single records. */
import type { ShardSchedule } from './shard.js';
import { epochAt, type ScheduleState } from './state.js';

/** Why a well-formed record has no effect. */
export type VoidReason =
  /** Its epoch is not the one opened last. */
  | 'superseded'
  /** Its effect is there already. */
  | 'duplicate'
  /** What it names is finished, elsewhere or was never there. */
  | 'not_found'
  /** What it names is in a state that does not allow it. */
  | 'out_of_turn';

/** What became of a record. */
export type Verdict =
  | { readonly kind: 'applied' }
  | { readonly kind: 'void'; readonly reason: VoidReason }
  | { readonly kind: 'skipped' }
  | { readonly kind: 'malformed' };

/** The verdict on a record that took effect. */
export const APPLIED: Verdict = { kind: 'applied' };

/** Returns the verdict on a record without effect. */
export function voided(reason: VoidReason): Verdict {
  return { kind: 'void', reason };
}

/** Returns the schedule of `shard` when `epoch` is the one opened last, or else a verdict. */
export function schedulerOf(
  state: ScheduleState,
  shard: string,
  epoch: number,
): ShardSchedule | Verdict {
  if (epoch !== epochAt(state, shard)) {
    return voided('superseded');
  }
  return state.shards.get(shard) ?? { kind: 'skipped' };
}

/** Tells a verdict from a schedule. */
export function isVerdict(value: ShardSchedule | Verdict): value is Verdict {
  return 'kind' in value;
}
