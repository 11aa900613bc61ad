/** What the planner keeps between plans: the queue in order, claims on rooms, and what it learnt. */
import type { Resources } from '../../core/resources.js';
import type { Instant } from '../../core/time.js';
import type { PolicySpec } from '../../declarations/schemas.js';
import {
  matches,
  policyFor,
  type DEFAULT_POLICY,
} from '../../declarations/selector.js';
import type { TaskId } from '../ids.js';
import { isWaiting, type Job } from '../job.js';
import type { SchedulableWorker, TeamView } from '../view.js';

import type { LearnedSizes } from './learned-size.js';

/** The part of a policy that concerns scheduling. */
export type WorkPolicy = typeof DEFAULT_POLICY;

/** Ranks of priority, the most pressing first. */
export const RANKS = ['urgent', 'normal', 'low'] as const;
/** A rank of priority. */
export type Rank = (typeof RANKS)[number];

/** A waiting task's claim on a worker: what is freed there is kept until the task fits. */
export interface Claim {
  readonly task: TaskId;
  readonly worker: string;
  readonly size: Resources;
  readonly rank: Rank;
  /** Whether others were evicted for it; it then frees room within their grace. */
  readonly evicts: boolean;
  readonly sinceWall: Instant;
  /** When the attempts in the way are expected to have ended. */
  readonly expectedAtWall: Instant;
}

/** What was moved to a shard since its report at `atWall`. */
export interface MovedSince {
  readonly atWall: Instant;
  readonly amount: Resources;
}

/** A job with tasks that wait. */
export interface QueuedJob {
  readonly job: Job;
  readonly policy: WorkPolicy;
  /** Text of its selector of workers, as a key. */
  readonly selectorKey: string;
  /** Key of the work that may go to the same workers. */
  readonly kindKey: string;
  /** Version of the fleet at which some worker of the shard was found able to hold a task. */
  feasibleAt: number;
}

/** Waiting jobs of one rank by team, each in order of arrival. */
export type TeamQueues = Map<string, QueuedJob[]>;

/** The planner's memory of one shard. */
export interface PlannerMemory {
  /** Epoch of the owner that planned last. */
  epoch: number;
  readonly queued: Map<Job, QueuedJob>;
  readonly queues: Readonly<Record<Rank, TeamQueues>>;
  /** Waiting jobs that no worker of the shard can hold, until the fleet changes. */
  readonly parked: Set<Job>;
  /** Jobs with failures that the planner has yet to judge. */
  readonly suspects: Set<Job>;
  readonly policyOf: Map<Job, WorkPolicy>;
  policies: readonly PolicySpec[] | undefined;
  teams: {
    readonly source: readonly TeamView[];
    readonly byName: ReadonlyMap<string, TeamView>;
  };
  /** Workers as last seen, to notice changes. */
  fleet: readonly SchedulableWorker[];
  /** Raised when the workers or what they can hold change. */
  fleetVersion: number;
  /** Ids of workers by selector key. */
  readonly eligible: Map<string, ReadonlySet<string>>;
  readonly sizes: LearnedSizes;
  readonly claims: Map<TaskId, Claim>;
  /** Starts given to better ranks since the last of the rank, while it waited. */
  readonly passed: Record<Rank, number>;
  /** Starts of each rank. */
  readonly started: Record<Rank, number>;
  reportedAtWall: Instant;
  /** Reports of other shards that were answered with a loan, by team and shard. */
  readonly answered: Map<string, Instant>;
  /** What was moved to other shards since their latest reports. */
  readonly movedTo: Map<string, MovedSince>;
  /** Number of plans made. */
  plans: number;
}

