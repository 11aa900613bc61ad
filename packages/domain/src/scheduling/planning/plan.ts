/** The planner of one shard: what to decide next, given the folded state and a view of the world. */
import type { Instant, Random } from '../../core/time.js';
import type { Decision } from '../records.js';
import { epochAt, type ScheduleState } from '../state.js';
import type { ScheduleView } from '../view.js';

import { applyClaims } from './claims.js';
import { evictFromClosing, evictFromOvercommitted } from './evict.js';
import { judgeFailures } from './failures.js';
import { lendQuota, reportShard } from './lending.js';
import { forgetEpoch, park, syncFleet, syncQueue } from './memory.js';
import { newRound } from './round.js';
import { placeTasks } from './start.js';

/**
 * Returns the decisions to append now, none while another epoch decides or the log is down.
 * `now` is wall-clock milliseconds. Nothing is acted on before it is committed and folded.
 */
export function plan(
  state: ScheduleState,
  view: ScheduleView,
  now: Instant,
  random: Random,
): Decision[] {
  const schedule = state.shards.get(view.shard);
  const owned = epochAt(state, view.shard) === view.epoch;
  const blind = !view.logAvailable || view.workers.length === 0;
  if (schedule === undefined || !owned || blind) {
    return [];
  }
  const { planning } = schedule;
  syncFleet(planning, view.workers);
  if (planning.epoch !== view.epoch) {
    forgetEpoch(planning, view.epoch);
  }
  syncQueue(planning, schedule.jobs, schedule.touched, view.policies);
  const round = newRound(state, schedule, view, now, random);
  judgeFailures(round);
  evictFromClosing(round);
  evictFromOvercommitted(round);
  applyClaims(round);
  placeTasks(round);
  lendQuota(round);
  reportShard(round);
  round.hopeless.forEach(job => {
    park(planning, job);
  });
  return round.decisions;
}
