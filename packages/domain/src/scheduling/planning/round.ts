/** The working state of one plan: rooms on workers, use by teams, and decisions so far. */
import {
  NO_RESOURCES,
  addResources,
  fits,
  maxResources,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Instant, Random } from '../../core/time.js';
import { parseTaskId, taskId, type TaskId } from '../ids.js';
import type { Job } from '../job.js';
import { decision, type Decision } from '../records.js';
import type { ShardSchedule } from '../shard.js';
import type { ScheduleState } from '../state.js';
import type { Task } from '../task.js';
import type { SchedulableWorker, ScheduleView, TeamView } from '../view.js';
import { freeingOf, useOf, type WorkerLoad } from '../worker.js';

import { teamView, type Claim, type QueuedJob } from './memory.js';

/** A worker and what is left on it. */
export interface WorkerRoom {
  readonly view: SchedulableWorker;
  room: Resources;
  /** What the attempts that are being stopped will free. */
  freeing: Resources;
  readonly claims: Claim[];
  claimed: Resources;
  /** Whether new attempts may be started on it. */
  open: boolean;
  /** Whether it is in quarantine and may get one attempt as a probe. */
  readonly probe: boolean;
  /** Attempts of some ranks that may be evicted, cheapest first, once they were looked up. */
  victims: { readonly ranks: string; readonly found: Victim[] } | undefined;
}

/** A team's use in the shard, with pending decisions. */
export interface TeamRound {
  readonly view: TeamView;
  used: Resources;
  limit: Resources | undefined;
  /** Largest share of the shard in any resource, over the team's weight. */
  share: number;
  /** What its waiting tasks lack in quota. */
  lacking: Resources;
}

/** State of one plan. */
export interface Round {
  readonly state: ScheduleState;
  readonly schedule: ShardSchedule;
  readonly view: ScheduleView;
  readonly now: Instant;
  readonly random: Random;
  readonly rooms: Map<string, WorkerRoom>;
  readonly teams: Map<string, TeamRound>;
  readonly capacity: Resources;
  /** The most that any worker has in each resource. */
  readonly largest: Resources;
  readonly rackCount: number;
  /** Ids of decisions that are pending or made in this plan. */
  readonly decided: Set<string>;
  /** Tasks that a pending or new decision starts, moves or holds. */
  readonly busy: Set<TaskId>;
  /** Attempts that a pending or new decision evicts. */
  readonly evicted: Set<TaskId>;
  evictions: number;
  /** Sizes that evictions could not make room for, by ranks and kind of work. */
  readonly unclearable: Map<string, Resources[]>;
  /** Jobs with a claim. */
  readonly claimants: Set<string>;
  /** Latest end of a task that some claim lets in before it is met; 0 without such a claim. */
  backfillUntil: number;
  /** Tasks on each rack of the jobs that this plan placed, or looked at. */
  readonly racks: Map<Job, Map<string, number>>;
  /** Sizes that found no room, by kind of work and whether it may use claimed room. */
  readonly blocked: Record<'short' | 'long', Map<string, Resources[]>>;
  /** Jobs that no worker can hold, to be parked when the plan is done. */
  readonly hopeless: Job[];
  readonly decisions: Decision[];
}

/** An attempt that may be evicted. */
export interface Victim {
  readonly id: TaskId;
  readonly task: Task;
  readonly use: Resources;
  /** Lost work in core-milliseconds, with a fixed part for the disturbance. */
  readonly cost: number;
}

/** Builds the working state, with pending decisions counted as if they had taken effect. */
export function newRound(
  state: ScheduleState,
  schedule: ShardSchedule,
  view: ScheduleView,
  now: Instant,
  random: Random,
): Round {
  const capacities = view.workers.map(worker => worker.capacity);
  const round: Round = {
    state,
    schedule,
    view,
    now,
    random,
    rooms: newRooms(schedule, view, now),
    capacity: capacities.reduce(addResources, NO_RESOURCES),
    largest: capacities.reduce(maxResources, NO_RESOURCES),
    rackCount: new Set(view.workers.map(worker => worker.rack)).size,
    teams: new Map(),
    decided: new Set(),
    busy: new Set(),
    evicted: new Set(),
    evictions: 0,
    unclearable: new Map(),
    claimants: new Set(),
    backfillUntil: 0,
    racks: new Map(),
    blocked: { short: new Map(), long: new Map() },
    hopeless: [],
    decisions: [],
  };
  for (const pending of view.pending) {
    overlay(round, pending);
  }
  return round;
}

function newRooms(
  schedule: ShardSchedule,
  view: ScheduleView,
  now: Instant,
): Map<string, WorkerRoom> {
  const rooms = new Map<string, WorkerRoom>();
  for (const worker of view.workers) {
    const load = schedule.workers.get(worker.id);
    rooms.set(worker.id, newRoom(load, worker, now));
  }
  return rooms;
}

function newRoom(
  load: WorkerLoad | undefined,
  view: SchedulableWorker,
  now: Instant,
): WorkerRoom {
  const taken = addResources(view.reserved, load?.used ?? NO_RESOURCES);
  const until = load?.quarantinedUntilWall;
  const probe = until !== undefined && until <= now && load?.sizes.size === 0;
  return {
    view,
    room: subtractResources(view.capacity, taken),
    freeing: load === undefined ? NO_RESOURCES : freeingOf(load),
    claims: [],
    claimed: NO_RESOURCES,
    open: view.availability === 'live' && (until === undefined || probe),
    probe,
    victims: undefined,
  };
}

