/** Seeded scenarios of interference: fleets, a hidden pair matrix, load and batch work. */
import {
  seededRandom,
  type InterferenceWeights,
  type Random,
} from '@paddlewind/domain';

/** Size and weights of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly workers: number;
  readonly cores: number;
  readonly availabilityZones: number;
  /** Cores of one backend server of the main service and of the second one. */
  readonly serviceCores: readonly [number, number];
  /** Cores of a batch task: least and most. */
  readonly taskCores: readonly [number, number];
  readonly medianTaskSeconds: number;
  readonly weights: InterferenceWeights;
}

/** The deployments of today. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'cascade',
    workers: 45,
    cores: 16,
    availabilityZones: 4,
    serviceCores: [4, 2],
    taskCores: [1, 4],
    medianTaskSeconds: 480,
    weights: { tailLatency: 5, batchThroughput: 1, evictions: 1 },
  },
  {
    name: 'byggesag',
    workers: 35,
    cores: 64,
    availabilityZones: 3,
    serviceCores: [12, 8],
    taskCores: [2, 12],
    medianTaskSeconds: 900,
    weights: { tailLatency: 2, batchThroughput: 3, evictions: 3 },
  },
];

/** Number of batch classes. */
export const CLASSES = 8;

/** Share of requests that must meet the objective. */
export const TARGET = 0.99;

/** Truth about one service. */
export interface ServiceTruth {
  readonly name: string;
  /** Log of the response time at no load, and the deviation of log response times. */
  readonly base: number;
  readonly deviation: number;
  /** Log of the objective. */
  readonly limit: number;
  /** Requests a second on one worker at load 1, as one entry host sees them. */
  readonly rate: number;
  /** Log slowdown by class at a whole worker and load 1: the hidden pair matrix. */
  readonly slowdown: Float64Array;
}

/** A batch task to come. */
export interface TaskSpec {
  readonly id: string;
  readonly batchClass: number;
  readonly declaredCores: number;
  /** Cores used when busy and not throttled. */
  readonly cores: number;
  /** Seconds of work at full share. */
  readonly seconds: number;
  readonly arrivesAt: number;
}

/** Everything that is drawn before a run; the same for every contender. */
export interface Scenario {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly seconds: number;
  readonly services: readonly ServiceTruth[];
  /** Slowness of each worker by itself, in log. */
  readonly workerOffset: Float64Array;
  /** Load by service and second. */
  readonly load: readonly Float64Array[];
  /** Load of each availability zone relative to the mean. */
  readonly zoneSkew: Float64Array;
  /** Slowness of a common dependency by second, in log. */
  readonly shock: Float64Array;
  /** Whether a class works in bursts. */
  readonly bursty: readonly boolean[];
  readonly tasks: readonly TaskSpec[];
  /** Second at which one column of the matrix changes, and the class. */
  readonly changesAt: number;
  readonly changedClass: number;
  readonly changedSlowdown: readonly number[];
}

/** Rise of the log level by the square of the load. */
export const LOAD_EFFECT = 0.09;

/** Greatest load and shock that are drawn; alone, a service then still misses only half its budget. */
const PEAK_LOAD = 1.8;
const PEAK_SHOCK = 0.15;
const HALF_BUDGET_QUANTILE = 2.576;
const PEAK_LEVEL = LOAD_EFFECT * PEAK_LOAD ** 2 + PEAK_SHOCK;

/** Returns a normally distributed number. */
export function normal(random: Random): number {
  const angle = 2 * Math.PI * random();
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
}

/** Draws the scenario of a seed; `seen` scales the requests that the entry host sees. */
export function drawScenario(
  deployment: Deployment,
  seed: number,
  seconds: number,
  seen: number,
): Scenario {
  const random = seededRandom(seed * 7919 + deployment.workers);
  const services = ['main', 'checks'].map(name =>
    drawService(name, seen, random),
  );
  const changedClass = Math.floor(random() * CLASSES);
  return {
    deployment,
    seed,
    seconds,
    services,
    workerOffset: Float64Array.from(
      { length: deployment.workers },
      () => 0.04 * normal(random),
    ),
    load: services.map(() => drawLoad(seconds, random)),
    zoneSkew: Float64Array.from(
      { length: deployment.availabilityZones },
      () => 0.9 + 0.2 * random(),
    ),
    shock: drawShocks(seconds, random),
    bursty: Array.from({ length: CLASSES }, () => random() < 0.5),
    tasks: drawTasks(deployment, seconds, random),
    changesAt: seconds * (0.5 + 0.2 * random()),
    changedClass,
    changedSlowdown: services.map(() => drawSlowdown(random)),
  };
}

function drawService(name: string, seen: number, random: Random): ServiceTruth {
  const base = Math.log(8 + 30 * random());
  const deviation = 0.35 + 0.15 * random();
  return {
    name,
    base,
    deviation,
    limit: base + PEAK_LEVEL + HALF_BUDGET_QUANTILE * deviation,
    rate: seen * (4 + 4 * random()),
    slowdown: Float64Array.from({ length: CLASSES }, () =>
      drawSlowdown(random),
    ),
  };
}

/** Half of the pairs hardly interfere, some do, a few do badly. */
function drawSlowdown(random: Random): number {
  const kind = random();
  if (kind < 0.5) {
    return 0.1 * random();
  }
  return kind < 0.8 ? 0.3 + 0.7 * random() : 1.5 + 2 * random();
}

/** Load that drifts, and jumps without warning every ten minutes or so. */
function drawLoad(seconds: number, random: Random): Float64Array {
  const load = new Float64Array(seconds);
  const phase = 2 * Math.PI * random();
  let level = 0.7 + 0.6 * random();
  for (let t = 0; t < seconds; t++) {
    if (random() < 1 / 600) {
      level = 0.5 + random();
    }
    const drift = 0.15 * Math.sin(phase + (2 * Math.PI * t) / 2_400);
    load[t] = Math.max(0.3, level + drift);
  }
  return load;
}

/** A common dependency is slow for two minutes every half hour or so. */
function drawShocks(seconds: number, random: Random): Float64Array {
  const shock = new Float64Array(seconds);
  for (let t = 0; t < seconds; t++) {
    if (random() < 1 / 1_800) {
      shock.fill(PEAK_SHOCK * (0.3 + 0.7 * random()), t, t + 120);
    }
  }
  return shock;
}

/** Batch work that always keeps the fleet busy, most of it in waves of one class. */
function drawTasks(
  deployment: Deployment,
  seconds: number,
  random: Random,
): TaskSpec[] {
  const { workers, cores, taskCores, medianTaskSeconds } = deployment;
  const offered = 0.9 * workers * cores * seconds;
  const tasks: TaskSpec[] = [];
  let drawn = 0;
  while (drawn < offered) {
    const wave = random() < 0.6 ? Math.ceil(workers * random()) : 1;
    const batchClass = Math.floor(random() * CLASSES);
    const arrivesAt = Math.max(0, (random() - 0.1) * seconds);
    for (let i = 0; i < wave; i++) {
      const [least, most] = taskCores;
      const declaredCores = least + Math.floor(random() * (most - least + 1));
      const taskSeconds = medianTaskSeconds * Math.exp(0.6 * normal(random));
      drawn += declaredCores * taskSeconds;
      tasks.push({
        id: `t${tasks.length}`,
        batchClass,
        declaredCores,
        cores: declaredCores * (0.5 + 0.5 * random()),
        seconds: taskSeconds,
        arrivesAt,
      });
    }
  }
  return tasks.sort((a, b) => a.arrivesAt - b.arrivesAt);
}
