/** A deployment of a fixed capacity under too much load, with hosts that decide by old forecasts. */
import { createRunTimes } from './run-times.js';
import { NO_LIMITS, type AdmissionLimits, type Refusal } from './admission.js';
import { applyInbox } from './fold.js';
import { isReady, type Run, type Step } from './job.js';
import { emptyJobsState } from './jobs-state.js';
import { CapacityAdmission } from './capacity-admission.js';
import { CapacityForecast, type ForecastInput } from './capacity-forecast.js';
import {
  estimatedWorkOf,
  parseCapacityRows,
  capacityKindOf,
  capacityColumns,
  FORECAST_VALID_MS,
  type CapacityKind,
  type CapacityRow,
} from './capacity-rows.js';
import type { JobSpec, StepSpec } from './spec.js';
import { endRun, startOn, testJob } from './test-support.js';

/** A submitted job, how it was answered, and when it would have ended. */
export interface Submitted {
  readonly at: number;
  readonly job: JobSpec;
  /** True core-milliseconds, which the caller's estimates miss. */
  readonly work: number;
  readonly tasks: number;
  readonly refusal: Refusal | undefined;
  /** Time until the job has lost its value, by its caller's estimates. */
  readonly usefulMs: number;
  /** Time until it would end by the forecast in force at its host, computed here. */
  readonly forecastMs: number;
  /** Time until it would end after all that was accepted before it, by the true run times. */
  readonly servedMs: number;
}

/** The jobs of one queue. */
interface Load {
  readonly queue: string;
  readonly kind: CapacityKind;
  readonly jobsPerSecond: number;
  readonly steps: number;
  /** Mean number of tasks of a step. */
  readonly tasks: number;
  readonly cpuMilli: number;
  readonly runMs: number;
  readonly terms: {
    readonly priority: number;
    readonly deadlineFactor: number;
    readonly targetLatencyMs: number;
  };
}

const LOADS: readonly Load[] = [
  {
    queue: 'checks',
    kind: 'plain',
    jobsPerSecond: 36,
    steps: 2,
    tasks: 3,
    cpuMilli: 5_000,
    runMs: 640,
    terms: { priority: 0, deadlineFactor: 1.5, targetLatencyMs: 250 },
  },
  {
    queue: 'batch',
    kind: 'filler',
    jobsPerSecond: 30,
    steps: 2,
    tasks: 4,
    cpuMilli: 9_000,
    runMs: 2_200,
    terms: { priority: 2, deadlineFactor: 2, targetLatencyMs: 1_000 },
  },
];

/** Ratio of the load to the capacity. */
const OVERLOAD = 3;
const TICK_MS = 50;
/** Time between two forecasts. */
const PUBLISH_INTERVAL_MS = 1_000;
/** Age of a forecast when a host reads it. */
const FORECAST_AGE_MS = 1_000;
/** Spread of sizes of jobs, and errors of callers' estimates, as standard deviations of logarithms. */
const SIZE_SPREAD = 0.6;
const ESTIMATE_ERROR = 0.2;
const TASK_SPREAD = 0.15;
/** Mean of the exponential of a normal variable with the spread of the sizes. */
const MEAN_SIZE = Math.exp(SIZE_SPREAD ** 2 / 2);

interface Host {
  readonly admission: CapacityAdmission;
  /** What it has accepted since the forecast in force, counted here on its own. */
  added: { readonly load: Load; readonly work: number }[];
}

interface Options {
  readonly hosts: number;
  readonly admitsByCapacity: boolean;
  readonly seed: number;
}

/** Simulates callers, hosts, a leader and workers. */
export class AdmissionTrial {
  readonly submitted: Submitted[] = [];
  losesForecasts = false;

  private readonly state = emptyJobsState();
  private readonly times = createRunTimes();
  private readonly forecast = new CapacityForecast();
  private readonly hosts: Host[];
  private readonly ends = new Map<Run, number>();
  private readonly free = new Map<CapacityKind, number>();
  /** True core-milliseconds that accepted jobs still need, by queue. */
  private readonly backlog = new Map<string, number>();
  private readonly trueFactor = new Map<string, number>();
  private limits: AdmissionLimits = NO_LIMITS;
  /** Forecasts that no host has read yet. */
  private published: { readonly at: number; readonly rooms: CapacityRow[] }[] =
    [];
  private random: () => number;
  private now = 0;

