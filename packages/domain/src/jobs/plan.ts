/** Decides which waiting tasks start where. */
import type { Instant, Millis } from '../core/time.js';
import type { AdviceTickets } from './advice.js';
import { isSuspect } from './suspect-tasks.js';
import { Booking } from './reservations.js';
import { placeGang } from './gang.js';
import type { Interference } from './interference.js';
import { isWaiting, type Run, type Step, type Task } from './job.js';
import { emptyRuns, workerRuns, type JobsState } from './jobs-state.js';
import type { PlanTime } from './objective.js';
import { orderedCandidates } from './order.js';
import {
  chooseWorker,
  couldHave,
  hasCapacity,
  refusalAt,
  type PlaceInput,
  type PlanWorker,
} from './placement.js';
import { Quarantine } from './quarantine.js';
import { RoomShares } from './size-class-shares.js';
import type { RunTimes } from './run-times.js';

/** A decision to start a task. */
export interface StartDecision {
  readonly task: Task;
  readonly run: number;
  readonly worker: string;
}

/** What a round of planning goes by. */
export interface PlanInput {
  readonly state: JobsState;
  readonly workers: readonly PlanWorker[];
  readonly times: RunTimes;
  readonly interference: Interference;
  readonly advice: AdviceTickets;
  readonly time: PlanTime;
  /** Monotonic time at which this leader took over: how long tasks had waited by then it may not know. */
  readonly leadsSince: Instant;
  /** Most starts that are decided in this round, but for those of tasks that move and of suspected ones. */
  readonly maxStarts: number;
  /** Whether starts wait for their turn on the link of this leader, not for room alone. */
  readonly isLinkBusy: boolean;
  /** Tasks that move off workers which leave: they are placed first, and room is kept for them until then. */
  readonly movingTasks: Iterable<Task>;
}

/** Applies a decision before the next one is made. */
export type ApplyStart = (decision: StartDecision) => void;

/**
 * Whether lasting tasks on a worker that leaves are given room ahead of all that waits, or behind tasks
 * that end and ahead of lasting ones.
 */
export type Urgency = 'urgent' | 'patient';

/** Keeps room for lasting tasks that have to leave their workers. */
export type KeepRoom = (urgency: Urgency) => void;

/**
 * Decides the starts of one round and returns their number. First of all lasting tasks begin again; then
 * `keepRoom` is called for urgent tasks, and before the first lasting one that waits for patient ones:
 * what waits would else take each place that comes free for as long as more of it comes.
 */
export function planStarts(
  input: PlanInput,
  apply: ApplyStart,
  keepRoom: KeepRoom = () => undefined,
): number {
  const { state, times, time } = input;
  const place = placeInputOf(input);
  const { quarantine } = place;
  const start: ApplyStart = decision => {
    apply(decision);
    quarantine.noteStart(decision.task, decision.worker);
  };
  const full = new Set<string>();
  let started = startFirst(place, input.movingTasks, start);
  started += startSuspects(place, start);
  const left = (): number => Math.max(0, input.maxStarts - started);
  started += startFirst(place, overdueLasting(input), start, left());
  keepForSuspects(place);
  keepRoom('urgent');
  const keepOnce = once(() => {
    keepRoom('patient');
  });
  const steps = orderedCandidates(state.open, times, time).map(
    ({ step }) => step,
  );
  keepShares(place, state, steps);
  for (const step of steps) {
    if (step.spec.lasting) {
      keepOnce();
    }
    const key = shapeOf(step);
    if (left() === 0) {
      break;
    }
    if (!full.has(key)) {
      const found = step.spec.gang
        ? startGang(place, step, start)
        : startTasks(place, step, start, left());
      started += found.started;
      if (found.full && step.spec.maxPerWorker === undefined) {
        full.add(key);
      }
    }
  }
  keepOnce();
  return started;
}

/** Starts suspected tasks; of those that are alike none is looked at once one has found no place. */
function startSuspects(place: PlaceInput, start: ApplyStart): number {
  const { quarantine } = place;
  const full = new Set<string>();
  let started = 0;
  for (const task of quarantine.waiting) {
    const { spec } = task.step;
    const key = `${shapeOf(task.step)}/${quarantine.hasIsolationWaitExpired(task)}`;
    if (spec.gang || full.has(key)) {
      continue;
    }
    const found = startFirst(place, [task], start);
    started += found;
    if (found === 0 && isWaiting(task) && spec.maxPerWorker === undefined) {
      full.add(key);
    }
  }
  return started;
}

/** Workers on which nothing begins are calm, and can have a suspected task, once what runs there is over. */
function keepForSuspects(place: PlaceInput): void {
  const { quarantine, workers } = place;
  if (quarantine.waiting.length > 0) {
    quarantine.reserveWorkers(workers.length, task =>
      workers
        .filter(
          worker =>
            refusalAt(place, worker, task) === undefined &&
            hasCapacity(worker.info, emptyRuns(), task.step.spec),
        )
        .map(({ info }) => info.id),
    );
  }
}

/** Tasks of one size must not take all room that comes free, since larger ones fit only where more does. */
function keepShares(
  place: PlaceInput,
  state: JobsState,
  waiting: readonly Step[],
): void {
  const { workers, loadOf, shares } = place;
  shares.keep(waiting, runsOf(state), {
    workers,
    loadOf,
    suits: (worker, load, task) => couldHave(place, worker, load, task),
  });
}

