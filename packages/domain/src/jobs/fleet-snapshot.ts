/** Snapshot of a fleet: how its processors are used, and why tasks wait. */
import type { Millis } from '../core/time.js';
import type { Occurrence, Run, Step } from './job.js';
import { orderedCandidates, type Candidate } from './order.js';
import type { WorkerInfo } from './placement.js';
import type { PlanInput } from './plan.js';
import { sizeGroupsOf, type SizeGroup } from './size-groups.js';
import { expectedWorkOf } from './job-value.js';
import {
  explainWaits,
  type WaitingByReason,
  type WaitInput,
  type WaitReason,
} from './wait-reasons.js';

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

/** Waiting jobs of one size group. */
export interface WaitingJobs {
  readonly jobs: number;
  /** Number of them of which no task was ever started. */
  readonly notBegun: number;
  /** Time since the oldest of them was first seen, or was due. */
  readonly oldestMs: Millis;
  /** Why the last waiting task of the first one in scheduling order waits. */
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
export interface FleetSnapshotInput extends WaitInput {
  /** All registered workers. */
  readonly registered: readonly WorkerInfo[];
}

/** Most queues listed separately, so that the size of a snapshot is bounded. */
const MAX_QUEUES = 8;
/** Name under which the remaining queues are summed. */
export const OTHER_QUEUES = '(others)';

/** Returns a snapshot of the fleet. */
export function snapshotFleet(input: FleetSnapshotInput): FleetSnapshot {
  const { plan, registered } = input;
  const ordered = orderedCandidates(plan.state.openJobs, plan.times, plan.time);
  const waits = explainWaits(
    input,
    ordered.map(({ step }) => step),
  );
  return {
    workers: registered.length,
    usableWorkers: plan.workers.length,
    processors: countProcessors(input),
    waiting: countWaitingByReason(waits),
    sizes: groupWaitingBySize(plan, ordered, waits),
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
  waits: ReadonlyMap<Step, WaitingByReason>,
): Record<string, WaitingByReason> {
  const countsByQueue: Record<string, Partial<Record<WaitReason, number>>> = {};
  for (const [step, counts] of waits) {
    const { queue } = step.occurrence.job.spec.terms;
    const isListed =
      queue in countsByQueue || Object.keys(countsByQueue).length < MAX_QUEUES;
    const sums = (countsByQueue[isListed ? queue : OTHER_QUEUES] ??= {});
    for (const [reason, tasks] of reasonEntries(counts)) {
      sums[reason] = (sums[reason] ?? 0) + tasks;
    }
  }
  return countsByQueue;
}

function reasonEntries(counts: WaitingByReason): [WaitReason, number][] {
  return Object.entries(counts) as [WaitReason, number][];
}

function groupWaitingBySize(
  plan: PlanInput,
  ordered: readonly Candidate[],
  waits: ReadonlyMap<Step, WaitingByReason>,
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
      waitingBySizeOf(plan, [...jobs.values()], waits),
    ]),
  );
}

/** Groups jobs by size; `ordered` holds the first step of each job in scheduling order. */
function waitingBySizeOf(
  plan: PlanInput,
  ordered: readonly Candidate[],
  waits: ReadonlyMap<Step, WaitingByReason>,
): WaitingBySize {
  const groups = sizeGroupsOf(ordered, ({ step }) =>
    expectedWorkOf(step.occurrence, plan.times),
  );
  return Object.fromEntries(
    groups.map(([group, members]) => {
      const memberSet = new Set(members);
      const first = ordered.find(candidate => memberSet.has(candidate));
      const reason = lastReasonOf(first && waits.get(first.step));
      return [group, describeWaitingJobs(plan, members, reason)];
    }),
  );
}

function describeWaitingJobs(
  { time }: PlanInput,
  members: readonly Candidate[],
  reason: WaitReason,
): WaitingJobs {
  const oldest = Math.min(...members.map(({ since }) => since));
  return {
    jobs: members.length,
    notBegun: members.filter(({ started }) => !started).length,
    oldestMs: Math.round(time.now - oldest),
    reason,
  };
}

/** Returns why the last waiting task of a step waits; that of a task without a place comes last. */
function lastReasonOf(counts: WaitingByReason = {}): WaitReason {
  return reasonEntries(counts).at(-1)?.[0] ?? 'no_worker';
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
