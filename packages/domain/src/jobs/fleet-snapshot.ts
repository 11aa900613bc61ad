/** Snapshot of a fleet: how its processors are used, and why tasks wait. */
import type { Millis } from '../core/time.js';
import { waitingTasks, type Occurrence, type Run, type Step } from './job.js';
import { orderedCandidates, type Candidate } from './order.js';
import { chooseWorker } from './choose-worker.js';
import {
  obstacleAt,
  OBSTACLES,
  type Obstacle,
  type PlanWorker,
  type WorkerInfo,
} from './placement.js';
import { placementInputOf, type PlanInput } from './plan.js';
import { sizeGroupsOf, type SizeGroup } from './size-groups.js';
import { expectedWorkOf } from './job-value.js';

/**
 * Why a task waits. An obstacle: what the task lacks on the worker that passed the most checks of
 * `OBSTACLES`; `evacuated`: it would have a place if no zone were evacuated; `disturbance`: wherever it fits it would be slowed or would disturb a serving task; `turn`:
 * there is free capacity, and the next round may start it; `no_worker`: no worker is usable; `unexamined`:
 * more kinds of tasks wait than one snapshot examines.
 */
export type WaitReason =
  Obstacle | 'evacuated' | 'disturbance' | 'turn' | 'no_worker' | 'unexamined';

/** Processor use of all workers, in thousandths of a core. */
export interface ProcessorUsage {
  /** Capacity of all registered workers. */
  registered: number;
  /** Capacity of the workers that may be given tasks now. */
  usable: number;
  /** Requested by the runs of batch tasks, of long-running tasks and of best-effort fillers. */
  plain: number;
  lasting: number;
  filler: number;
  /** Reported use by batch tasks and by fillers; serving tasks report their tail latency instead. */
  plainInUse: number;
  fillerInUse: number;
  /** Withheld from fillers by their speed limits. */
  throttled: number;
}

/** Number of waiting tasks of one queue, by reason. */
export type WaitingByReason = Readonly<Partial<Record<WaitReason, number>>>;

/** Waiting jobs of one size group. */
export interface WaitingJobs {
  readonly jobs: number;
  /** Number of them of which no task was ever started. */
  readonly notBegun: number;
  /** Time since the oldest of them was first seen, or was due. */
  readonly oldestMs: Millis;
  /** Why the first one in scheduling order waits. */
  readonly reason: WaitReason;
}

/** The waiting jobs of one queue, by size group. */
export type WaitingBySize = Readonly<Partial<Record<SizeGroup, WaitingJobs>>>;

/** Snapshot of the use of a fleet. */
export interface FleetSnapshot {
  readonly workers: number;
  readonly usableWorkers: number;
  readonly processors: Readonly<ProcessorUsage>;
  /** Ready tasks that wait, by queue and reason; queues beyond the limit are summed under `OTHER_QUEUES`. */
  readonly waiting: Readonly<Record<string, WaitingByReason>>;
  /** Jobs with tasks that are ready but wait, by queue; queues beyond the limit are left out. */
  readonly sizes: Readonly<Record<string, WaitingBySize>>;
}

/** Input of a snapshot: that of a planning round, and workers that are not available to it. */
export interface FleetSnapshotInput {
  readonly plan: PlanInput;
  /** All registered workers. */
  readonly registered: readonly WorkerInfo[];
  /** Workers that could be assigned tasks if their zones were not evacuated. */
  readonly evacuated: readonly PlanWorker[];
}

/** Most kinds of waiting tasks examined per snapshot; each is checked against all workers. */
const MAX_TASK_KINDS = 24;
/** Most queues listed separately, so that the size of a snapshot is bounded. */
const MAX_QUEUES = 8;
/** Name under which the remaining queues are summed. */
export const OTHER_QUEUES = '(others)';

/** Returns a snapshot of the fleet. */
export function snapshotFleet(input: FleetSnapshotInput): FleetSnapshot {
  const { plan, registered } = input;
  const ordered = orderedCandidates(plan.state.openJobs, plan.times, plan.time);
  return {
    workers: registered.length,
    usableWorkers: plan.workers.length,
    processors: countProcessors(input),
    waiting: countWaitingByReason(input, ordered),
    sizes: groupWaitingBySize(input, ordered),
  };
}

function countProcessors({
  plan,
  registered,
}: FleetSnapshotInput): ProcessorUsage {
  const totals: ProcessorUsage = {
    ...emptyProcessorUsage(),
    registered: totalCpuMilli(registered),
    usable: totalCpuMilli(plan.workers.map(({ info }) => info)),
  };
  for (const { runs } of plan.state.workers.values()) {
    for (const run of runs.values()) {
      addRun(totals, run);
    }
  }
  return totals;
}

function totalCpuMilli(workers: readonly WorkerInfo[]): number {
  return workers.reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0);
}

