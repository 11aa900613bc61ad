/** What a contender of the benchmark may see and do, and the simple ones. */
import {
  evictTask,
  setAside,
  startTask,
  type Fleet,
  type FleetWorker,
  type QueuedTask,
  type RunningTask,
} from './fleet.js';
import { TARGET } from './scenario.js';

/** A response time as an entry host sees it. */
export interface SeenSample {
  readonly service: number;
  readonly worker: FleetWorker;
  readonly latencyMs: number;
}

/** A policy under test. */
export interface Contender {
  readonly name: string;
  /** Whether it needs response times drawn one by one. */
  readonly sees: boolean;
  see(sample: SeenSample): void;
  /** Called every second after starts, before requests are served. */
  act(): void;
  /** Picks a worker for a queued task among those that have room. */
  choose(
    task: QueuedTask,
    rooms: readonly FleetWorker[],
  ): FleetWorker | undefined;
}

/** Queued tasks that are tried each second. */
const LOOK_AHEAD = 24;

/** Starts what a contender places of the head of the queue. */
export function placeQueue(fleet: Fleet, contender: Contender): void {
  const tried = fleet.queue.splice(0, LOOK_AHEAD);
  const left: QueuedTask[] = [];
  for (const task of tried) {
    const rooms = fleet.workers.filter(
      worker => worker.free >= task.spec.declaredCores,
    );
    const worker = contender.choose(task, rooms);
    if (worker === undefined || !startTask(fleet, task, worker)) {
      left.push(task);
    }
  }
  fleet.queue.unshift(...left);
}

/** Picks the worker with the most free cores. */
export function emptiest(
  rooms: readonly FleetWorker[],
): FleetWorker | undefined {
  let best: FleetWorker | undefined;
  for (const worker of rooms) {
    if (best === undefined || worker.free > best.free) {
      best = worker;
    }
  }
  return best;
}

/** Places by free cores alone and never acts. */
export function noLearning(): Contender {
  return {
    name: 'no_learning',
    sees: false,
    see: () => undefined,
    act: () => undefined,
    choose: (_task, rooms) => emptiest(rooms),
  };
}

/** Share of the workers that static separation gives to batch work alone. */
const BATCH_ONLY = 1 / 3;

/** Runs batch work on a third of the workers, which serve no requests. */
export function staticSeparation(fleet: Fleet): Contender {
  const count = Math.round(fleet.workers.length * BATCH_ONLY);
  const step = fleet.workers.length / count;
  const chosen = Array.from({ length: count }, (_, i) => Math.floor(i * step));
  const batchOnly = new Set(chosen);
  setAside(
    fleet,
    fleet.workers.filter(worker => batchOnly.has(worker.index)),
  );
  return {
    ...noLearning(),
    name: 'static_separation',
    choose: (_task, rooms) =>
      emptiest(rooms.filter(worker => batchOnly.has(worker.index))),
  };
}

/** Window over which evict-on-violation counts, the misses it needs, and its pause on a worker. */
const COUNT_SECONDS = 15;
const LEAST_MISSES = 3;
const PAUSE_SECONDS = 60;

/** Evicts the largest task of a worker whose own window spends twice its budget. */
export function evictOnViolation(fleet: Fleet): Contender {
  const { services } = fleet.scenario;
  const cells = fleet.workers.length * services.length;
  const seen = new Float64Array(cells);
  const missed = new Float64Array(cells);
  const evictedAt = new Float64Array(fleet.workers.length).fill(-Infinity);
  const limits = services.map(service => Math.exp(service.limit));
  return {
    name: 'evict_on_violation',
    sees: true,
    see: ({ service, worker, latencyMs }) => {
      const at = worker.index * services.length + service;
      seen[at] = (seen[at] ?? 0) + 1;
      if (latencyMs > (limits[service] ?? Infinity)) {
        missed[at] = (missed[at] ?? 0) + 1;
      }
    },
    act: () => {
      if (fleet.second % COUNT_SECONDS !== 0) {
        return;
      }
      for (const worker of fleet.workers) {
        const violates = worker.services.some(service => {
          const at = worker.index * services.length + service;
          const misses = missed[at] ?? 0;
          const all = seen[at] ?? 0;
          return misses >= LEAST_MISSES && misses > 2 * (1 - TARGET) * all;
        });
        const pause = fleet.second - (evictedAt[worker.index] ?? 0);
        const due = violates && pause >= PAUSE_SECONDS;
        const largest = due ? largestTask(worker) : undefined;
        if (largest !== undefined) {
          evictedAt[worker.index] = fleet.second;
          evictTask(fleet, largest);
        }
      }
      seen.fill(0);
      missed.fill(0);
    },
    choose: (_task, rooms) => emptiest(rooms),
  };
}

function largestTask(worker: FleetWorker): RunningTask | undefined {
  let largest: RunningTask | undefined;
  for (const task of worker.tasks) {
    if (
      largest === undefined ||
      task.spec.declaredCores > largest.spec.declaredCores
    ) {
      largest = task;
    }
  }
  return largest;
}
