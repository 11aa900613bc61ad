/** The fake fleet: workers, running tasks and what truly happens to response times. */
import type { Random } from '@paddlewind/domain';

import {
  LOAD_EFFECT,
  TARGET,
  type Scenario,
  type ServiceTruth,
  type TaskSpec,
} from './scenario.js';

/** Work that an eviction loses, and the pause until the task runs again, in seconds. */
const LOST_SECONDS = 20;
const RESTART_SECONDS = 20;

/** Mean length of a phase of a bursty task in seconds, and its use when not busy. */
const PHASE_SECONDS = 60;
const IDLE_USE = 0.25;

/** Exponent by which interference grows with a class's share, and its part that load scales. */
const SHARE_EXPONENT = 0.85;
const LOAD_PART = 0.6;

/** A running task. */
export interface RunningTask {
  readonly spec: TaskSpec;
  readonly worker: FleetWorker;
  readonly startedAt: number;
  share: number;
  busy: boolean;
  doneSeconds: number;
}

/** A worker. */
export interface FleetWorker {
  readonly index: number;
  readonly name: string;
  readonly zone: number;
  readonly cores: number;
  /** Indexes of the services that it serves. */
  readonly services: number[];
  free: number;
  readonly tasks: RunningTask[];
}

/** A queued task with the work that it has done. */
export interface QueuedTask {
  readonly spec: TaskSpec;
  readonly doneSeconds: number;
}

/** The fleet and its state. */
export interface Fleet {
  readonly scenario: Scenario;
  readonly workers: FleetWorker[];
  readonly queue: QueuedTask[];
  /** Weight of the routers by service and worker. */
  readonly weights: Float64Array[];
  /** Current slowdowns by service and class. */
  readonly slowdowns: Float64Array[];
  second: number;
  arrived: number;
  evictions: number;
  completed: number;
  /** Core-seconds of batch work done. */
  work: number;
}

/** Names the class with an index. */
export function className(batchClass: number): string {
  return `team/class${batchClass}`;
}

/** Builds the fleet of a scenario; the second service runs on every other worker. */
export function createFleet(scenario: Scenario): Fleet {
  const { deployment } = scenario;
  const workers: FleetWorker[] = [];
  for (let index = 0; index < deployment.workers; index++) {
    const services = index % 2 === 0 ? [0, 1] : [0];
    const held = services.reduce(
      (sum, service) => sum + (deployment.serviceCores[service] ?? 0),
      0,
    );
    workers.push({
      index,
      name: `w${index}`,
      zone: index % deployment.availabilityZones,
      cores: deployment.cores,
      services,
      free: deployment.cores - held,
      tasks: [],
    });
  }
  return {
    scenario,
    workers,
    queue: [],
    weights: scenario.services.map(() =>
      new Float64Array(workers.length).fill(1),
    ),
    slowdowns: scenario.services.map(service => service.slowdown.slice()),
    second: 0,
    arrived: 0,
    evictions: 0,
    completed: 0,
    work: 0,
  };
}

/** Sets aside workers for batch work only; the other workers take their requests. */
export function setAside(fleet: Fleet, workers: readonly FleetWorker[]): void {
  for (const worker of workers) {
    for (const service of worker.services) {
      const weights = fleet.weights[service];
      if (weights !== undefined) {
        weights[worker.index] = 0;
      }
    }
    worker.free = worker.cores;
    worker.services.splice(0);
  }
}

/** Starts a queued task on a worker that has room; returns whether it did. */
export function startTask(
  fleet: Fleet,
  queued: QueuedTask,
  worker: FleetWorker,
): boolean {
  if (worker.free < queued.spec.declaredCores) {
    return false;
  }
  worker.free -= queued.spec.declaredCores;
  worker.tasks.push({
    spec: queued.spec,
    worker,
    startedAt: fleet.second,
    share: 1,
    busy: true,
    doneSeconds: queued.doneSeconds,
  });
  return true;
}

/** Checkpoints and evicts a task; it goes back to the head of the queue. */
export function evictTask(fleet: Fleet, task: RunningTask): void {
  removeTask(task);
  const doneSeconds = Math.max(0, task.doneSeconds - LOST_SECONDS);
  fleet.work -= (task.doneSeconds - doneSeconds) * task.spec.declaredCores;
  fleet.evictions += 1;
  fleet.queue.unshift({ spec: task.spec, doneSeconds });
}

function removeTask(task: RunningTask): void {
  const { worker } = task;
  worker.tasks.splice(worker.tasks.indexOf(task), 1);
  worker.free += task.spec.declaredCores;
}

