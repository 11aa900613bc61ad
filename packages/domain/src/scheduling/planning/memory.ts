/** What the planner keeps between plans: the queue in order, and which workers selectors match. */
import type { PolicySpec } from '../../declarations/schemas.js';
import {
  matches,
  policyFor,
  type DEFAULT_POLICY,
} from '../../declarations/selector.js';
import { freshCount, type Job } from '../job.js';
import type { SchedulableWorker } from '../view.js';

/** The part of a policy that concerns scheduling. */
export type WorkPolicy = typeof DEFAULT_POLICY;

/** Ranks of priority, the most pressing first. */
export const RANKS = ['urgent', 'normal', 'low'] as const;
/** A rank of priority. */
export type Rank = (typeof RANKS)[number];

/** A job with tasks that wait. */
export interface QueuedJob {
  readonly job: Job;
  readonly policy: WorkPolicy;
  /** Text of its selector of workers, as a key. */
  readonly selectorKey: string;
}

/** Waiting jobs of one rank by team, each in order of arrival. */
export type TeamQueues = Map<string, QueuedJob[]>;

/** The planner's memory of one shard. */
export interface PlannerMemory {
  readonly queued: Map<Job, QueuedJob>;
  readonly queues: Readonly<Record<Rank, TeamQueues>>;
  policies: readonly PolicySpec[] | undefined;
  /** Workers as last seen, to notice changes. */
  fleet: readonly SchedulableWorker[];
  /** Raised when the workers or what they can hold change. */
  fleetVersion: number;
  /** Ids of workers by selector key. */
  readonly eligible: Map<string, ReadonlySet<string>>;
}

/** Returns an empty memory. */
export function newPlannerMemory(): PlannerMemory {
  return {
    queued: new Map(),
    queues: { urgent: new Map(), normal: new Map(), low: new Map() },
    policies: undefined,
    fleet: [],
    fleetVersion: 0,
    eligible: new Map(),
  };
}

/** Brings the queue up to date with the jobs changed since the last call. */
export function syncQueue(
  memory: PlannerMemory,
  jobs: ReadonlyMap<string, Job>,
  touched: Set<Job>,
  policies: readonly PolicySpec[],
): void {
  if (memory.policies !== policies) {
    resetQueue(memory, policies);
    jobs.forEach(job => touched.add(job));
  }
  for (const job of touched) {
    const live = jobs.get(job.spec.name) === job;
    if (live && isWaiting(job)) {
      enqueue(memory, job, policies);
    } else {
      dequeue(memory, job);
    }
  }
  touched.clear();
}

function resetQueue(
  memory: PlannerMemory,
  policies: readonly PolicySpec[],
): void {
  memory.policies = policies;
  memory.queued.clear();
  RANKS.forEach(rank => {
    memory.queues[rank].clear();
  });
}

function isWaiting(job: Job): boolean {
  const some = job.queued.size > 0 || freshCount(job) > 0;
  return some && !job.cancelled && job.heldFor === undefined;
}

function enqueue(
  memory: PlannerMemory,
  job: Job,
  policies: readonly PolicySpec[],
): void {
  if (memory.queued.has(job)) {
    return;
  }
  const policy = policyFor(policies, job.spec.labels);
  const selectorKey = JSON.stringify(job.spec.workers);
  const entry = { job, policy, selectorKey };
  memory.queued.set(job, entry);
  const queues = memory.queues[policy.priority];
  const queue = queues.get(job.spec.team);
  if (queue === undefined) {
    queues.set(job.spec.team, [entry]);
  } else {
    queue.splice(placeInQueue(queue, job), 0, entry);
  }
}

function dequeue(memory: PlannerMemory, job: Job): void {
  const entry = memory.queued.get(job);
  if (entry === undefined) {
    return;
  }
  memory.queued.delete(job);
  const queues = memory.queues[entry.policy.priority];
  const queue = queues.get(job.spec.team) ?? [];
  queue.splice(placeInQueue(queue, job), 1);
  if (queue.length === 0) {
    queues.delete(job.spec.team);
  }
}

/** Returns the first place in the queue whose job did not arrive before `job`. */
function placeInQueue(queue: readonly QueuedJob[], job: Job): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const arrival = queue[middle]?.job.arrival ?? 0;
    if (arrival < job.arrival) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Notes the workers of a view and forgets what no longer holds of them. */
export function syncFleet(
  memory: PlannerMemory,
  workers: readonly SchedulableWorker[],
): void {
  const same =
    memory.fleet.length === workers.length &&
    workers.every((worker, i) => isSameWorker(worker, memory.fleet[i]));
  memory.fleet = workers;
  if (!same) {
    memory.fleetVersion += 1;
    memory.eligible.clear();
  }
}

function isSameWorker(
  a: SchedulableWorker,
  b: SchedulableWorker | undefined,
): boolean {
  return (
    b?.id === a.id &&
    sameEntries(a.capacity, b.capacity) &&
    sameEntries(a.reserved, b.reserved) &&
    sameEntries(a.labels, b.labels)
  );
}

function sameEntries(a: object, b: object): boolean {
  if (a === b) {
    return true;
  }
  const left = Object.entries(a) as [string, unknown][];
  const right = new Map(Object.entries(b) as [string, unknown][]);
  return (
    left.length === right.size &&
    left.every(([key, value]) => right.get(key) === value)
  );
}

/** Returns the ids of the workers that the job's selector matches. */
export function eligibleWorkers(
  memory: PlannerMemory,
  entry: QueuedJob,
): ReadonlySet<string> {
  const known = memory.eligible.get(entry.selectorKey);
  if (known !== undefined) {
    return known;
  }
  const selector = entry.job.spec.workers;
  const ids = memory.fleet
    .filter(worker => matches(selector, worker.labels))
    .map(worker => worker.id);
  const found = new Set(ids);
  memory.eligible.set(entry.selectorKey, found);
  return found;
}
