/** Claims of waiting tasks on workers, so that what is freed there does not go to others. */
import {
  addResources,
  fits,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Instant } from '../../core/time.js';
import { parseTaskId, taskId, type TaskId } from '../ids.js';
import { peekTask } from '../job.js';
import { expectedSeconds } from '../shard.js';
import { placementOf } from '../task.js';
import { useOf } from '../worker.js';

import { eligibleWorkers, type QueuedJob, type Rank } from './memory.js';
import type { Candidate } from './order.js';
import type { Round, WorkerRoom } from './round.js';

/** A waiting task's claim on a worker: what is freed there is kept until the task fits. */
export interface Claim {
  readonly task: TaskId;
  readonly worker: string;
  readonly size: Resources;
  readonly rank: Rank;
  /** Whether others were evicted for it; it then frees room within their grace. */
  readonly evicts: boolean;
  readonly sinceWall: Instant;
  /** When the attempts in the way are expected to have ended. */
  readonly expectedAtWall: Instant;
}

/** A claim that evicted others is given up after this; its task may evict anew. */
const EVICTING_CLAIM_MS = 120_000;
/** Short tasks may run in claimed room until a claim is this old. */
const BACKFILL_MS = 60_000;
/** Expected run times are stretched by this before a short task is let in. */
const BACKFILL_CAUTION = 1.5;
/** Workers for each claim of a rank that waits for others to end. */
const WORKERS_PER_CLAIM = 32;

/** Drops claims that no longer hold and counts the others against the rooms. */
export function applyClaims(round: Round): void {
  const { claims } = round.schedule.planning;
  for (const claim of claims.values()) {
    const room = round.rooms.get(claim.worker);
    if (room === undefined || !isValid(round, claim, room)) {
      claims.delete(claim.task);
    } else {
      hold(room, claim);
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

function hold(room: WorkerRoom, claim: Claim): void {
  room.claims.push(claim);
  room.claimed = addResources(room.claimed, claim.size);
}

/** Adds a claim of a waiting task on a worker. */
export function addClaim(round: Round, room: WorkerRoom, claim: Claim): void {
  dropClaim(round, claim.task);
  round.schedule.planning.claims.set(claim.task, claim);
  hold(room, claim);
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
  if (round.schedule.planning.claims.size === 0) {
    return false;
  }
  for (const room of round.rooms.values()) {
    if (room.claims.length > 0 && mayBackfill(round, room, entry)) {
      return true;
    }
  }
  return false;
}

/** Tells whether the task should end before any claim on the worker can be met. */
function mayBackfill(
  round: Round,
  room: WorkerRoom,
  entry: QueuedJob,
): boolean {
  const runMs = expectedSeconds(round.schedule, entry.job) * 1_000;
  const endsAt = round.now + runMs * BACKFILL_CAUTION;
  return room.claims.every(
    claim =>
      !claim.evicts &&
      endsAt <= claim.expectedAtWall &&
      round.now <= claim.sinceWall + BACKFILL_MS,
  );
}

/** Claims the worker on which the task should fit soonest; false when the rank has its claims. */
export function claimSoonest(
  round: Round,
  candidate: Candidate,
  size: Resources,
): boolean {
  const { entry, task, rank } = candidate;
  const id = taskId(entry.job.spec.name, task.index);
  if (round.schedule.planning.claims.has(id) || !mayClaim(round, rank)) {
    return false;
  }
  const eligible = eligibleWorkers(round.schedule.planning, entry);
  let best: WorkerRoom | undefined;
  let bestAt = Infinity;
  for (const room of round.rooms.values()) {
    if (!room.open || room.claims.length > 0 || !eligible.has(room.view.id)) {
      continue;
    }
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

function mayClaim(round: Round, rank: Rank): boolean {
  let held = 0;
  for (const claim of round.schedule.planning.claims.values()) {
    held += claim.rank === rank && !claim.evicts ? 1 : 0;
  }
  return held < Math.max(1, Math.floor(round.rooms.size / WORKERS_PER_CLAIM));
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
