/** Starts of waiting tasks: quota, claims, choice of a worker, and what to do without room. */
import { addResources, fits, type Resources } from '../../core/resources.js';
import type { Instant, Millis } from '../../core/time.js';
import { parseTaskId } from '../ids.js';
import { peekTask } from '../job.js';

import { addClaim, claimSoonest, dropClaim, mayClaim } from './claims.js';
import { evictFor, ranksBelow } from './evict.js';
import { checkFeasible } from './feasibility.js';
import { sizeToReserve } from './learn.js';
import { RANKS, type Claim, type QueuedJob, type Rank } from './memory.js';
import { moveToRoom } from './moves.js';
import {
  countCandidate,
  countStart,
  isReady,
  newOrder,
  nextCandidate,
  refuseJob,
  skipJob,
  type Candidate,
  type Order,
} from './order.js';
import { blockedSizes, chooseWorker } from './place.js';
import {
  decideStart,
  teamRound,
  type Round,
  type WorkerRoom,
} from './round.js';

/** Decisions made by one plan at most, so that the caller's loop stays responsive. */
const MAX_DECISIONS = 256;
/** Tasks that one plan tries in vain at most. */
const MAX_MISSES = 64;
/** Every so many plans of a shard, a plan may try more, to reach far into the queue. */
const DEEP_EVERY = 16;
const MAX_MISSES_DEEP = 1_024;

/** Wait after which a task claims room before others overtake it. */
const CLAIM_AFTER_MS: Readonly<Record<Rank, Millis>> = {
  urgent: 0,
  normal: 15_000,
  low: 60_000,
};
/** Age of a claim after which preemptible work of its own rank is evicted for it, too. */
const PATIENCE_MS: Millis = 600_000;
/** Wait after which a task is moved to a shard that has room. */
const MOVE_AFTER_MS: Millis = 10_000;

/** What came of trying a task. */
type Outcome = 'started' | 'refused' | 'no_room' | 'waits';

/** A task without room that others must not overtake any longer. */
interface Overdue {
  readonly candidate: Candidate;
  readonly size: Resources;
  readonly waitedMs: Millis;
}

/** Starts waiting tasks in order while there is room. */
export function placeTasks(round: Round): void {
  const order = newOrder(round);
  const overdue: Overdue[] = [];
  const isHopeless = (entry: QueuedJob, rank: Rank) =>
    isHopelessNow(round, entry, rank);
  placeClaimants(round, order);
  let misses = missesAllowed(round);
  while (misses > 0 && round.decisions.length < MAX_DECISIONS) {
    const candidate = nextCandidate(round, order, isHopeless);
    if (candidate === undefined) {
      return;
    }
    const outcome = tryTask(round, candidate, overdue);
    misses -= outcome === 'started' ? 0 : 1;
    advance(round, order, candidate, outcome);
  }
}

/** Starts the tasks whose claims can be met, wherever they stand in the order. */
function placeClaimants(round: Round, order: Order): void {
  const { claims, queued } = round.schedule.planning;
  for (const claim of [...claims.values()].sort(byRank)) {
    const name = parseTaskId(claim.task);
    const job = round.schedule.jobs.get(name.job);
    const entry = job === undefined ? undefined : queued.get(job);
    const room = claimedWorker(round, claim);
    if (entry === undefined || room === undefined) {
      continue;
    }
    const task = peekTask(entry.job, name.index, claim.task);
    const { team } = entry.job.spec;
    const ready = task !== undefined && isReady(round, task);
    if (ready && withinQuota(round, team, claim.size)) {
      dropClaim(round, claim.task);
      decideStart(round, entry, task, room, claim.size);
      countStart(round, order, claim.rank);
    }
  }
}

function byRank(a: Claim, b: Claim): number {
  return RANKS.indexOf(a.rank) - RANKS.indexOf(b.rank);
}

/** Tells whether a job found no room, and may neither evict, claim nor move yet. */
function isHopelessNow(round: Round, entry: QueuedJob, rank: Rank): boolean {
  const { job } = entry;
  if (rank === 'urgent' || round.claimants.has(job.spec.name)) {
    return false;
  }
  const blocked = blockedSizes(round, entry);
  if (!blocked.some(other => fits(other, job.spec.size))) {
    return false;
  }
  const waited = round.now - job.servedAtWall;
  const mayMove = round.view.siblings.length > 0 && waited >= MOVE_AFTER_MS;
  const mayTakeClaim =
    waited >= CLAIM_AFTER_MS[rank] && mayClaim(round, rank, waited);
  return !mayMove && !mayTakeClaim;
}

function missesAllowed(round: Round): number {
  const memory = round.schedule.planning;
  memory.plans += 1;
  return memory.plans % DEEP_EVERY === 0 ? MAX_MISSES_DEEP : MAX_MISSES;
}