function addRun(totals: ProcessorUsage, { task, progress }: Run): void {
  const { spec } = task.step;
  const { cpuMilli } = spec.size;
  if (spec.filler) {
    totals.filler += cpuMilli;
    totals.fillerInUse += progress?.reading ?? 0;
    totals.throttled +=
      (cpuMilli * (100 - (progress?.allowedPercent ?? 100))) / 100;
  } else if (spec.lasting) {
    totals.lasting += cpuMilli;
  } else {
    totals.plain += cpuMilli;
    totals.plainInUse += progress?.reading ?? 0;
  }
}

function countWaitingByReason(
  input: FleetSnapshotInput,
  ordered: readonly Candidate[],
): Record<string, WaitingByReason> {
  const reasons = new Map<string, WaitReason>();
  const countsByQueue: Record<string, Partial<Record<WaitReason, number>>> = {};
  for (const { step } of ordered) {
    const { queue } = step.occurrence.job.spec.terms;
    const isListed =
      queue in countsByQueue || Object.keys(countsByQueue).length < MAX_QUEUES;
    const counts = (countsByQueue[isListed ? queue : OTHER_QUEUES] ??= {});
    const reason = cachedReasonOf(input, step, reasons);
    counts[reason] = (counts[reason] ?? 0) + waitingTasks(step).length;
  }
  return countsByQueue;
}

function groupWaitingBySize(
  input: FleetSnapshotInput,
  ordered: readonly Candidate[],
): Record<string, WaitingBySize> {
  const queues = new Map<string, Map<Occurrence, Candidate>>();
  for (const candidate of ordered) {
    const { occurrence } = candidate.step;
    const { queue } = occurrence.job.spec.terms;
    const jobsOfQueue = queues.get(queue) ?? new Map<Occurrence, Candidate>();
    if (queues.size < MAX_QUEUES || queues.has(queue)) {
      queues.set(queue, jobsOfQueue);
    }
    if (!jobsOfQueue.has(occurrence)) {
      jobsOfQueue.set(occurrence, candidate);
    }
  }
  return Object.fromEntries(
    [...queues].map(([queue, jobs]) => [
      queue,
      waitingBySizeOf(input, [...jobs.values()]),
    ]),
  );
}

/** Groups jobs by size; `ordered` holds the first step of each job in scheduling order. */
function waitingBySizeOf(
  input: FleetSnapshotInput,
  ordered: readonly Candidate[],
): WaitingBySize {
  const groups = sizeGroupsOf(ordered, ({ step }) =>
    expectedWorkOf(step.occurrence, input.plan.times),
  );
  return Object.fromEntries(
    groups.map(([group, members]) => {
      const memberSet = new Set(members);
      const first = ordered.find(candidate => memberSet.has(candidate));
      return [group, describeWaitingJobs(input, members, first)];
    }),
  );
}

function describeWaitingJobs(
  input: FleetSnapshotInput,
  members: readonly Candidate[],
  first: Candidate | undefined,
): WaitingJobs {
  const oldest = Math.min(...members.map(({ since }) => since));
  return {
    jobs: members.length,
    notBegun: members.filter(({ started }) => !started).length,
    oldestMs: Math.round(input.plan.time.now - oldest),
    reason: first === undefined ? 'no_worker' : decideReason(input, first.step),
  };
}

/** Similar steps of a queue share the reason of the first one, so that it is worked out once. */
function cachedReasonOf(
  input: FleetSnapshotInput,
  step: Step,
  reasons: Map<string, WaitReason>,
): WaitReason {
  const { queue } = step.occurrence.job.spec.terms;
  const { image, filler, label, lasting } = step.spec;
  const key = [queue, image, filler, label, lasting].join('/');
  const cached = reasons.get(key);
  if (cached !== undefined) {
    return cached;
  }
  if (reasons.size >= MAX_TASK_KINDS) {
    return 'unexamined';
  }
  const reason = decideReason(input, step);
  reasons.set(key, reason);
  return reason;
}

function decideReason(
  { plan, evacuated }: FleetSnapshotInput,
  step: Step,
): WaitReason {
  const placement = placementInputOf(plan);
  const [task] = waitingTasks(step);
  if (task === undefined || chooseWorker(placement, task) !== undefined) {
    return 'turn';
  }
  const hasPlace = (worker: PlanWorker): boolean =>
    obstacleAt(placement, worker, task) === undefined;
  if (evacuated.some(hasPlace)) {
    return 'evacuated';
  }
  let furthest = -1;
  for (const worker of placement.workers) {
    const obstacle = obstacleAt(placement, worker, task);
    if (obstacle === undefined) {
      return 'disturbance';
    }
    furthest = Math.max(furthest, OBSTACLES.indexOf(obstacle));
  }
  return OBSTACLES[furthest] ?? 'no_worker';
}

/** Snapshot of a host that is not the leader. */
export const EMPTY_FLEET_SNAPSHOT: FleetSnapshot = {
  workers: 0,
  usableWorkers: 0,
  processors: emptyProcessorUsage(),
  waiting: {},
  sizes: {},
};

function emptyProcessorUsage(): ProcessorUsage {
  return {
    registered: 0,
    usable: 0,
    plain: 0,
    lasting: 0,
    filler: 0,
    plainInUse: 0,
    fillerInUse: 0,
    throttled: 0,
  };
}
