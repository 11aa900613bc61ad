/** The project's own learning and policy, wired to the fake fleet. */
import {
  adviseActions,
  createInterferenceModel,
  createPolicyMemory,
  observeLatency,
  observeUsage,
  placementPenalty,
  type Action,
  type InterferenceView,
  type PlacementPenalty,
} from '@paddlewind/domain';

import type { Contender } from './contender.js';
import {
  className,
  evictTask,
  usedCores,
  type Fleet,
  type FleetWorker,
  type QueuedTask,
  type RunningTask,
} from './fleet.js';
import { TARGET } from './scenario.js';

/** Seconds between decisions, between usage reports, and the age of their figures. */
const DECIDE_SECONDS = 1;
const REPORT_SECONDS = 5;
const LAG_SECONDS = 30;

/** Smoothing of a task's reported use. */
const USE_SMOOTHING = 0.1;

/** Cost of a worker that is full, so that equal penalties spread the work. */
const SPREAD = 0.02;

interface TaskUse {
  readonly task: RunningTask;
  readonly cores: number;
  readonly share: number;
}

interface Report {
  readonly second: number;
  readonly uses: readonly (readonly TaskUse[])[];
}

/** Builds the contender under test. */
export function ours(fleet: Fleet): Contender {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  const { deployment, services } = fleet.scenario;
  const { weights } = deployment;
  const reports: Report[] = [];
  const reported = new Map<string, number>();
  let penalty: PlacementPenalty = () => 0;

  function act(): void {
    const now = fleet.second * 1_000;
    if (fleet.second % REPORT_SECONDS === 0) {
      reports.push(takeReport(fleet));
      const late = reports[0];
      if (late !== undefined && late.second <= fleet.second - LAG_SECONDS) {
        reports.shift();
        deliver(late, now);
      }
    }
    if (fleet.second % DECIDE_SECONDS === 0) {
      const view = viewOf(fleet, reported);
      const actions = adviseActions(model, memory, view, weights, now);
      carryOut(fleet, actions);
    }
    penalty = placementPenalty(model, viewOf(fleet, reported), weights, now);
  }

  function deliver(report: Report, now: number): void {
    report.uses.forEach((uses, index) => {
      for (const { task, cores, share } of uses) {
        const known = reported.get(task.spec.id) ?? task.spec.declaredCores;
        const change = USE_SMOOTHING * (cores / share - known);
        reported.set(task.spec.id, known + change);
      }
      const worker = `w${index}`;
      const asOf = report.second * 1_000;
      const byClass = uses.map(({ task, cores }) => ({
        batchClass: className(task.spec.batchClass),
        share: cores / deployment.cores,
      }));
      observeUsage(model, { worker, asOf, uses: byClass }, now);
    });
  }

  function choose(
    task: QueuedTask,
    rooms: readonly FleetWorker[],
  ): FleetWorker | undefined {
    let best: FleetWorker | undefined;
    let bestCost = Infinity;
    for (const worker of rooms) {
      const { batchClass, declaredCores } = task.spec;
      const price = penalty(worker.name, className(batchClass), declaredCores);
      const cost = price - (SPREAD * worker.free) / worker.cores;
      if (cost < bestCost) {
        best = worker;
        bestCost = cost;
      }
    }
    return best;
  }

  return {
    name: 'ours',
    sees: true,
    see: ({ service, worker, latencyMs }) => {
      observeLatency(model, {
        service: services[service]?.name ?? '',
        worker: worker.name,
        latencyMs,
        at: fleet.second * 1_000,
      });
    },
    act,
    choose,
  };
}

function takeReport(fleet: Fleet): Report {
  const uses = fleet.workers.map(worker =>
    worker.tasks.map(task => ({
      task,
      cores: usedCores(task),
      share: task.share,
    })),
  );
  return { second: fleet.second, uses };
}

function viewOf(
  fleet: Fleet,
  reported: ReadonlyMap<string, number>,
): InterferenceView {
  const { services } = fleet.scenario;
  return {
    services: services.map(service => ({
      name: service.name,
      target: TARGET,
      latencyMs: Math.exp(service.limit),
    })),
    workers: fleet.workers.map(worker => ({
      name: worker.name,
      cores: worker.cores,
      freeCores: worker.free,
      services: worker.services.map(index => services[index]?.name ?? ''),
      tasks: worker.tasks.map(task => ({
        task: task.spec.id,
        attempt: 1,
        batchClass: className(task.spec.batchClass),
        cores: reported.get(task.spec.id) ?? task.spec.declaredCores,
        share: task.share,
        preemptible: true,
        evictionsPerHour: 2,
        uncheckpointedSeconds: 20,
        startedAt: task.startedAt * 1_000,
      })),
    })),
  };
}

function carryOut(fleet: Fleet, actions: readonly Action[]): void {
  const byId = new Map<string, RunningTask>();
  const byName = new Map<string, FleetWorker>();
  for (const worker of fleet.workers) {
    byName.set(worker.name, worker);
    for (const task of worker.tasks) {
      byId.set(task.spec.id, task);
    }
  }
  for (const action of actions) {
    switch (action.kind) {
      case 'steer': {
        const at = fleet.scenario.services.findIndex(
          service => service.name === action.service,
        );
        const weights = fleet.weights[at];
        const worker = byName.get(action.worker);
        if (weights !== undefined && worker !== undefined) {
          weights[worker.index] = action.weight;
        }
        break;
      }
      case 'throttle': {
        const task = byId.get(action.task);
        if (task !== undefined) {
          task.share = action.share;
        }
        break;
      }
      case 'evict': {
        const task = byId.get(action.task);
        if (task !== undefined) {
          evictTask(fleet, task);
        }
        break;
      }
    }
  }
}