/** Returns an empty memory. */
export function newPlannerMemory(): PlannerMemory {
  return {
    epoch: 0,
    queued: new Map(),
    queues: { urgent: new Map(), normal: new Map(), low: new Map() },
    parked: new Set(),
    suspects: new Set(),
    policyOf: new Map(),
    policies: undefined,
    teams: { source: [], byName: new Map() },
    fleet: [],
    fleetVersion: 0,
    eligible: new Map(),
    sizes: new Map(),
    claims: new Map(),
    passed: { urgent: 0, normal: 0, low: 0 },
    started: { urgent: 0, normal: 0, low: 0 },
    reportedAtWall: 0,
    answered: new Map(),
    movedTo: new Map(),
    plans: 0,
  };
}

/** Forgets what rests on decisions of an earlier epoch that may have been voided. */
export function forgetEpoch(memory: PlannerMemory, epoch: number): void {
  memory.epoch = epoch;
  memory.policies = undefined;
  memory.claims.clear();
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
    syncJob(memory, job, jobs.get(job.spec.name) === job);
  }
  touched.clear();
}

function syncJob(memory: PlannerMemory, job: Job, live: boolean): void {
  if (!live) {
    memory.policyOf.delete(job);
    memory.sizes.delete(job.spec.name);
  }
  if (live && job.failedOn.size > 0) {
    memory.suspects.add(job);
  } else {
    memory.suspects.delete(job);
  }
  if (live && isWaiting(job)) {
    enqueue(memory, job);
  } else {
    dequeue(memory, job);
    memory.parked.delete(job);
  }
}

function resetQueue(
  memory: PlannerMemory,
  policies: readonly PolicySpec[],
): void {
  memory.policies = policies;
  memory.queued.clear();
  memory.parked.clear();
  memory.policyOf.clear();
  RANKS.forEach(rank => {
    memory.queues[rank].clear();
  });
}

/** Returns the policy of a job's work. */
export function workPolicy(memory: PlannerMemory, job: Job): WorkPolicy {
  let policy = memory.policyOf.get(job);
  if (policy === undefined) {
    policy = policyFor(memory.policies ?? [], job.spec.labels);
    memory.policyOf.set(job, policy);
  }
  return policy;
}

function enqueue(memory: PlannerMemory, job: Job): void {
  if (memory.queued.has(job) || memory.parked.has(job)) {
    return;
  }
  const policy = workPolicy(memory, job);
  const selectorKey = JSON.stringify(job.spec.workers);
  const kindKey = `${policy.class} ${policy.priority} ${selectorKey}`;
  const entry = { job, policy, selectorKey, kindKey, feasibleAt: -1 };
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

/** Takes a job that no worker can hold out of the queue until the fleet changes. */
export function park(memory: PlannerMemory, job: Job): void {
  dequeue(memory, job);
  memory.parked.add(job);
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

/** Notes the workers of a view, and tries parked jobs again when they changed. */
export function syncFleet(
  memory: PlannerMemory,
  workers: readonly SchedulableWorker[],
): void {
  const same =
    memory.fleet.length === workers.length &&
    workers.every((worker, i) => isSameWorker(worker, memory.fleet[i]));
  memory.fleet = workers;
  if (same) {
    return;
  }
  memory.fleetVersion += 1;
  memory.eligible.clear();
  const parked = [...memory.parked];
  memory.parked.clear();
  parked.forEach(job => {
    enqueue(memory, job);
  });
}

function isSameWorker(
  a: SchedulableWorker,
  b: SchedulableWorker | undefined,
): boolean {
  return (
    b?.id === a.id &&
    sameEntries(a.capacity, b.capacity) &&
    sameEntries(a.reserved, b.reserved) &&
    sameEntries(a.labels, b.labels) &&
    (a.availability === 'leaving') === (b.availability === 'leaving')
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

/** Returns a team of the view by name; pass the same array while the teams are unchanged. */
export function teamView(
  memory: PlannerMemory,
  source: readonly TeamView[],
  name: string,
): TeamView | undefined {
  if (memory.teams.source !== source) {
    const byName = new Map(source.map(team => [team.name, team]));
    memory.teams = { source, byName };
  }
  return memory.teams.byName.get(name);
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
