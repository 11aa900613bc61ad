/** Eviction of preemptible work: cheapest lost progress first, under the budget of its policy. */
import {
  addResources,
  fits,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Instant, Millis } from '../../core/time.js';
import { parseTaskId, type TaskId } from '../ids.js';
import type { Job } from '../job.js';
import { decision, type EvictionReason } from '../records.js';
import type { ShardSchedule } from '../shard.js';
import type { Task } from '../task.js';
import { useOf, type WorkerLoad } from '../worker.js';

import { addClaim } from './claims.js';
import {
  RANKS,
  eligibleWorkers,
  workPolicy,
  type QueuedJob,
  type Rank,
  type WorkPolicy,
} from './memory.js';
import type { Candidate } from './order.js';
import { isSuitable } from './place.js';
import { decide, type Round, type Victim, type WorkerRoom } from './round.js';

/** Victims on one worker that make room together. */
interface Clearance {
  readonly room: WorkerRoom;
  readonly victims: readonly Victim[];
  readonly cost: number;
}

const HOUR_MS: Millis = 3_600_000;
/** What an eviction costs beside lost progress: a stop, a start and a cold cache. */
const DISTURBANCE_MS: Millis = 30_000;
/** Share of the placed attempts that may be on their way out for others at a time. */
const IN_FLIGHT_SHARE = 0.25;
const IN_FLIGHT_MIN = 16;

/** Tells whether the budget of its policy allows a further eviction of the task now. */
export function withinEvictionBudget(
  task: Task,
  policy: WorkPolicy,
  now: Instant,
): boolean {
  const perHour = policy.evictionsPerHour;
  if (perHour <= 0) {
    return false;
  }
  const window = perHour < 1 ? HOUR_MS / perHour : HOUR_MS;
  const recent = task.evictedAtWall.filter(at => at > now - window).length;
  return recent < Math.max(1, Math.floor(perHour));
}

/**
 * Evicts the cheapest set of worse-ranked preemptible attempts that lets the candidate fit on one
 * worker, and claims that worker for it; false when there is no such set.
 */
export function evictFor(
  round: Round,
  candidate: Candidate,
  size: Resources,
  victimRanks: readonly Rank[],
): boolean {
  const { entry, task, rank } = candidate;
  const hopeless = sizesWithoutVictims(round, entry, victimRanks);
  if (hopeless.some(other => fits(other, size))) {
    return false;
  }
  const eligible = eligibleWorkers(round.schedule.planning, entry);
  let best: Clearance | undefined;
  for (const room of round.rooms.values()) {
    const suitable = room.open && isSuitable(room, entry);
    if (!suitable || !eligible.has(room.view.id)) {
      continue;
    }
    const found = clearance(round, room, size, victimRanks);
    if (found !== undefined && found.cost < (best?.cost ?? Infinity)) {
      best = found;
    }
  }
  if (best === undefined || !mayEvict(round, best.victims.length)) {
    hopeless.push(size);
    return false;
  }
  for (const victim of best.victims) {
    decideEviction(round, best.room, victim, 'preempted');
  }
  addClaim(round, best.room, {
    task: task.id,
    worker: best.room.view.id,
    size,
    rank,
    evicts: true,
    sinceWall: round.now,
    expectedAtWall: round.now,
  });
  return true;
}

/** Returns the sizes for which this plan found too little to evict, for work alike. */
function sizesWithoutVictims(
  round: Round,
  entry: QueuedJob,
  ranks: readonly Rank[],
): Resources[] {
  const key = `${ranks.join()} ${entry.kindKey}`;
  let sizes = round.unclearable.get(key);
  if (sizes === undefined) {
    sizes = [];
    round.unclearable.set(key, sizes);
  }
  return sizes;
}

/** Returns the ranks below `rank`, worst first. */
export function ranksBelow(rank: Rank): Rank[] {
  return RANKS.slice(RANKS.indexOf(rank) + 1).reverse();
}

function mayEvict(round: Round, count: number): boolean {
  let placed = 0;
  let inFlight = 0;
  for (const load of round.schedule.workers.values()) {
    placed += load.sizes.size;
    inFlight += load.evicting.size;
  }
  const limit = Math.max(IN_FLIGHT_MIN, IN_FLIGHT_SHARE * placed);
  return inFlight + round.evictions + count <= limit;
}

function clearance(
  round: Round,
  room: WorkerRoom,
  size: Resources,
  victimRanks: readonly Rank[],
): Clearance | undefined {
  const coming = addResources(room.room, room.freeing);
  let free = subtractResources(coming, room.claimed);
  const chosen: Victim[] = [];
  if (!fits(size, free)) {
    for (const victim of victimsOn(round, room, victimRanks)) {
      chosen.push(victim);
      free = addResources(free, victim.use);
      if (fits(size, free)) {
        break;
      }
    }
  }
  if (!fits(size, free)) {
    return undefined;
  }
  const victims = withoutNeedless(chosen, free, size);
  const cost = victims.reduce((sum, victim) => sum + victim.cost, 0);
  return { room, victims, cost };
}

