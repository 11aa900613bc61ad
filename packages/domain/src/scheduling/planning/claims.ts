/** Claims of waiting tasks on workers, so that what is freed there does not go to others. */
import {
  addResources,
  fits,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Instant, Millis } from '../../core/time.js';
import { parseTaskId, type TaskId } from '../ids.js';
import { peekTask } from '../job.js';
import { expectedSeconds } from '../shard.js';
import { placementOf } from '../task.js';
import { useOf } from '../worker.js';

import {
  eligibleWorkers,
  type Claim,
  type QueuedJob,
  type Rank,
} from './memory.js';
import type { Candidate } from './order.js';
import type { Round, WorkerRoom } from './round.js';

/** A claim that evicted others is given up after this; its task may evict anew. */
const EVICTING_CLAIM_MS: Millis = 120_000;
/** Short tasks may run in claimed room until a claim is this old. */
const BACKFILL_MS: Millis = 60_000;
/** Expected run times are stretched by this before a short task is let in. */
const BACKFILL_CAUTION = 1.5;
/** Workers for each claim of a rank that waits for others to end. */
const WORKERS_PER_CLAIM = 12;
/** Workers for each such claim once its task has waited long. */
const WORKERS_PER_LATE_CLAIM = 4;
/** Workers that are compared for a claim. */
const ROOMS_COMPARED = 4;
const LATE_MS: Millis = 120_000;

/** Drops claims that no longer hold and counts the others against the rooms. */
export function applyClaims(round: Round): void {
  const { claims } = round.schedule.planning;
  for (const claim of claims.values()) {
    const room = round.rooms.get(claim.worker);
    if (room === undefined || !isValid(round, claim, room)) {
      claims.delete(claim.task);
    } else {
      hold(round, room, claim);
    }
  }
}

function isValid(round: Round, claim: Claim, room: WorkerRoom): boolean {
  const name = parseTaskId(claim.task);
  const job = round.schedule.jobs.get(name.job);
  const task = job === undefined ? undefined : peekTask(job, name.index);
  const waits = task?.state.kind === 'queued' && job?.heldFor === undefined;
  const spent = claim.evicts && round.now > claim.sinceWall + EVICTING_CLAIM_MS;
  return waits && !round.busy.has(claim.task) && room.open && !spent;
}

function hold(round: Round, room: WorkerRoom, claim: Claim): void {
  room.claims.push(claim);
  round.claimants.add(parseTaskId(claim.task).job);
  if (admitsShort(round, claim)) {
    round.backfillUntil = Math.max(round.backfillUntil, claim.expectedAtWall);
  }
  room.claimed = addResources(room.claimed, claim.size);
}

/** Tells whether tasks that should end before the claim can be met may use its room. */
function admitsShort(round: Round, claim: Claim): boolean {
  return !claim.evicts && round.now <= claim.sinceWall + BACKFILL_MS;
}

/** Adds a claim of a waiting task on a worker. */
export function addClaim(round: Round, room: WorkerRoom, claim: Claim): void {
  dropClaim(round, claim.task);
  round.schedule.planning.claims.set(claim.task, claim);
  hold(round, room, claim);
}

/** Gives up the claim of a task. */
export function dropClaim(round: Round, task: TaskId): void {
  const { claims } = round.schedule.planning;
  const claim = claims.get(task);
  const room = claim === undefined ? undefined : round.rooms.get(claim.worker);
  claims.delete(task);
  if (claim !== undefined && room !== undefined) {
    room.claims.splice(room.claims.indexOf(claim), 1);
    room.claimed = subtractResources(room.claimed, claim.size);
  }
}

/** Returns what a task without a claim on the worker may take of it. */
export function unclaimedRoom(
  round: Round,
  room: WorkerRoom,
  entry: QueuedJob,
): Resources {
  if (room.claims.length === 0 || mayBackfill(round, room, entry)) {
    return room.room;
  }
  const later = subtractResources(
    addResources(room.room, room.freeing),
    room.claimed,
  );
  return {
    cpu: Math.min(room.room.cpu, later.cpu),
    memoryMiB: Math.min(room.room.memoryMiB, later.memoryMiB),
    accelerators: Math.min(room.room.accelerators, later.accelerators),
  };
}

