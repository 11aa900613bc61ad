/** Planning rounds: decide which waiting tasks start on which workers. */
import type { Instant, Millis } from '../core/time.js';
import type { AdviceTickets } from './advice.js';
import { isSuspect } from './suspect-tasks.js';
import { Reservations } from './reservations.js';
import { placeGang } from './gang.js';
import type { Interference } from './interference.js';
import { isWaiting, type Step, type Task } from './job.js';
import { emptyWorkerRuns, workerRuns, type JobsState } from './jobs-state.js';
import type { MoveCosts } from './move-costs.js';
import type { PlanTime } from './objective.js';
import { orderedCandidates } from './order.js';
import { chooseWorker, WorkerChooser } from './choose-worker.js';
import {
  couldRunLater,
  hasCapacity,
  staticObstacleAt,
  type PlacementInput,
  type PlanWorker,
} from './placement.js';
import { Quarantine } from './quarantine.js';
import { SizeClassShares } from './size-class-shares.js';
import type { RunTimes } from './run-times.js';
import { createVersionPreference } from './version-preference.js';
import type { NewestVersions } from './worker-versions.js';

/** A decision to start a task. */
export interface StartDecision {
  readonly task: Task;
  readonly run: number;
  readonly worker: string;
}

/** Input of a planning round. */
export interface PlanInput {
  readonly state: JobsState;
  readonly workers: readonly PlanWorker[];
  readonly times: RunTimes;
  readonly interference: Interference;
  readonly advice: AdviceTickets;
  readonly time: PlanTime;
  /** Monotonic time at which this leader took over; it may not know how long tasks had waited before that. */
  readonly leadsSince: Instant;
  /** Most starts decided in this round; those of moving and of suspected tasks count, but are not limited. */
  readonly maxStarts: number;
  /** Whether starts are delayed by the bandwidth of this leader's link, and not only by lack of capacity. */
  readonly isLinkBusy: boolean;
  /** Costs of moving a run; undefined where runs can't be moved quickly enough to follow changes of load. */
  readonly moveCosts: MoveCosts | undefined;
  /** Tasks that move off leaving workers: they start first, and capacity is reserved for them until then. */
  readonly movingTasks: Iterable<Task>;
  /** Newest worker versions of the services where a release is under way; undefined if there are none. */
  readonly newestVersions?: NewestVersions | undefined;
}

/** Applies a decision before the next one is made. */
export type ApplyStart = (decision: StartDecision) => void;

/**
 * When capacity is reserved for the long-running tasks of a leaving worker. `urgent`: before all waiting
 * tasks; `patient`: after waiting batch tasks (those that end by themselves) and before waiting long-running
 * ones.
 */
export type MoveUrgency = 'urgent' | 'patient';

/** Reserves capacity for long-running tasks on leaving workers. */
export type ReserveCapacity = (urgency: MoveUrgency) => void;

/**
 * Decides the starts of one round and returns their number. Moving tasks, suspected tasks and long-running
 * tasks that have waited for too long start first. Then `reserveCapacity` is called for urgent tasks, and
 * before the first waiting long-running task for patient ones. Otherwise a steady supply of waiting tasks
 * would take all capacity that becomes free.
 */
export function planStarts(
  input: PlanInput,
  apply: ApplyStart,
  reserveCapacity: ReserveCapacity = () => undefined,
): number {
  const { state, times, time } = input;
  const placement = placementInputOf(input);
  const { quarantine } = placement;
  const start: ApplyStart = decision => {
    apply(decision);
    quarantine.noteStart(decision.task, decision.worker);
  };
  const fullKeys = new Set<string>();
  let started = startInOrder(placement, input.movingTasks, start);
  started += startSuspectedTasks(placement, start);
  const startsLeft = (): number => Math.max(0, input.maxStarts - started);
  started += startInOrder(
    placement,
    overdueLongRunning(input),
    start,
    startsLeft(),
  );
  reserveForSuspects(placement);
  reserveCapacity('urgent');
  const reservePatientOnce = once(() => {
    reserveCapacity('patient');
  });
  const steps = orderedCandidates(state.openJobs, times, time).map(
    ({ step }) => step,
  );
  reserveForLargeTasks(placement, state, steps);
  for (const step of steps) {
    if (step.spec.lasting) {
      reservePatientOnce();
    }
    const key = placementKeyOf(step);
    if (startsLeft() === 0) {
      break;
    }
    if (!fullKeys.has(key)) {
      const result = step.spec.gang
        ? startGang(placement, step, start)
        : startTasks(placement, step, start, startsLeft());
      started += result.started;
      if (result.isFull && step.spec.maxPerWorker === undefined) {
        fullKeys.add(key);
      }
    }
  }
  reservePatientOnce();
  return started;
}

