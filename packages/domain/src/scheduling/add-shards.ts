/** Schedules of shards that a decision stream names for the first time. */
import type { StreamRecord } from '../streams/record.js';

import { decodeDecision, type Decision } from './records.js';
import { newShardSchedule } from './shard.js';
import type { ScheduleState } from './state.js';

/**
 * Returns the state with schedules of the shards that `record` names first, so that the fold
 * follows every shard of the stream whatever the configuration at hand. Apply the record afterwards.
 */
export function withNamedShards(
  state: ScheduleState,
  record: StreamRecord,
): ScheduleState {
  if (!NAMING_KINDS.has(record.kind)) {
    return state;
  }
  const decision = decodeDecision(record);
  const shard = decision && namedShard(decision);
  if (shard === undefined || state.shards.has(shard)) {
    return state;
  }
  const added = [shard, newShardSchedule(shard)] as const;
  return { ...state, shards: new Map([...state.shards, added]) };
}

/** Kinds by which a shard is first named. */
const NAMING_KINDS: ReadonlySet<string> = new Set([
  'owner_opened',
  'job_submitted',
  'task_moved',
]);

function namedShard({ kind, body }: Decision): string | undefined {
  if (kind === 'task_moved') {
    return body.toShard;
  }
  return kind === 'owner_opened' || kind === 'job_submitted'
    ? body.shard
    : undefined;
}
