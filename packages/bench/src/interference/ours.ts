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

import { emptiest, type Contender } from './contender.js';
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

interface WorkerUses {
  readonly worker: string;
  readonly tasks: readonly TaskUse[];
}

interface Report {
  readonly second: number;
  readonly uses: readonly WorkerUses[];
}

/** Builds the contender under test: one process owns all shards. */
export function ours(fleet: Fleet): Contender {
  return owner(fleet, fleet.workers);
}

/** As `ours`, with a process for each availability zone that sees only its own workers. */
export function oursByZone(fleet: Fleet): Contender {
  const zones = fleet.scenario.deployment.availabilityZones;
  const owners = Array.from({ length: zones }, (_, zone) =>
    owner(
      fleet,
      fleet.workers.filter(worker => worker.zone === zone),
    ),
  );
  const least = (
    task: QueuedTask,
    rooms: readonly FleetWorker[],
  ): FleetWorker | undefined =>
    emptiest(
      owners.flatMap((each, zone) => {
        const own = rooms.filter(worker => worker.zone === zone);
        return each.choose(task, own) ?? [];
      }),
    );
  return {
    name: 'ours_by_zone',
    sees: true,
    see: sample => {
      owners[sample.worker.zone]?.see(sample);
    },
    act: () => {
      owners.forEach(each => {
        each.act();
      });
    },
    choose: least,
  };
}

function owner(fleet: Fleet, workers: readonly FleetWorker[]): Contender {
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
      reports.push(takeReport(fleet, workers));
      const late = reports[0];
      if (late !== undefined && late.second <= fleet.second - LAG_SECONDS) {
        reports.shift();
        deliver(late, now);
      }
    }
    if (fleet.second % DECIDE_SECONDS === 0) {
      const view = viewOf(fleet, workers, reported);
      const actions = adviseActions(model, memory, view, weights, now);
      carryOut(fleet, actions);
    }
    penalty = placementPenalty(
      model,
      viewOf(fleet, workers, reported),
      weights,
      now,
    );
  }

  function deliver(report: Report, now: number): void {
    for (const { worker, tasks } of report.uses) {
      for (const { task, cores, share } of tasks) {
        const known = reported.get(task.spec.id) ?? task.spec.declaredCores;
        const change = USE_SMOOTHING * (cores / share - known);
        reported.set(task.spec.id, known + change);
      }
      const asOf = report.second * 1_000;
      const byClass = tasks.map(({ task, cores }) => ({
        batchClass: className(task.spec.batchClass),
        share: cores / deployment.cores,
      }));
      observeUsage(model, { worker, asOf, uses: byClass }, now);
    }
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

function takeReport(fleet: Fleet, workers: readonly FleetWorker[]): Report {
  const uses = workers.map(worker => ({
    worker: worker.name,
    tasks: worker.tasks.map(task => ({
      task,
      cores: usedCores(task),
      share: task.share,
    })),
  }));
  return { second: fleet.second, uses };
}

function viewOf(
  fleet: Fleet,
  workers: readonly FleetWorker[],
  reported: ReadonlyMap<string, number>,
): InterferenceView {
  const { services } = fleet.scenario;
  return {
    services: services.map(service => ({
      name: service.name,
      target: TARGET,
      latencyMs: Math.exp(service.limit),
    })),
    workers: workers.map(worker => ({
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
