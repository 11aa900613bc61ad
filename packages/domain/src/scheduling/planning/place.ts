/** Choice of a worker for a task. */
import { fits, type Resources } from '../../core/resources.js';
import { batchClassOf } from '../../interference/batch-class.js';
import type { SchedulableWorker } from '../view.js';

import { maybeShort, unclaimedRoom } from './claims.js';
import { eligibleWorkers, type QueuedJob } from './memory.js';
import { ratio, tasksByRack, type Round, type WorkerRoom } from './round.js';

/** Weight of a rack's part of the job's tasks, beyond an even one, against the room left. */
const RACK_WEIGHT = 2;
/** Weight of the expected harm to services against the room left. */
const PENALTY_WEIGHT = 1;
/** Cost of using up the processors beside accelerators that others may need. */
const STRANDED_ACCELERATOR_COST = 0.5;
/** Cost of a worker on which the job failed and has not succeeded anywhere since. */
const FAILED_THERE_COST = 4;
/** Sizes without room that a plan remembers for each kind of work. */
const BLOCKED_REMEMBERED = 8;

/** Returns the best worker with room for `size`; undefined when there is none. */
export function chooseWorker(
  round: Round,
  entry: QueuedJob,
  size: Resources,
): WorkerRoom | undefined {
  const blocked = blockedSizes(round, entry);
  if (blocked.some(other => fits(other, size))) {
    return undefined;
  }
  const eligible = eligibleWorkers(round.schedule.planning, entry);
  const costOfRack = rackCosts(round, entry);
  const harmOn = harms(round, entry, size);
  let best: WorkerRoom | undefined;
  let bestCost = Infinity;
  for (const room of round.rooms.values()) {
    if (!eligible.has(room.view.id) || !mayHold(round, room, entry, size)) {
      continue;
    }
    const cost =
      placementCost(room, size) +
      PENALTY_WEIGHT * harmOn(room.view) +
      costOfRack(room.view.rack) +
      (entry.job.failedOn.has(room.view.id) ? FAILED_THERE_COST : 0);
    if (cost < bestCost) {
      best = room;
      bestCost = cost;
    }
  }
  if (best === undefined && blocked.length < BLOCKED_REMEMBERED) {
    blocked.push(size);
  }
  return best;
}

/** Returns the sizes that this plan found no room for, for work that may go to the same workers. */
export function blockedSizes(round: Round, entry: QueuedJob): Resources[] {
  const short = maybeShort(round, entry) ? 'short' : 'long';
  const byKind = round.blocked[short];
  let sizes = byKind.get(entry.kindKey);
  if (sizes === undefined) {
    sizes = [];
    byKind.set(entry.kindKey, sizes);
  }
  return sizes;
}

/** Tells whether a worker has room for the task and may be given it. */
function mayHold(
  round: Round,
  room: WorkerRoom,
  entry: QueuedJob,
  size: Resources,
): boolean {
  if (!room.open || !fits(size, room.room)) {
    return false;
  }
  return (
    isSuitable(room, entry) && fits(size, unclaimedRoom(round, room, entry))
  );
}

/** Tells whether the kind of work may be given to the worker now, whatever its room. */
export function isSuitable(room: WorkerRoom, entry: QueuedJob): boolean {
  const { class: workClass, priority } = entry.policy;
  const avoided = room.view.avoidBatch && workClass === 'batch';
  const risky = room.probe && priority === 'urgent';
  return !avoided && !risky;
}

/** Returns the cost of a place: the room left there, and accelerators stranded. */
function placementCost(room: WorkerRoom, size: Resources): number {
  const { capacity } = room.view;
  const cpuLeft = ratio(room.room.cpu - size.cpu, capacity.cpu);
  const memoryLeft = ratio(
    room.room.memoryMiB - size.memoryMiB,
    capacity.memoryMiB,
  );
  const stranded = capacity.accelerators > 0 && size.accelerators === 0;
  return (
    cpuLeft * cpuLeft +
    memoryLeft * memoryLeft +
    (stranded ? STRANDED_ACCELERATOR_COST : 0)
  );
}

/** Returns the harm to services of placing one more task of the job on a worker. */
function harms(
  round: Round,
  entry: QueuedJob,
  size: Resources,
): (worker: SchedulableWorker) => number {
  if (entry.policy.class !== 'batch') {
    return () => 0;
  }
  const { team, labels } = entry.job.spec;
  const batchClass = batchClassOf(team, labels);
  const penalty = round.view.penalty ?? (() => 0);
  return worker =>
    Math.max(worker.batchPenalty, penalty(worker.id, batchClass, size.cpu));
}

/** Returns the cost of placing one more task of the job on a rack. */
function rackCosts(round: Round, entry: QueuedJob): (rack: string) => number {
  if (entry.job.spec.tasks === 1 || round.rackCount < 2) {
    return () => 0;
  }
  const racks = tasksByRack(round, entry.job);
  let placed = 0;
  for (const count of racks.values()) {
    placed += count;
  }
  const even = 1 / round.rackCount;
  return rack => {
    const part = ((racks.get(rack) ?? 0) + 1) / (placed + 1);
    return RACK_WEIGHT * Math.max(0, part - even);
  };
}
