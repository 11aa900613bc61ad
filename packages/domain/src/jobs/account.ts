/** Accounts for a fleet at one moment: who holds its processors, and why tasks wait. */
import type { Millis } from '../core/time.js';
import { waitingTasks, type Occurrence, type Run, type Step } from './job.js';
import { orderedCandidates, type Candidate } from './order.js';
import {
  chooseWorker,
  obstacleAt,
  OBSTACLES,
  type Obstacle,
  type PlaceInput,
  type WorkerInfo,
} from './placement.js';
import { placeInputOf, type PlanInput } from './plan.js';
import { sizeGroupsOf, type SizeGroup } from './size-groups.js';
import { expectedWorkOf } from './worth.js';

/**
 * Why a task waits: what the worker that came nearest to having it lacks; `disturbance`: it would be
 * slowed or disturb what serves wherever it fits; `turn`: there is room, and the next round may give it;
 * `no_worker`: none may be used; `unexamined`: more kinds of tasks wait than an account looks at.
 */
export type WaitReason =
  Obstacle | 'disturbance' | 'turn' | 'no_worker' | 'unexamined';

/** Thousandths of a core, summed over all workers. */
export interface ProcessorAccount {
  /** Of all registered workers. */
  registered: number;
  /** Of those among them that may be given tasks now. */
  usable: number;
  /** Promised to tasks that end, to lasting ones, and to fillers, by what they ask for. */
  plain: number;
  lasting: number;
  filler: number;
  /** In use by plain tasks and by fillers, as workers report it; what serves reports its tail instead. */
  plainInUse: number;
  fillerInUse: number;
  /** Withheld from fillers by limits on their speed. */
  throttled: number;
}

/** The waiting tasks of one queue by reason. */
export type Waiting = Readonly<Partial<Record<WaitReason, number>>>;

/** Jobs of one size that wait. */
export interface WaitingJobs {
  readonly jobs: number;
  /** Those among them of which no task was ever started. */
  readonly notBegun: number;
  /** Time since the oldest of them was first seen or was due. */
  readonly oldestMs: Millis;
  /** Why the first in turn waits. */
  readonly reason: WaitReason;
}

/** The waiting jobs of one queue by size. */
export type WaitingSizes = Readonly<Partial<Record<SizeGroup, WaitingJobs>>>;

/** An account of the fleet. */
export interface FleetAccount {
  readonly workers: number;
  readonly usableWorkers: number;
  readonly processors: Readonly<ProcessorAccount>;
  /** Tasks whose turn has come, by queue and reason; further queues are summed under `OTHER_QUEUES`. */
  readonly waiting: Readonly<Record<string, Waiting>>;
  /** Jobs of which tasks wait whose turn has come, of as many queues as are told apart. */
  readonly sizes: Readonly<Record<string, WaitingSizes>>;
}

/** What an account is made of: a round's input, and all workers that are registered. */
export interface AccountInput {
  readonly plan: PlanInput;
  readonly registered: readonly WorkerInfo[];
}

/** Kinds of waiting tasks that one account looks at, each against all workers: bounds its cost. */
const MAX_KINDS = 24;
/** Queues that an account tells apart: bounds its size. */
const MAX_QUEUES = 8;
/** Name under which further queues are summed. */
export const OTHER_QUEUES = '(others)';

/** Accounts for the fleet as it is now. */
export function accountFleet(input: AccountInput): FleetAccount {
  const { plan, registered } = input;
  const inTurn = orderedCandidates(plan.state.open, plan.times, plan.time);
  return {
    workers: registered.length,
    usableWorkers: plan.workers.length,
    processors: accountProcessors(input),
    waiting: accountWaiting(plan, inTurn),
    sizes: accountSizes(plan, inTurn),
  };
}

function accountProcessors({
  plan,
  registered,
}: AccountInput): ProcessorAccount {
  const found: ProcessorAccount = {
    ...noProcessors(),
    registered: sumOf(registered),
    usable: sumOf(plan.workers.map(({ info }) => info)),
  };
  for (const { runs } of plan.state.workers.values()) {
    for (const run of runs.values()) {
      addRun(found, run);
    }
  }
  return found;
}

function sumOf(workers: readonly WorkerInfo[]): number {
  return workers.reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0);
}