function advance(
  round: Round,
  order: Order,
  candidate: Candidate,
  outcome: Outcome,
): void {
  switch (outcome) {
    case 'started':
      countCandidate(round, order, candidate);
      return;
    case 'refused':
      refuseJob(candidate.cursor);
      order.turn = undefined;
      return;
    case 'no_room':
      skipJob(candidate.cursor);
      order.turn = undefined;
      return;
    case 'waits':
      order.turn = undefined;
      return;
  }
}

function tryTask(
  round: Round,
  candidate: Candidate,
  overdue: Overdue[],
): Outcome {
  const { entry, task } = candidate;
  if (!checkFeasible(round, entry)) {
    return 'no_room';
  }
  const { job } = entry;
  const memory = round.schedule.planning;
  const { id } = task;
  const claim = memory.claims.get(id);
  const size = claim?.size ?? sizeToReserve(memory.sizes, job, round.largest);
  if (!withinQuota(round, job.spec.team, size)) {
    dropClaim(round, id);
    return 'refused';
  }
  const room =
    claimedWorker(round, claim) ??
    chooseUnlessOvertaking(round, candidate, size, overdue);
  if (room === undefined) {
    return withoutRoom(round, candidate, size, claim, overdue);
  }
  dropClaim(round, id);
  decideStart(round, entry, task, room, size);
  return 'started';
}

function withinQuota(round: Round, name: string, size: Resources): boolean {
  const team = teamRound(round, name);
  const { limit } = team;
  if (limit === undefined || fits(addResources(team.used, size), limit)) {
    return true;
  }
  team.lacking = addResources(team.lacking, size);
  return false;
}

/** Returns the claimed worker once the task fits there. */
function claimedWorker(
  round: Round,
  claim: Claim | undefined,
): WorkerRoom | undefined {
  const room = claim === undefined ? undefined : round.rooms.get(claim.worker);
  const ready =
    room?.open === true && claim !== undefined && fits(claim.size, room.room);
  return ready ? room : undefined;
}

/** Chooses a worker; overdue tasks first claim theirs, so that the task does not overtake them. */
function chooseUnlessOvertaking(
  round: Round,
  candidate: Candidate,
  size: Resources,
  overdue: Overdue[],
): WorkerRoom | undefined {
  const room = chooseWorker(round, candidate.entry, size);
  if (room === undefined || overdue.length === 0) {
    return room;
  }
  const claims = overdue
    .splice(0)
    .sort((a, b) => b.waitedMs - a.waitedMs)
    .map(each => claimSoonest(round, each.candidate, each.size, each.waitedMs));
  return claims.includes(true)
    ? chooseWorker(round, candidate.entry, size)
    : room;
}

function withoutRoom(
  round: Round,
  candidate: Candidate,
  size: Resources,
  claim: Claim | undefined,
  overdue: Overdue[],
): Outcome {
  const { rank } = candidate;
  if (makeRoom(round, candidate, size, claim)) {
    return 'waits';
  }
  if (claim !== undefined) {
    return 'waits';
  }
  const waited = round.now - waitingSince(candidate);
  if (waited >= MOVE_AFTER_MS && moveToRoom(round, candidate, size)) {
    return 'waits';
  }
  if (waited >= CLAIM_AFTER_MS[rank]) {
    overdue.push({ candidate, size, waitedMs: waited });
  }
  return 'no_room';
}

/** Evicts others for the task where it may; its own claim does not stand in its way. */
function makeRoom(
  round: Round,
  candidate: Candidate,
  size: Resources,
  claim: Claim | undefined,
): boolean {
  const ranks = ranksToEvict(round, candidate.rank, claim);
  if (ranks.length === 0) {
    return false;
  }
  const room = claim === undefined ? undefined : round.rooms.get(claim.worker);
  if (claim !== undefined) {
    dropClaim(round, claim.task);
  }
  if (evictFor(round, candidate, size, ranks)) {
    return true;
  }
  if (claim !== undefined && room !== undefined) {
    addClaim(round, room, claim);
  }
  return false;
}

/** Returns the ranks whose preemptible work may be evicted for the task now. */
function ranksToEvict(
  round: Round,
  rank: Rank,
  claim: Claim | undefined,
): Rank[] {
  if (claim?.evicts === true) {
    return [];
  }
  if (claim !== undefined && round.now >= claim.sinceWall + PATIENCE_MS) {
    return [...ranksBelow(rank), rank];
  }
  return rank === 'urgent' ? ranksBelow(rank) : [];
}

/** Returns since when the task waits, or its job was last served. */
function waitingSince(candidate: Candidate): Instant {
  const { entry, task } = candidate;
  return Math.max(task.waitingSinceWall, entry.job.servedAtWall);
}