  constructor(private readonly options: Options) {
    this.random = seeded(options.seed);
    this.hosts = Array.from({ length: options.hosts }, () => ({
      admission: new CapacityAdmission(),
      added: [],
    }));
    for (const load of LOADS) {
      this.free.set(load.kind, capacityMilli(load));
    }
  }

  /** Returns the capacity of a queue in core-milliseconds per second. */
  capacityOf(queue: string): number {
    return capacityMilli(loadOf(queue));
  }

  /** Runs until `seconds`. */
  run(seconds: number): void {
    for (; this.now < seconds * 1_000; this.now += TICK_MS) {
      this.state.now = this.now;
      this.endRuns();
      this.startRuns();
      this.forecast.noteRound(this.input());
      this.publish();
      this.readForecast();
      this.submitAll();
    }
  }

  private input(): ForecastInput {
    const { state, times, now } = this;
    return { state, times, time: { now, nowWall: now } };
  }

  private publish(): void {
    const isDue = this.now % PUBLISH_INTERVAL_MS === 0;
    if (isDue && this.options.admitsByCapacity && !this.losesForecasts) {
      const rows = this.forecast.rows(this.now, this.options.hosts);
      const [column] = capacityColumns(rows);
      const wire: unknown = JSON.parse(JSON.stringify(column ?? null));
      this.published.push({
        at: this.now,
        rooms: [...parseCapacityRows(wire)],
      });
    }
  }

  private readForecast(): void {
    const [next] = this.published;
    if (next !== undefined && this.now >= next.at + FORECAST_AGE_MS) {
      this.published.shift();
      const roomsUntil = next.at + FORECAST_VALID_MS;
      this.limits = { ...NO_LIMITS, rooms: next.rooms, roomsUntil };
      for (const host of this.hosts) {
        host.added = [];
      }
    }
  }

  private submitAll(): void {
    for (const load of LOADS) {
      const expected = (load.jobsPerSecond * TICK_MS) / 1_000;
      let count = Math.floor(expected + this.random());
      for (; count > 0; count -= 1) {
        this.submit(load);
      }
    }
  }

  private submit(load: Load): void {
    const { job, factor } = this.jobOf(load);
    const host = this.hosts[Math.floor(this.random() * this.hosts.length)];
    if (host === undefined) {
      return;
    }
    const work = estimatedWorkOf(job, load.kind);
    const pathMs = job.steps.reduce((sum, step) => sum + step.estimateMs, 0);
    const { deadlineFactor, targetLatencyMs } = load.terms;
    const usefulMs = 3 * (deadlineFactor * pathMs + targetLatencyMs);
    const forecastMs = this.forecastWait(host, load) + pathMs;
    const before = this.backlog.get(load.queue) ?? 0;
    const servedMs = (1_000 * before) / capacityMilli(load) + pathMs * factor;
    const refusal = host.admission.refusalOf(job, this.limits, this.now);
    const tasks = job.steps.reduce((sum, step) => sum + step.tasks, 0);
    const known = { at: this.now, job, work: work * factor, tasks, refusal };
    this.submitted.push({ ...known, usefulMs, forecastMs, servedMs });
    if (refusal === undefined) {
      host.admission.noteAccepted(job, this.limits);
      host.added.push({ load, work });
      this.trueFactor.set(job.id, factor);
      this.addBacklog(load.queue, work * factor);
      applyInbox(this.state, { kind: 'submit', job, atWall: 0 });
    }
  }

  /** Returns the wait by the forecast in force, computed apart from the code under test. */
  private forecastWait(host: Host, load: Load): number {
    const { rooms, roomsUntil } = this.limits;
    const row = rooms.find(({ kind }) => kind === load.kind);
    if (row === undefined || this.now >= roomsUntil) {
      return 0;
    }
    const own = host.added.filter(each => each.load === load);
    const added = own.reduce((sum, { work }) => sum + work, 0) * row.hosts;
    const fastest = row.rate * (1 + row.errorPercent / 100);
    return (1_000 * (row.backlog + added)) / fastest;
  }