function addRun(found: ProcessorAccount, { task, progress }: Run): void {
  const { spec } = task.step;
  const { cpuMilli } = spec.size;
  if (spec.filler) {
    found.filler += cpuMilli;
    found.fillerInUse += progress?.reading ?? 0;
    found.throttled +=
      (cpuMilli * (100 - (progress?.allowedPercent ?? 100))) / 100;
  } else if (spec.lasting) {
    found.lasting += cpuMilli;
  } else {
    found.plain += cpuMilli;
    found.plainInUse += progress?.reading ?? 0;
  }
}

function accountWaiting(
  plan: PlanInput,
  inTurn: readonly Candidate[],
): Record<string, Waiting> {
  const place = placeInputOf(plan);
  const reasons = new Map<string, WaitReason>();
  const found: Record<string, Partial<Record<WaitReason, number>>> = {};
  for (const { step } of inTurn) {
    const { queue } = step.occurrence.job.spec.terms;
    const known = queue in found || Object.keys(found).length < MAX_QUEUES;
    const waiting = (found[known ? queue : OTHER_QUEUES] ??= {});
    const reason = reasonOf(place, step, reasons);
    waiting[reason] = (waiting[reason] ?? 0) + waitingTasks(step).length;
  }
  return found;
}

function accountSizes(
  plan: PlanInput,
  inTurn: readonly Candidate[],
): Record<string, WaitingSizes> {
  const queues = new Map<string, Map<Occurrence, Candidate>>();
  for (const candidate of inTurn) {
    const { occurrence } = candidate.step;
    const { queue } = occurrence.job.spec.terms;
    const known = queues.get(queue) ?? new Map<Occurrence, Candidate>();
    if (queues.size < MAX_QUEUES || queues.has(queue)) {
      queues.set(queue, known);
    }
    if (!known.has(occurrence)) {
      known.set(occurrence, candidate);
    }
  }
  return Object.fromEntries(
    [...queues].map(([queue, jobs]) => [
      queue,
      sizesOf(plan, [...jobs.values()]),
    ]),
  );
}

/** `inTurn` holds the first step of each job. */
function sizesOf(plan: PlanInput, inTurn: readonly Candidate[]): WaitingSizes {
  const groups = sizeGroupsOf(inTurn, ({ step }) =>
    expectedWorkOf(step.occurrence, plan.times),
  );
  return Object.fromEntries(
    groups.map(([group, members]) => {
      const own = new Set(members);
      const first = inTurn.find(candidate => own.has(candidate));
      return [group, waitingJobs(plan, members, first)];
    }),
  );
}

function waitingJobs(
  plan: PlanInput,
  members: readonly Candidate[],
  first: Candidate | undefined,
): WaitingJobs {
  const oldest = Math.min(...members.map(({ since }) => since));
  return {
    jobs: members.length,
    notBegun: members.filter(({ begun }) => !begun).length,
    oldestMs: Math.round(plan.time.now - oldest),
    reason:
      first === undefined
        ? 'no_worker'
        : decideReason(placeInputOf(plan), first.step),
  };
}

/** Steps of a queue that run alike wait for one reason, that of the first in turn. */
function reasonOf(
  place: PlaceInput,
  step: Step,
  reasons: Map<string, WaitReason>,
): WaitReason {
  const { queue } = step.occurrence.job.spec.terms;
  const { image, filler, label, lasting } = step.spec;
  const key = [queue, image, filler, label, lasting].join('/');
  const known = reasons.get(key);
  if (known !== undefined) {
    return known;
  }
  if (reasons.size >= MAX_KINDS) {
    return 'unexamined';
  }
  const reason = decideReason(place, step);
  reasons.set(key, reason);
  return reason;
}

function decideReason(place: PlaceInput, step: Step): WaitReason {
  const [task] = waitingTasks(step);
  if (task === undefined || chooseWorker(place, task) !== undefined) {
    return 'turn';
  }
  let furthest = -1;
  for (const worker of place.workers) {
    const obstacle = obstacleAt(place, worker, task);
    if (obstacle === undefined) {
      return 'disturbance';
    }
    furthest = Math.max(furthest, OBSTACLES.indexOf(obstacle));
  }
  return OBSTACLES[furthest] ?? 'no_worker';
}

/** The account of a host that does not lead. */
export const EMPTY_ACCOUNT: FleetAccount = {
  workers: 0,
  usableWorkers: 0,
  processors: noProcessors(),
  waiting: {},
  sizes: {},
};

function noProcessors(): ProcessorAccount {
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