/** Lets one second pass for the batch work. */
export function stepBatch(fleet: Fleet, random: Random): void {
  const { scenario } = fleet;
  fleet.second += 1;
  if (fleet.second >= scenario.changesAt) {
    fleet.slowdowns.forEach((slowdown, service) => {
      const changed = scenario.changedSlowdown[service] ?? 0;
      slowdown[scenario.changedClass] = changed;
    });
  }
  for (;;) {
    const next = scenario.tasks[fleet.arrived];
    if (next === undefined || next.arrivesAt > fleet.second) {
      break;
    }
    fleet.arrived += 1;
    fleet.queue.push({ spec: next, doneSeconds: 0 });
  }
  for (const worker of fleet.workers) {
    for (const task of [...worker.tasks]) {
      stepTask(fleet, task, random);
    }
  }
}

function stepTask(fleet: Fleet, task: RunningTask, random: Random): void {
  const { spec } = task;
  if (fleet.scenario.bursty[spec.batchClass] === true) {
    if (random() < 1 / PHASE_SECONDS) {
      task.busy = !task.busy;
    }
  }
  if (fleet.second - task.startedAt < RESTART_SECONDS) {
    return;
  }
  task.doneSeconds += task.share;
  fleet.work += task.share * spec.declaredCores;
  if (task.doneSeconds >= spec.seconds) {
    removeTask(task);
    fleet.completed += 1;
  }
}

/** Returns the cores that a task truly uses now. */
export function usedCores(task: RunningTask): number {
  return task.spec.cores * task.share * (task.busy ? 1 : IDLE_USE);
}

/** Returns the load of a service's backend server on a worker. */
export function loadOn(
  fleet: Fleet,
  service: number,
  worker: FleetWorker,
): number {
  const { scenario } = fleet;
  const weights = fleet.weights[service];
  const second = Math.min(fleet.second, scenario.seconds - 1);
  const load = scenario.load[service]?.[second] ?? 1;
  let sum = 0;
  let count = 0;
  for (const other of fleet.workers) {
    if (service === 0 || other.index % 2 === 0) {
      sum += (weights?.[other.index] ?? 1) * skewOf(scenario, other);
      count += 1;
    }
  }
  const own = (weights?.[worker.index] ?? 1) * skewOf(scenario, worker);
  return sum === 0 ? 0 : (load * own * count) / sum;
}

function skewOf(scenario: Scenario, worker: FleetWorker): number {
  return scenario.zoneSkew[worker.zone] ?? 1;
}

/** Returns the log slowdown of a service by the batch work on a worker at `load`. */
export function trueSlowdown(
  fleet: Fleet,
  service: number,
  worker: FleetWorker,
  load: number,
): number {
  const shares = new Float64Array(fleet.slowdowns[service]?.length ?? 0);
  for (const task of worker.tasks) {
    const at = task.spec.batchClass;
    shares[at] = (shares[at] ?? 0) + usedCores(task) / worker.cores;
  }
  return slowdownAt(fleet, service, shares, load);
}

/** Returns the log slowdown of a service by classes that use `shares` of a worker. */
export function slowdownAt(
  fleet: Fleet,
  service: number,
  shares: Float64Array,
  load: number,
): number {
  const slowdown = fleet.slowdowns[service];
  let sum = 0;
  for (let i = 0; i < shares.length; i++) {
    const share = shares[i] ?? 0;
    if (share > 0) {
      sum += (slowdown?.[i] ?? 0) * share ** SHARE_EXPONENT;
    }
  }
  return sum * (1 - LOAD_PART + LOAD_PART * load);
}

/** Returns the log level of a service alone on a worker at `load`. */
export function levelAlone(
  fleet: Fleet,
  service: number,
  worker: FleetWorker,
  load: number,
): number {
  const { scenario } = fleet;
  const second = Math.min(fleet.second, scenario.seconds - 1);
  const base = scenario.services[service]?.base ?? 0;
  const shock = scenario.shock[second] ?? 0;
  const own = scenario.workerOffset[worker.index] ?? 0;
  return base + LOAD_EFFECT * load * load + shock + own;
}

/** Returns the share of requests that miss a service's objective at a log level. */
export function missShare(service: ServiceTruth, level: number): number {
  return normalTail((service.limit - level) / service.deviation);
}

/** Upper tail of the normal distribution (Abramowitz and Stegun 26.2.17). */
export function normalTail(x: number): number {
  if (x < 0) {
    return 1 - normalTail(-x);
  }
  const t = 1 / (1 + 0.2316419 * x);
  const series =
    t *
    (0.31938153 +
      t *
        (-0.356563782 +
          t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  return (Math.exp((-x * x) / 2) / Math.sqrt(2 * Math.PI)) * series;
}

/** Error budget of every service. */
export const BUDGET = 1 - TARGET;
