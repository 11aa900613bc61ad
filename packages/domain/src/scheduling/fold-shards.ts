/** Fold of the decisions on workers, quotas and shards. */
import { addResources, subtractResources } from '../core/resources.js';

import { touch } from './fold-jobs.js';
import { parseTaskId } from './ids.js';
import type { Decision, DecisionBody } from './records.js';
import { teamUse, workerLoad, type ShardSchedule } from './shard.js';
import { epochAt, type ScheduleState } from './state.js';
import {
  APPLIED,
  isVerdict,
  schedulerOf,
  voided,
  type Verdict,
} from './verdict.js';
import type { WorkerLoad } from './worker.js';

type ShardDecision = Extract<
  Decision,
  {
    kind:
      | 'worker_quarantined'
      | 'worker_released'
      | 'quota_lent'
      | 'shard_reported';
  }
>;

/** Applies a decision on a worker, a quota or a shard. */
export function applyShardDecision(
  state: ScheduleState,
  decision: ShardDecision,
): Verdict {
  switch (decision.kind) {
    case 'worker_quarantined':
      return quarantine(state, decision.body);
    case 'worker_released':
      return release(state, decision.body);
    case 'quota_lent':
      return lend(state, decision.body);
    case 'shard_reported':
      return noteReport(state, decision.body);
  }
}

function quarantine(
  state: ScheduleState,
  body: DecisionBody<'worker_quarantined'>,
): Verdict {
  const schedule = schedulerOf(state, body.shard, body.epoch);
  if (isVerdict(schedule)) {
    return schedule;
  }
  const load = workerLoad(schedule, body.worker);
  if (load.quarantines !== body.round) {
    return voided('out_of_turn');
  }
  load.quarantines += 1;
  load.quarantinedUntilWall = body.untilWall;
  load.probe = 'none';
  forgiveTasks(schedule, load);
  schedule.version += 1;
  return APPLIED;
}

/** Takes the failures that the worker caused off its tasks and jobs. */
function forgiveTasks(schedule: ShardSchedule, load: WorkerLoad): void {
  for (const failure of load.failures) {
    const job = schedule.jobs.get(failure.job);
    const task = job?.tasks.get(parseTaskId(failure.task).index);
    if (job === undefined) {
      continue;
    }
    job.failedOn.delete(load.id);
    if (task !== undefined && task.failures > 0) {
      task.failures -= 1;
    }
    touch(schedule, job);
  }
  load.failures = [];
}

function release(
  state: ScheduleState,
  body: DecisionBody<'worker_released'>,
): Verdict {
  const schedule = schedulerOf(state, body.shard, body.epoch);
  if (isVerdict(schedule)) {
    return schedule;
  }
  const load = workerLoad(schedule, body.worker);
  const quarantined = load.quarantinedUntilWall !== undefined;
  if (!quarantined || load.quarantines !== body.round) {
    return voided('out_of_turn');
  }
  load.quarantinedUntilWall = undefined;
  load.probe = 'none';
  load.failures = [];
  schedule.version += 1;
  return APPLIED;
}

function lend(state: ScheduleState, body: DecisionBody<'quota_lent'>): Verdict {
  if (body.epoch !== epochAt(state, body.fromShard)) {
    return voided('superseded');
  }
  if (body.loan <= (state.loans.get(body.fromShard) ?? 0)) {
    return voided('duplicate');
  }
  if (body.fromShard === body.toShard) {
    return voided('out_of_turn');
  }
  state.loans.set(body.fromShard, body.loan);
  const from = state.shards.get(body.fromShard);
  if (from !== undefined) {
    const team = teamUse(from, body.team);
    team.borrowed = subtractResources(team.borrowed, body.amount);
    from.version += 1;
  }
  const to = state.shards.get(body.toShard);
  if (to !== undefined) {
    const team = teamUse(to, body.team);
    team.borrowed = addResources(team.borrowed, body.amount);
    to.version += 1;
  }
  return APPLIED;
}

function noteReport(
  state: ScheduleState,
  body: DecisionBody<'shard_reported'>,
): Verdict {
  if (body.epoch !== epochAt(state, body.shard)) {
    return voided('superseded');
  }
  const { shard, atWall, free, waiting, lacking } = body;
  state.reports.set(shard, { shard, atWall, free, waiting, lacking });
  return APPLIED;
}
