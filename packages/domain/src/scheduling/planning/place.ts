/** Choice of a worker for a task. */
import { fits, type Resources } from '../../core/resources.js';

import { eligibleWorkers, type QueuedJob } from './memory.js';
import { tasksByRack, type Round, type WorkerRoom } from './round.js';

/** Weight of a rack's part of the job's tasks, beyond an even one, against the room left. */
const RACK_WEIGHT = 2;
/** Weight of the expected harm to services against the room left. */
const PENALTY_WEIGHT = 1;
/** Cost of using up the processors beside accelerators that others may need. */
const STRANDED_ACCELERATOR_COST = 0.5;

/** Returns the best worker with room for `size`; undefined when there is none. */
export function chooseWorker(
  round: Round,
  entry: QueuedJob,
  size: Resources,
): WorkerRoom | undefined {
  const eligible = eligibleWorkers(round.schedule.planning, entry);
  const racks = tasksByRack(round, entry.job);
  const placed = [...racks.values()].reduce((sum, count) => sum + count, 0);
  const evenPart = 1 / Math.max(1, round.rackCount);
  let best: WorkerRoom | undefined;
  let bestCost = Infinity;
  for (const room of round.rooms.values()) {
    if (!eligible.has(room.view.id) || !mayHold(room, entry, size)) {
      continue;
    }
    const cost =
      placementCost(room, entry, size) +
      RACK_WEIGHT * excess(racks.get(room.view.rack) ?? 0, placed, evenPart);
    if (cost < bestCost) {
      best = room;
      bestCost = cost;
    }
  }
  return best;
}

/** Tells whether a worker has room for the task and may be given it. */
function mayHold(room: WorkerRoom, entry: QueuedJob, size: Resources): boolean {
  const avoided = room.view.avoidBatch && entry.policy.class === 'batch';
  return room.open && !avoided && fits(size, room.room);
}

/** Returns the cost of a place: the room left there, accelerators stranded, and harm to services. */
function placementCost(
  room: WorkerRoom,
  entry: QueuedJob,
  size: Resources,
): number {
  const { capacity } = room.view;
  const cpuLeft = share(room.room.cpu - size.cpu, capacity.cpu);
  const memoryLeft = share(
    room.room.memoryMiB - size.memoryMiB,
    capacity.memoryMiB,
  );
  const stranded = capacity.accelerators > 0 && size.accelerators === 0;
  const harm = entry.policy.class === 'batch' ? room.view.batchPenalty : 0;
  return (
    cpuLeft * cpuLeft +
    memoryLeft * memoryLeft +
    PENALTY_WEIGHT * harm +
    (stranded ? STRANDED_ACCELERATOR_COST : 0)
  );
}

function share(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}

/** Returns by how much a rack's part of the tasks would exceed an even one. */
function excess(onRack: number, placed: number, evenPart: number): number {
  return Math.max(0, (onRack + 1) / (placed + 1) - evenPart);
}
