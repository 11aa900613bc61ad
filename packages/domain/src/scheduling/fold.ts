/** The deterministic fold over the decision stream of one availability zone. */
import {
  comparePositions,
  type Position,
  type StreamRecord,
} from '../streams/record.js';

import { applyJobDecision } from './fold-jobs.js';
import { applyShardDecision } from './fold-shards.js';
import { applyTaskDecision } from './fold-tasks.js';
import { decodeDecision, type Decision } from './records.js';
import { epochAt, type ScheduleState } from './state.js';
import { APPLIED, voided, type Verdict } from './verdict.js';

const SKIPPED: Verdict = { kind: 'skipped' };
const MALFORMED: Verdict = { kind: 'malformed' };

/** Applies one record; the same records in the same order give the same state on every host. */
export function applyRecord(
  state: ScheduleState,
  record: StreamRecord,
  position: Position,
): Verdict {
  const { position: last } = state;
  if (last !== undefined && comparePositions(position, last) <= 0) {
    return SKIPPED;
  }
  state.position = position;
  if (isElsewhere(state, record)) {
    return SKIPPED;
  }
  const decision = decodeDecision(record);
  if (decision === undefined) {
    state.malformed += 1;
    return MALFORMED;
  }
  const verdict = applyDecision(state, decision);
  if (verdict.kind === 'void') {
    state.voided += 1;
  }
  return verdict;
}

/** Kinds that are folded for every shard of the availability zone. */
const COMMON_KINDS: ReadonlySet<string> = new Set([
  'owner_opened',
  'job_submitted',
  'job_homed',
  'shard_reported',
]);

/** Tells, without checking the whole body, whether a record concerns other shards only. */
function isElsewhere(state: ScheduleState, record: StreamRecord): boolean {
  const { body } = record;
  if (typeof body !== 'object' || body === null || !('shard' in body)) {
    return false;
  }
  const { shard } = body;
  return (
    typeof shard === 'string' &&
    !state.shards.has(shard) &&
    !COMMON_KINDS.has(record.kind)
  );
}

function applyDecision(state: ScheduleState, decision: Decision): Verdict {
  switch (decision.kind) {
    case 'owner_opened':
      return openShard(state, decision.body);
    case 'job_submitted':
    case 'job_cancelled':
    case 'job_homed':
    case 'job_released':
    case 'job_held':
    case 'job_unschedulable':
      return applyJobDecision(state, decision);
    case 'task_started':
    case 'task_evicting':
    case 'task_ended':
    case 'task_held':
    case 'task_moved':
      return applyTaskDecision(state, decision);
    case 'worker_quarantined':
    case 'worker_released':
    case 'quota_lent':
    case 'shard_reported':
      return applyShardDecision(state, decision);
  }
}

function openShard(
  state: ScheduleState,
  body: Extract<Decision, { kind: 'owner_opened' }>['body'],
): Verdict {
  const { shard, epoch, owner } = body;
  if (epoch <= epochAt(state, shard)) {
    return voided('superseded');
  }
  state.openings.set(shard, { epoch, owner });
  const schedule = state.shards.get(shard);
  if (schedule !== undefined) {
    schedule.version += 1;
  }
  return APPLIED;
}
