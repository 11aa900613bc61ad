/** Builds the view of workers, services and batch tasks that the interference policy reads. */
import {
  batchClassOf,
  matches,
  objectsOf,
  policyFor,
  type BatchTaskView,
  type ConfigState,
  type Instant,
  type InterferenceView,
  type InterferenceWeights,
  type JobSpec,
  type PolicySpec,
  type ServiceSpec,
  type WorkerView,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

import type { AttemptTracker, TrackedAttempt } from './attempt-tracker.js';

/** The data from which a view is built. */
export interface ViewInput {
  readonly config: ConfigState;
  readonly hosts: readonly Host[];
  readonly region: string;
  /** Zone whose workers are all in the view, including those of shards that other processes schedule. */
  readonly availabilityZone: string;
  readonly tracker: AttemptTracker;
  readonly now: Instant;
  readonly wallNow: Instant;
}

/** Weights of a deployment that declares none. */
const DEFAULT_WEIGHTS: InterferenceWeights = {
  tailLatency: 1,
  batchThroughput: 1,
  evictions: 1,
};

/** Returns the weights of the deployment. */
export function weightsOf(config: ConfigState): InterferenceWeights {
  return objectsOf(config, 'weights')[0] ?? DEFAULT_WEIGHTS;
}

/** Builds the view of the workers in the own zone and of all other workers with tracked attempts. */
export function buildView(input: ViewInput): InterferenceView {
  const services = objectsOf(input.config, 'service');
  const byWorker = attemptsByWorker(input.tracker);
  const workers = input.hosts.filter(
    host =>
      host.role === 'worker' &&
      host.region === input.region &&
      (host.availabilityZone === input.availabilityZone ||
        byWorker.has(host.id)),
  );
  return {
    services: services.map(service => ({
      name: service.name,
      target: service.objective.target,
      latencyMs: service.objective.latencyMs,
    })),
    workers: workers.map(host =>
      toWorker(input, host, services, byWorker.get(host.id) ?? []),
    ),
  };
}

function attemptsByWorker(
  tracker: AttemptTracker,
): Map<string, TrackedAttempt[]> {
  const byWorker = new Map<string, TrackedAttempt[]>();
  for (const entry of tracker.all()) {
    const { worker } = entry.attempt;
    const list = byWorker.get(worker);
    if (list === undefined) {
      byWorker.set(worker, [entry]);
    } else {
      list.push(entry);
    }
  }
  return byWorker;
}

function toWorker(
  input: ViewInput,
  host: Host,
  services: readonly ServiceSpec[],
  attempts: readonly TrackedAttempt[],
): WorkerView {
  const served = services.filter(
    service =>
      host.endpoints[service.name] !== undefined &&
      matches(service.workers, host.labels),
  );
  const reservedCores =
    served.reduce((sum, service) => sum + service.size.cpu, 0) +
    attempts.reduce((sum, { attempt }) => sum + attempt.size.cpu, 0);
  return {
    name: host.id,
    cores: Math.max(1, host.capacity.cpu),
    freeCores: Math.max(0, host.capacity.cpu - reservedCores),
    services: served.map(service => service.name),
    tasks: attempts.flatMap(entry => toTask(input, entry) ?? []),
  };
}

/** Returns the view of a task, or undefined if it is not batch work. */
function toTask(
  { config, now, wallNow }: ViewInput,
  entry: TrackedAttempt,
): BatchTaskView | undefined {
  const { attempt, cores, share } = entry;
  const { job, ref, startedAtWall, savedAtWall } = attempt;
  const policy = policyOf(config, job);
  if (policy.class !== 'batch') {
    return undefined;
  }
  const savedAt = savedAtWall ?? startedAtWall;
  return {
    ...ref,
    batchClass: batchClassOf(job.team, job.labels),
    cores,
    share: share ?? 1,
    preemptible: policy.preemptible,
    evictionsPerHour: policy.evictionsPerHour,
    uncheckpointedSeconds: Math.max(0, wallNow - savedAt) / 1_000,
    startedAt: now - Math.max(0, wallNow - startedAtWall),
  };
}

type Policy = ReturnType<typeof policyFor>;

/** Policies by configuration and job; an entry is dropped with either of them. */
const policyCache = new WeakMap<ConfigState, WeakMap<JobSpec, Policy>>();

function policyOf(config: ConfigState, job: JobSpec): Policy {
  const known = policyCache.get(config) ?? new WeakMap<JobSpec, Policy>();
  policyCache.set(config, known);
  const found = known.get(job) ?? findPolicy(config, job);
  known.set(job, found);
  return found;
}

function findPolicy(config: ConfigState, job: JobSpec): Policy {
  const declared: readonly PolicySpec[] = objectsOf(config, 'policy');
  return policyFor(declared, job.labels);
}