  private jobOf(load: Load): { job: JobSpec; factor: number } {
    const { queue, terms, cpuMilli, kind } = load;
    const size = Math.exp(SIZE_SPREAD * this.gaussian());
    const tasks = Math.max(1, Math.round((load.tasks * size) / MEAN_SIZE));
    const factor = Math.exp(ESTIMATE_ERROR * this.gaussian());
    const step: Partial<StepSpec> = {
      tasks,
      size: { cpuMilli, memoryMiB: 1, accelerators: 0 },
      estimateMs: Math.round(load.runMs / factor),
      filler: kind === 'filler',
      image: queue,
    };
    const steps = Array.from({ length: load.steps }, (_, at) => ({
      ...step,
      after: at === 0 ? [] : [at - 1],
    }));
    const id = `${queue}${this.submitted.length}`;
    return { job: testJob(id, steps, { ...terms, queue }), factor };
  }

  /** Serves jobs in the order of their arrival, as the forecast assumes. */
  private startRuns(): void {
    const full = new Set<CapacityKind>();
    for (const job of this.state.openJobs) {
      job.seenAt ??= this.now;
      for (const step of job.occurrences.get(0)?.steps ?? []) {
        const kind = capacityKindOf(step.spec);
        if (!full.has(kind) && isReady(step) && !this.startStep(step, kind)) {
          full.add(kind);
        }
      }
      if (full.size === LOADS.length) {
        return;
      }
    }
  }

  /** Starts the waiting tasks of a step; false if they don't all have a place. */
  private startStep(step: Step, kind: CapacityKind): boolean {
    for (const task of step.tasks) {
      const free = this.free.get(kind) ?? 0;
      const { cpuMilli } = step.spec.size;
      if (task.status !== 'waiting') {
        continue;
      }
      if (free < cpuMilli) {
        return false;
      }
      this.free.set(kind, free - cpuMilli);
      const { id } = step.occurrence.job.spec;
      const stepMs = step.spec.estimateMs * (this.trueFactor.get(id) ?? 1);
      const runMs = stepMs * Math.exp(TASK_SPREAD * this.gaussian());
      const run = startOn(this.state, task, 'w');
      run.progress = undefined;
      this.ends.set(run, this.now + runMs);
    }
    return true;
  }

  private endRuns(): void {
    for (const [run, end] of this.ends) {
      if (end > this.now) {
        continue;
      }
      this.ends.delete(run);
      const { step } = run.task;
      const { id, terms } = step.occurrence.job.spec;
      const kind = capacityKindOf(step.spec);
      const { size, estimateMs } = step.spec;
      const runMs = estimateMs * (this.trueFactor.get(id) ?? 1);
      this.addBacklog(terms.queue, (-runMs * size.cpuMilli) / 1_000);
      this.free.set(kind, (this.free.get(kind) ?? 0) + size.cpuMilli);
      this.forecast.noteCompleted(run.task);
      this.times.recordRun(step, runMs);
      endRun(this.state, run, 'done');
    }
  }

  private addBacklog(queue: string, work: number): void {
    this.backlog.set(queue, (this.backlog.get(queue) ?? 0) + work);
  }

  private gaussian(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }
}

function loadOf(queue: string): Load {
  const load = LOADS.find(each => each.queue === queue);
  if (load === undefined) {
    throw new Error('no such queue');
  }
  return load;
}

/** Returns the capacity of a queue, a fraction of its load, in thousandths of a core. */
function capacityMilli(load: Load): number {
  const { jobsPerSecond, steps, tasks, cpuMilli, runMs } = load;
  const milli = (jobsPerSecond * steps * tasks * cpuMilli * runMs) / 1_000;
  return milli / OVERLOAD;
}

/** Returns a generator of uniformly distributed numbers (mulberry32). */
function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