/** Spares the costliest victims that are not needed after all. */
function withoutNeedless(
  chosen: readonly Victim[],
  free: Resources,
  size: Resources,
): Victim[] {
  const kept: Victim[] = [];
  let left = free;
  for (const victim of [...chosen].reverse()) {
    const without = subtractResources(left, victim.use);
    if (fits(size, without)) {
      left = without;
    } else {
      kept.push(victim);
    }
  }
  return kept;
}

/** Returns the attempts on a worker that may be evicted, cheapest first. */
export function victimsOn(
  round: Round,
  room: WorkerRoom,
  ranks: readonly Rank[],
): readonly Victim[] {
  const known = room.victims;
  if (known?.ranks === ranks.join()) {
    return known.found;
  }
  const load = round.schedule.workers.get(room.view.id);
  const found: Victim[] = [];
  for (const id of load?.sizes.keys() ?? []) {
    const victim =
      load === undefined ? undefined : asVictim(round, load, id, ranks);
    if (victim !== undefined) {
      found.push(victim);
    }
  }
  found.sort((a, b) => a.cost - b.cost);
  room.victims = { ranks: ranks.join(), found };
  return found;
}

function asVictim(
  round: Round,
  load: WorkerLoad,
  id: TaskId,
  ranks: readonly Rank[],
): Victim | undefined {
  const found = findTask(round.schedule, id);
  if (found?.task.state.kind !== 'running' || round.evicted.has(id)) {
    return undefined;
  }
  const { job, task } = found;
  const policy = workPolicy(round.schedule.planning, job);
  const allowed =
    policy.preemptible &&
    ranks.includes(policy.priority) &&
    withinEvictionBudget(task, policy, round.now);
  if (!allowed) {
    return undefined;
  }
  const use = useOf(load, id);
  const savedAt = load.observed.get(id)?.savedAtWall ?? 0;
  const since = Math.max(found.task.state.startedAtWall, savedAt);
  const lostMs = Math.max(0, round.now - since);
  return { id, task, use, cost: (lostMs + DISTURBANCE_MS) * use.cpu };
}

function findTask(
  schedule: ShardSchedule,
  id: TaskId,
): { job: Job; task: Task } | undefined {
  const name = parseTaskId(id);
  const job = schedule.jobs.get(name.job);
  const task = job?.tasks.get(name.index);
  return job === undefined || task === undefined ? undefined : { job, task };
}

function decideEviction(
  round: Round,
  room: WorkerRoom,
  victim: Victim,
  reason: EvictionReason,
): void {
  const made = decision('task_evicting', {
    shard: round.view.shard,
    epoch: round.view.epoch,
    task: victim.id,
    attempt: victim.task.attempts,
    atWall: round.now,
    reason,
  });
  if (!decide(round, made)) {
    return;
  }
  round.evictions += 1;
  round.evicted.add(victim.id);
  room.victims = undefined;
  room.freeing = addResources(room.freeing, victim.use);
}

/** Evicts what is left on workers that drain or leave. */
export function evictFromClosing(round: Round): void {
  for (const room of round.rooms.values()) {
    const { availability, id } = room.view;
    const load = round.schedule.workers.get(id);
    const closing = availability === 'drained' || availability === 'leaving';
    if (closing && load !== undefined) {
      evictAll(round, room, load);
    }
  }
}

function evictAll(round: Round, room: WorkerRoom, load: WorkerLoad): void {
  for (const id of load.sizes.keys()) {
    const found = findTask(round.schedule, id);
    if (found?.task.state.kind === 'running' && !round.evicted.has(id)) {
      const victim = { id, task: found.task, use: useOf(load, id), cost: 0 };
      decideEviction(round, room, victim, 'drained');
    }
  }
}

/** Evicts preemptible work where the observed use is beyond what the worker has. */
export function evictFromOvercommitted(round: Round): void {
  for (const room of round.rooms.values()) {
    let free = addResources(room.room, room.freeing);
    for (const victim of isOver(free) ? victimsOn(round, room, RANKS) : []) {
      if (!isOver(free) || !mayEvict(round, 1)) {
        break;
      }
      decideEviction(round, room, victim, 'overcommitted');
      free = addResources(free, victim.use);
    }
  }
}

/** Tolerated overshoot of processors, which are shared out in time unlike memory. */
const CPU_OVERSHOOT_CORES = 1;

function isOver(free: Resources): boolean {
  return free.memoryMiB < 0 || free.cpu < -CPU_OVERSHOOT_CORES;
}