/** Starts suspected tasks; once one of them fits nowhere, similar ones are skipped. */
function startSuspectedTasks(
  placement: PlacementInput,
  start: ApplyStart,
): number {
  const { quarantine } = placement;
  const fullKeys = new Set<string>();
  let started = 0;
  for (const task of quarantine.waiting) {
    const { spec } = task.step;
    const key = `${placementKeyOf(task.step)}/${quarantine.hasIsolationWaitExpired(task)}`;
    if (spec.gang || fullKeys.has(key)) {
      continue;
    }
    const startedNow = startInOrder(placement, [task], start);
    started += startedNow;
    if (
      startedNow === 0 &&
      isWaiting(task) &&
      spec.maxPerWorker === undefined
    ) {
      fullKeys.add(key);
    }
  }
  return started;
}

/** Reserves workers for suspected tasks; nothing else starts there, so they are free once their runs end. */
function reserveForSuspects(placement: PlacementInput): void {
  const { quarantine, workers } = placement;
  if (quarantine.waiting.length > 0) {
    quarantine.reserveWorkers(workers.length, task =>
      workers
        .filter(
          worker =>
            staticObstacleAt(placement, worker, task) === undefined &&
            hasCapacity(worker.info, emptyWorkerRuns(), task.step.spec),
        )
        .map(({ info }) => info.id),
    );
  }
}

/** Reserves workers for large tasks, so that small ones do not take all capacity that becomes free. */
export function reserveForLargeTasks(
  placement: PlacementInput,
  state: JobsState,
  waitingSteps: readonly Step[],
): void {
  const { workers, loadOf, shares } = placement;
  shares.reserve(waitingSteps, state.openRunsByStep, {
    workers,
    loadOf,
    canRun: (worker, load, task) =>
      couldRunLater(placement, worker, load, task),
  });
}

function once(act: () => void): () => void {
  let done = false;
  return () => {
    if (!done) {
      done = true;
      act();
    }
  };
}

/**
 * Time after which a long-running task that has run before starts ahead of batch tasks, a steady supply of
 * which would otherwise take all capacity that becomes free. Under load such tasks were unavailable for 11 to
 * 40 s; their users allow 6 s, of which a start takes up to 2.
 */
const LONG_RUNNING_WAIT_MS: Millis = 2_000;

/**
 * Returns long-running tasks that have run before and have waited too long since, the longest wait first.
 * While the link is busy, those that never ran are included: a steady supply of batch tasks would otherwise
 * use all of its bandwidth.
 */
function overdueLongRunning({
  state,
  time,
  leadsSince,
  isLinkBusy,
}: PlanInput): Task[] {
  const overdueBefore = Math.max(time.now - LONG_RUNNING_WAIT_MS, leadsSince);
  const overdue: { readonly task: Task; readonly since: Instant }[] = [];
  for (const { occurrences, seenAt = Infinity } of state.openJobs) {
    for (const { steps } of occurrences.values()) {
      for (const { spec, tasks, waiting } of steps) {
        if (waiting === 0 || !spec.lasting || spec.gang) {
          continue;
        }
        for (const task of tasks) {
          const isNew = isLinkBusy && task.lastRun === 0;
          const since = isNew ? seenAt : task.endedAt;
          if (isWaiting(task) && since < overdueBefore) {
            overdue.push({ task, since });
          }
        }
      }
    }
  }
  return overdue.sort((a, b) => a.since - b.since).map(({ task }) => task);
}

function startInOrder(
  placement: PlacementInput,
  tasks: Iterable<Task>,
  start: ApplyStart,
  maxStarts = Infinity,
): number {
  const chooser = new WorkerChooser(placement);
  let started = 0;
  for (const task of tasks) {
    if (started >= maxStarts) {
      break;
    }
    if (isWaiting(task)) {
      const worker = chooser.choose(task)?.info.id;
      if (worker !== undefined) {
        start({ task, run: task.lastRun + 1, worker });
        chooser.noteStart(worker);
        started += 1;
      }
    }
  }
  return started;
}