/** Returns a team's use, made when first named. */
export function teamRound(round: Round, name: string): TeamRound {
  let team = round.teams.get(name);
  if (team === undefined) {
    team = newTeamRound(round, name);
    round.teams.set(name, team);
  }
  return team;
}

function newTeamRound(round: Round, name: string): TeamRound {
  const { planning } = round.schedule;
  const view = teamView(planning, round.view.teams, name) ?? {
    name,
    weight: 1,
  };
  const use = round.schedule.teams.get(name);
  const used = use?.used ?? NO_RESOURCES;
  const limit =
    view.allotment === undefined
      ? undefined
      : addResources(view.allotment, use?.borrowed ?? NO_RESOURCES);
  const share = dominantShare(round, used, view.weight);
  return { view, used, limit, share, lacking: NO_RESOURCES };
}

/** Returns the largest share of the shard's capacity in any resource, over `weight`. */
function dominantShare(round: Round, used: Resources, weight: number): number {
  const { capacity } = round;
  const share = Math.max(
    ratio(used.cpu, capacity.cpu),
    ratio(used.memoryMiB, capacity.memoryMiB),
    ratio(used.accelerators, capacity.accelerators),
  );
  return share / weight;
}

/** Returns `part / whole`, and 0 of nothing. */
export function ratio(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}

/** Counts a decision that is not folded yet as if it had taken effect. */
function overlay(round: Round, pending: Decision): void {
  round.decided.add(pending.id);
  switch (pending.kind) {
    case 'task_started': {
      const job = round.schedule.jobs.get(parseTaskId(pending.body.task).job);
      const size = pending.body.size ?? job?.spec.size ?? NO_RESOURCES;
      round.busy.add(pending.body.task);
      take(round, pending.body.worker, job, size);
      return;
    }
    case 'task_evicting':
      overlayEviction(round, pending.body.task);
      return;
    case 'task_held':
      round.busy.add(pending.body.task);
      return;
    case 'task_moved': {
      const { job, index } = parseTaskId(pending.body.task);
      for (let i = index; i < index + pending.body.count; i++) {
        round.busy.add(taskId(job, i));
      }
      return;
    }
    case 'quota_lent':
      lendFrom(teamRound(round, pending.body.team), pending.body.amount);
      return;
    case 'owner_opened':
    case 'job_submitted':
    case 'job_cancelled':
    case 'job_homed':
    case 'job_released':
    case 'job_held':
    case 'job_unschedulable':
    case 'task_ended':
    case 'worker_quarantined':
    case 'worker_released':
    case 'shard_reported':
      return;
  }
}

function overlayEviction(round: Round, task: TaskId): void {
  round.evicted.add(task);
  round.evictions += 1;
  for (const [worker, room] of round.rooms) {
    const load = round.schedule.workers.get(worker);
    if (load?.sizes.has(task) === true && !load.evicting.has(task)) {
      room.freeing = addResources(room.freeing, useOf(load, task));
    }
  }
}

/** Takes a loan off what a team may use here. */
export function lendFrom(team: TeamRound, amount: Resources): void {
  if (team.limit !== undefined) {
    team.limit = subtractResources(team.limit, amount);
  }
}

function take(
  round: Round,
  worker: string,
  job: Job | undefined,
  size: Resources,
): void {
  const room = round.rooms.get(worker);
  if (room !== undefined) {
    room.room = subtractResources(room.room, size);
    room.open &&= !room.probe;
  }
  if (job === undefined) {
    return;
  }
  const team = teamRound(round, job.spec.team);
  team.used = addResources(team.used, size);
  team.share = dominantShare(round, team.used, team.view.weight);
  if (room !== undefined) {
    const racks = tasksByRack(round, job);
    racks.set(room.view.rack, (racks.get(room.view.rack) ?? 0) + 1);
  }
}

/** Returns the number of the job's tasks on each rack, with pending decisions. */
export function tasksByRack(round: Round, job: Job): Map<string, number> {
  let racks = round.racks.get(job);
  if (racks === undefined) {
    racks = new Map<string, number>();
    for (const [worker, count] of job.spread) {
      const rack = round.rooms.get(worker)?.view.rack;
      if (rack !== undefined) {
        racks.set(rack, (racks.get(rack) ?? 0) + count);
      }
    }
    round.racks.set(job, racks);
  }
  return racks;
}

/** Adds a decision to the plan; false when the same one is pending or made already. */
export function decide(round: Round, made: Decision): boolean {
  if (round.decided.has(made.id)) {
    return false;
  }
  round.decided.add(made.id);
  round.decisions.push(made);
  return true;
}

/** Starts the next attempt of a task on a worker; throws when the worker has no room for it. */
export function decideStart(
  round: Round,
  entry: QueuedJob,
  task: Task,
  room: WorkerRoom,
  size: Resources,
): void {
  if (!room.open || !fits(size, room.room)) {
    throw new Error(`no room on ${room.view.id}`);
  }
  const { job } = entry;
  const { id } = task;
  const larger = size === job.spec.size ? {} : { size };
  const checkpoint =
    task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint };
  const made = decision('task_started', {
    shard: round.view.shard,
    epoch: round.view.epoch,
    task: id,
    attempt: task.attempts + 1,
    worker: room.view.id,
    atWall: round.now,
    ...checkpoint,
    ...larger,
  });
  if (decide(round, made)) {
    round.busy.add(id);
    take(round, room.view.id, job, size);
  }
}
