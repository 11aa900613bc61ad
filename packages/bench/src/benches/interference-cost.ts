/** Cost of the interference policy for one shard of the size to design for, once a second. */
import { serialize } from 'node:v8';

import {
  adviseActions,
  createInterferenceModel,
  createPolicyMemory,
  observeLatency,
  observeUsage,
  placementPenalty,
  seededRandom,
  type Action,
  type BatchTaskView,
  type InterferenceView,
} from '@paddlewind/domain';

import { report } from '../report.js';

/** A shard: workers, services on each of them, and batch tasks on each. */
const WORKERS = 31;
const SERVICES = 21;
const SERVICES_PER_WORKER = 7;
const TASKS_PER_WORKER = 17;
const CLASSES = 14;
const CORES = 16;

/** Requests a second of one service on one worker that the owner's router sees. */
const REQUESTS = 3;

const SECONDS = 300;
/** Seconds at the start that are not counted: the code is not compiled yet. */
const WARM_UP = 20;

const WEIGHTS = { tailLatency: 5, batchThroughput: 1, evictions: 1 };

/** Times of one second's work in milliseconds. */
interface Times {
  readonly samples: number[];
  readonly usage: number[];
  readonly advise: number[];
  readonly penalties: number[];
}

/** Runs the benchmark, with objectives that are kept and with ones that are not. */
export function run(): Promise<void> {
  measure('kept', 400);
  measure('violated', 30);
  return Promise.resolve();
}

function measure(objectives: string, latencyMs: number): void {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  const random = seededRandom(1);
  const shares = new Map<string, number>();
  const times: Times = { samples: [], usage: [], advise: [], penalties: [] };
  let actions = 0;
  for (let second = 1; second <= SECONDS; second++) {
    const now = second * 1_000;
    const view = viewOf(latencyMs, shares);
    const started = performance.now();
    for (const worker of view.workers) {
      for (const service of worker.services) {
        for (let i = 0; i < REQUESTS; i++) {
          const latency = 20 * Math.exp(random());
          const sample = { service, worker: worker.name, latencyMs: latency };
          observeLatency(model, { ...sample, at: now });
        }
      }
    }
    const sampled = performance.now();
    for (const worker of view.workers) {
      const uses = worker.tasks.map(task => ({
        batchClass: task.batchClass,
        share: (task.cores * task.share * random()) / CORES,
      }));
      const asOf = now - 30_000;
      observeUsage(model, { worker: worker.name, asOf, uses }, now);
    }
    const used = performance.now();
    const advised = adviseActions(model, memory, view, WEIGHTS, now);
    const decided = performance.now();
    const penalty = placementPenalty(model, view, WEIGHTS, now);
    for (const worker of view.workers) {
      for (let i = 0; i < CLASSES; i++) {
        penalty(worker.name, `class${i}`, 1);
      }
    }
    const priced = performance.now();
    times.samples.push(sampled - started);
    times.usage.push(used - sampled);
    times.advise.push(decided - used);
    times.penalties.push(priced - decided);
    actions += advised.length;
    obey(shares, advised);
  }
  report({
    bench: 'interference-cost',
    objectives,
    workers: WORKERS,
    tasks: WORKERS * TASKS_PER_WORKER,
    samplesPerSecond: WORKERS * SERVICES_PER_WORKER * REQUESTS,
    actions,
    ...quantiles('samples', times.samples),
    ...quantiles('usage', times.usage),
    ...quantiles('advise', times.advise),
    ...quantiles('penalties', times.penalties),
    stateKiB: Math.round(serialize([model, memory]).byteLength / 1_024),
  });
}

function obey(shares: Map<string, number>, actions: readonly Action[]): void {
  for (const action of actions) {
    if (action.kind === 'throttle') {
      shares.set(action.task, action.share);
    }
  }
}

function viewOf(
  latencyMs: number,
  shares: ReadonlyMap<string, number>,
): InterferenceView {
  return {
    services: Array.from({ length: SERVICES }, (_, i) => ({
      name: `service${i}`,
      target: 0.99,
      latencyMs,
    })),
    workers: Array.from({ length: WORKERS }, (_, worker) => ({
      name: `worker${worker}`,
      cores: CORES,
      freeCores: 1,
      services: Array.from(
        { length: SERVICES_PER_WORKER },
        (_, i) => `service${(worker * SERVICES_PER_WORKER + i) % SERVICES}`,
      ),
      tasks: Array.from({ length: TASKS_PER_WORKER }, (_, i) =>
        taskOf(worker, i, shares),
      ),
    })),
  };
}

function taskOf(
  worker: number,
  index: number,
  shares: ReadonlyMap<string, number>,
): BatchTaskView {
  const task = `job${worker}-${index}/0`;
  return {
    task,
    attempt: 1,
    batchClass: `class${(worker + index) % CLASSES}`,
    cores: 0.5,
    share: shares.get(task) ?? 1,
    preemptible: true,
    evictionsPerHour: 2,
    uncheckpointedSeconds: 0,
    startedAt: 0,
  };
}

function quantiles(name: string, values: number[]): Record<string, number> {
  const sorted = values.slice(WARM_UP).sort((a, b) => a - b);
  const at = (share: number): number =>
    sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
  return {
    [`${name}P50Ms`]: Number(at(0.5).toFixed(3)),
    [`${name}P99Ms`]: Number(at(0.99).toFixed(3)),
  };
}