/** Returns the worker on which a task would start now, or undefined if it fits nowhere. */
export function findWorker(
  input: PlanInput,
  task: Task,
): PlanWorker | undefined {
  return chooseWorker(placementInputOf(input), task);
}

interface StartResult {
  readonly started: number;
  /** Whether no worker had capacity for one more. */
  readonly isFull: boolean;
}

/** Reservations by round, created once each; they read the current loads at each choice. */
const reservationsByRound = new WeakMap<PlanInput, Reservations>();

/** Returns the input for choosing workers in a round, which excludes reserved capacity. */
export function placementInputOf(input: PlanInput): PlacementInput {
  return reservationsOf(input).remaining;
}

/**
 * Returns the reservations of a round, initially those for tasks that are about to move. They are created
 * once a round, since each one compares all workers: with 40 of 624 workers leaving at once, and 100 slowed
 * fillers that each recreated them, a round took seconds and the leader lost its leadership.
 */
export function reservationsOf(input: PlanInput): Reservations {
  const cached = reservationsByRound.get(input);
  if (cached !== undefined) {
    return cached;
  }
  const found = createReservations(input);
  reservationsByRound.set(input, found);
  return found;
}

function createReservations(input: PlanInput): Reservations {
  const { state, workers, interference, advice, time, leadsSince } = input;
  const { newestVersions, times, moveCosts } = input;
  const expectedMsOf = moveCosts && ((step: Step) => times.expectedMs(step));
  const reservations = new Reservations({
    workers,
    speeds: interference.speeds(expectedMsOf),
    advice,
    quarantine: new Quarantine({ state, now: time.now, leadsSince }),
    shares: new SizeClassShares(),
    now: time.now,
    loadOf: worker => workerRuns(state, worker),
    stepRunsOn: ({ step }, worker) => step.openRunsByWorker.get(worker) ?? 0,
    preferredVersionOf: createVersionPreference(newestVersions, times),
  });
  for (const task of input.movingTasks) {
    if (!isWaiting(task)) {
      reservations.reserve(task);
    }
  }
  return reservations;
}

/** Starts waiting tasks of a step, at most `maxStarts`. */
function startTasks(
  placement: PlacementInput,
  step: Step,
  start: ApplyStart,
  maxStarts: number,
): StartResult {
  const chooser = new WorkerChooser(placement);
  let started = 0;
  for (const task of step.tasks) {
    // Suspected tasks were handled before; that they fit nowhere does not mean that others do not fit.
    if (!isWaiting(task) || isSuspect(task)) {
      continue;
    }
    if (started >= maxStarts) {
      break;
    }
    const worker = chooser.choose(task)?.info.id;
    if (worker === undefined) {
      return { started, isFull: true };
    }
    start({ task, run: task.lastRun + 1, worker });
    chooser.noteStart(worker);
    started += 1;
  }
  return { started, isFull: false };
}

/** Starts all tasks of a gang under one run number, or none. */
function startGang(
  placement: PlacementInput,
  step: Step,
  start: ApplyStart,
): StartResult {
  const { tasks } = step;
  const areIdle = tasks.every(
    task => isWaiting(task) && task.runs.length === 0,
  );
  if (!areIdle) {
    return { started: 0, isFull: false };
  }
  const workers = placeGang(placement, step);
  if (workers === undefined) {
    return { started: 0, isFull: false };
  }
  const run = 1 + Math.max(...tasks.map(({ lastRun }) => lastRun));
  tasks.forEach((task, at) => {
    start({ task, run, worker: workers[at] ?? '' });
  });
  return { started: tasks.length, isFull: false };
}

/** Returns a key that is equal for steps that fit on the same workers, apart from limits per worker. */
function placementKeyOf({ spec, occurrence }: Step): string {
  const { terms, id } = occurrence.job.spec;
  const { size, filler, label, image } = spec;
  return [
    terms.service,
    terms.advice === undefined ? '' : id,
    size.cpuMilli,
    size.memoryMiB,
    size.accelerators,
    filler,
    label,
    image,
  ].join('/');
}