/** Tells whether the task may be short enough for the room of some claim. */
export function maybeShort(round: Round, entry: QueuedJob): boolean {
  return (
    round.backfillUntil > 0 && shouldEndBy(round, entry, round.backfillUntil)
  );
}

/** Tells whether a task started now should end by an instant, with some caution. */
function shouldEndBy(
  round: Round,
  entry: QueuedJob,
  instant: Instant,
): boolean {
  const runMs = expectedSeconds(round.schedule, entry.job) * 1_000;
  return round.now + runMs * BACKFILL_CAUTION <= instant;
}

/** Tells whether the task should end before any claim on the worker can be met. */
function mayBackfill(
  round: Round,
  room: WorkerRoom,
  entry: QueuedJob,
): boolean {
  return room.claims.every(
    claim =>
      admitsShort(round, claim) &&
      shouldEndBy(round, entry, claim.expectedAtWall),
  );
}

/** Claims the worker on which the task should fit soonest; false when the rank has its claims. */
export function claimSoonest(
  round: Round,
  candidate: Candidate,
  size: Resources,
  waitedMs: Millis,
): boolean {
  const { entry, task, rank } = candidate;
  const { id } = task;
  const { claims } = round.schedule.planning;
  if (claims.has(id) || !mayClaim(round, rank, waitedMs)) {
    return false;
  }
  let best: WorkerRoom | undefined;
  let bestAt = Infinity;
  for (const room of sampleRooms(round, entry, size)) {
    const at = fitsAt(round, room, size);
    if (at < bestAt) {
      best = room;
      bestAt = at;
    }
  }
  if (best === undefined) {
    return false;
  }
  addClaim(round, best, {
    task: id,
    worker: best.view.id,
    size,
    rank,
    evicts: false,
    sinceWall: round.now,
    expectedAtWall: bestAt,
  });
  return true;
}

/** Draws some of the workers that could hold the task were they empty. */
function sampleRooms(
  round: Round,
  entry: QueuedJob,
  size: Resources,
): WorkerRoom[] {
  const eligible = eligibleWorkers(round.schedule.planning, entry);
  const rooms = [...round.rooms.values()].filter(room => {
    const { capacity, reserved, id } = room.view;
    const free = room.open && room.claims.length === 0;
    const whole = subtractResources(capacity, reserved);
    return free && fits(size, whole) && eligible.has(id);
  });
  const drawn: WorkerRoom[] = [];
  while (drawn.length < ROOMS_COMPARED && rooms.length > 0) {
    const at = Math.floor(round.random() * rooms.length);
    drawn.push(...rooms.splice(at, 1));
  }
  return drawn;
}

/** Tells whether a task of the rank that waited so long may claim a worker. */
export function mayClaim(round: Round, rank: Rank, waitedMs: Millis): boolean {
  let held = 0;
  for (const claim of round.schedule.planning.claims.values()) {
    held += claim.rank === rank && !claim.evicts ? 1 : 0;
  }
  const workers =
    waitedMs >= LATE_MS ? WORKERS_PER_LATE_CLAIM : WORKERS_PER_CLAIM;
  return held < Math.max(1, Math.floor(round.rooms.size / workers));
}

/** Returns when `size` should fit on the worker; Infinity when it never can. */
function fitsAt(round: Round, room: WorkerRoom, size: Resources): Instant {
  const load = round.schedule.workers.get(room.view.id);
  let free = room.room;
  if (load === undefined || fits(size, free)) {
    return fits(size, free) ? round.now : Infinity;
  }
  const ends = [...load.sizes.keys()].map(task => ({
    use: useOf(load, task),
    at: expectedEnd(round, task),
  }));
  ends.sort((a, b) => a.at - b.at);
  for (const end of ends) {
    free = addResources(free, end.use);
    if (fits(size, free)) {
      return end.at;
    }
  }
  return Infinity;
}

/** Returns when a placed attempt should end; one past its time is expected to run as long again. */
function expectedEnd(round: Round, id: TaskId): Instant {
  const name = parseTaskId(id);
  const job = round.schedule.jobs.get(name.job);
  const task = job?.tasks.get(name.index);
  const placement = task === undefined ? undefined : placementOf(task);
  if (job === undefined || placement === undefined) {
    return round.now;
  }
  const runMs = expectedSeconds(round.schedule, job) * 1_000;
  const end = placement.startedAtWall + runMs;
  return end > round.now ? end : 2 * round.now - placement.startedAtWall;
}