function* runsOf({ workers }: JobsState): Iterable<Run> {
  for (const { runs } of workers.values()) {
    yield* runs.values();
  }
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
 * Longest wait in milliseconds of a lasting task that has run before: tasks that end are placed first
 * and would take each place that comes free for as long as more of them come. Under load such tasks were
 * away for 11 to 40 s; their users allow 6 s, of which a start takes up to 2.
 */
const LASTING_WAIT_MS: Millis = 2_000;

/**
 * Lasting tasks that have run before and have waited for too long since, the longest first. While starts wait
 * for the link also those that never ran: tasks that end would take each turn on it for as long as more come.
 */
function overdueLasting({
  state,
  time,
  leadsSince,
  isLinkBusy,
}: PlanInput): Task[] {
  const overdueBefore = Math.max(time.now - LASTING_WAIT_MS, leadsSince);
  const found: { readonly task: Task; readonly since: Instant }[] = [];
  for (const { occurrences, seenAt = Infinity } of state.open) {
    for (const { steps } of occurrences.values()) {
      const lasting = steps.filter(({ spec }) => spec.lasting && !spec.gang);
      for (const task of lasting.flatMap(({ tasks }) => tasks)) {
        const isNew = isLinkBusy && task.lastRun === 0;
        const since = isNew ? seenAt : task.endedAt;
        if (isWaiting(task) && since < overdueBefore) {
          found.push({ task, since });
        }
      }
    }
  }
  return found.sort((a, b) => a.since - b.since).map(({ task }) => task);
}

function startFirst(
  place: PlaceInput,
  first: Iterable<Task>,
  start: ApplyStart,
  most = Infinity,
): number {
  let started = 0;
  for (const task of first) {
    if (started >= most) {
      break;
    }
    if (isWaiting(task)) {
      const worker = chooseWorker(place, task)?.info.id;
      if (worker !== undefined) {
        start({ task, run: task.lastRun + 1, worker });
        started += 1;
      }
    }
  }
  return started;
}

/** Returns the worker on which a task would start now. */
export function findWorker(
  input: PlanInput,
  task: Task,
): PlanWorker | undefined {
  return chooseWorker(placeInputOf(input), task);
}

interface Started {
  readonly started: number;
  /** Whether no worker had room for one more. */
  readonly full: boolean;
}

/** The room that is kept in a round, worked out once: it reads loads as they are at each choice. */
const bookings = new WeakMap<PlanInput, Booking>();

/** Returns what choices of workers go by in a round: what is kept for others is not theirs. */
export function placeInputOf(input: PlanInput): PlaceInput {
  return bookingOf(input).rest;
}

/**
 * Returns the room that is kept in a round, at first for tasks that are about to move. To find that room
 * takes each of them past all workers: with 40 of 624 workers leaving at once and 100 slowed fillers that
 * asked anew, a round took seconds and the leader lost its lead.
 */
export function bookingOf(input: PlanInput): Booking {
  const known = bookings.get(input);
  if (known !== undefined) {
    return known;
  }
  const found = newBooking(input);
  bookings.set(input, found);
  return found;
}

function newBooking(input: PlanInput): Booking {
  const { state, workers, interference, advice, time, leadsSince } = input;
  const booking = new Booking({
    workers,
    speeds: interference.speeds(),
    advice,
    quarantine: new Quarantine({ state, now: time.now, leadsSince }),
    shares: new RoomShares(),
    now: time.now,
    loadOf: worker => workerRuns(state, worker),
    spreadOf: ({ step }, worker) => step.openRunsByWorker.get(worker) ?? 0,
  });
  for (const task of input.movingTasks) {
    if (!isWaiting(task)) {
      booking.place(task);
    }
  }
  return booking;
}

/** Starts up to `most` of the tasks of a step. */
function startTasks(
  place: PlaceInput,
  step: Step,
  start: ApplyStart,
  most: number,
): Started {
  let started = 0;
  for (const task of step.tasks) {
    // Suspected tasks had their turn; that they find no place says nothing of others.
    if (!isWaiting(task) || isSuspect(task)) {
      continue;
    }
    if (started >= most) {
      break;
    }
    const worker = chooseWorker(place, task);
    if (worker === undefined) {
      return { started, full: true };
    }
    start({ task, run: task.lastRun + 1, worker: worker.info.id });
    started += 1;
  }
  return { started, full: false };
}

/** Starts all tasks of a gang under one run number, or none. */
function startGang(place: PlaceInput, step: Step, start: ApplyStart): Started {
  const { tasks } = step;
  const idle = tasks.every(task => isWaiting(task) && task.runs.length === 0);
  if (!idle) {
    return { started: 0, full: false };
  }
  const workers = placeGang(place, step);
  if (workers === undefined) {
    return { started: 0, full: false };
  }
  const run = 1 + Math.max(...tasks.map(({ lastRun }) => lastRun));
  tasks.forEach((task, at) => {
    start({ task, run, worker: workers[at] ?? '' });
  });
  return { started: tasks.length, full: false };
}

/** Steps of one shape fit or fail alike, but for limits of their own. */
function shapeOf({ spec, occurrence }: Step): string {
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
