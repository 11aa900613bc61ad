/** The planner of one shard: what to decide next, given the folded state and a view of the world. */
import { addResources, fits, type Resources } from '../../core/resources.js';
import type { Instant, Random } from '../../core/time.js';
import type { Decision } from '../records.js';
import { epochAt, type ScheduleState } from '../state.js';
import type { ScheduleView } from '../view.js';

import { syncFleet, syncQueue } from './memory.js';
import { newOrder, nextCandidate, skipJob, type Candidate } from './order.js';
import { chooseWorker } from './place.js';
import { decideStart, newRound, teamRound, type Round } from './round.js';

/** Decisions made by one plan at most, so that the caller's loop stays responsive. */
const MAX_DECISIONS = 256;
/** Tasks tried by one plan at most. */
const MAX_TRIES = 1_024;

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
  if (schedule === undefined || !owned || !view.logAvailable) {
    return [];
  }
  syncFleet(schedule.planning, view.workers);
  syncQueue(schedule.planning, schedule.jobs, schedule.touched, view.policies);
  const round = newRound(state, schedule, view, now, random);
  placeTasks(round);
  return round.decisions;
}

function placeTasks(round: Round): void {
  const order = newOrder(round);
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    if (round.decisions.length >= MAX_DECISIONS) {
      return;
    }
    const candidate = nextCandidate(round, order);
    if (candidate === undefined) {
      return;
    }
    if (!placeTask(round, candidate)) {
      skipJob(candidate.cursor);
    }
  }
}

function placeTask(round: Round, candidate: Candidate): boolean {
  const { entry, task } = candidate;
  const size = entry.job.spec.size;
  if (!withinQuota(round, entry.job.spec.team, size)) {
    return false;
  }
  const room = chooseWorker(round, entry, size);
  if (room === undefined) {
    return false;
  }
  decideStart(round, entry.job, task, room, size);
  return true;
}

function withinQuota(round: Round, team: string, size: Resources): boolean {
  const { used, limit } = teamRound(round, team);
  return limit === undefined || fits(addResources(used, size), limit);
}
