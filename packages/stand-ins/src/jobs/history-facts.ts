/** What a history holds, and what all promises are judged by. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  taskName,
  type JobStatus,
  type RunEnd,
  type TaskRef,
  type TaskSize,
} from '@paddlewind/domain/jobs';

import type { FaultTimes } from './fault-times.js';

/** The promises, by name. */
export type GuaranteeName =
  | 'one_place_at_a_time'
  | 'finish_once'
  | 'steps_in_order'
  | 'attempts_bounded'
  | 'crashes_bounded'
  | 'nothing_after_cancel'
  | 'ends_after_cancel'
  | 'not_on_leaving'
  | 'within_room'
  | 'right_worker'
  | 'gang_together'
  | 'lasting_runs'
  | 'completed_when_done'
  | 'failed_when_spent'
  | 'cancelled_when_asked'
  | 'known_once_accepted'
  | 'length_counts';

/** A broken promise. */
export interface Violation {
  readonly guarantee: GuaranteeName;
  /** Name of the task, job, worker or queue. */
  readonly task: string;
  readonly detail: string;
}

/** What a step asked for, as far as promises depend on it. */
export interface PromisedStep {
  readonly tasks: number;
  readonly after: readonly number[];
  /** Whether copies of a task may run at the same time. */
  readonly speculative?: boolean;
  readonly lasting?: boolean;
  readonly gang?: boolean;
  /** Whether its processors are not counted against a worker's. */
  readonly filler?: boolean;
  readonly label?: string | undefined;
  readonly maxPerWorker?: number | undefined;
  /** Room is judged only where it is given. */
  readonly size?: TaskSize;
}

/** What a job asked for, and when it was accepted and cancelled. */
export interface PromisedJob {
  readonly steps: readonly PromisedStep[];
  readonly maxAttempts: number;
  /** When its acceptance was confirmed; without it, nothing is promised on what is told of the job. */
  acceptedAt?: Instant;
  /** When its cancellation was first asked for. */
  cancelRequestedAt?: Instant;
  /** When the cancellation was confirmed; infinite when there was none. */
  cancelledAt: Instant;
}

/** A run as its worker saw it. */
export interface RunTrace {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: string;
  readonly beganAt: Instant;
  endedAt: Instant;
  how: RunEnd | 'lost' | undefined;
  /** Lapses of the worker's lease when it ended. */
  lapsesAtEnd: number;
  /** When its end was acknowledged; infinite before. */
  notedAt: Instant;
  /** Whether its order was held up on the way; bounds on time don't hold for it. */
  readonly late: boolean;
  /** Whether it brought its worker down. */
  crashed: boolean;
}

/** One life of a worker. */
export interface WorkerTrace {
  readonly id: string;
  readonly capacity: TaskSize;
  /** Later capacities, and since when it has told them. */
  readonly resizes: { readonly at: Instant; readonly capacity: TaskSize }[];
  readonly labels: readonly string[];
  readonly joinedAt: Instant;
  /** When it announced that it leaves; infinite before. */
  leavingAt: Instant;
  goneAt: Instant;
}

/** What a host told of a job. */
export interface ShownState {
  readonly job: string;
  readonly askedAt: Instant;
  readonly at: Instant;
  readonly state: JobStatus | 'no_such_job';
}

/** What a host told of the length of the only queue. */
export interface ToldLength {
  readonly host: string;
  readonly askedAt: Instant;
  readonly at: Instant;
  readonly length: number;
}

/** All that was seen. */
export interface Facts {
  readonly jobs: ReadonlyMap<string, PromisedJob>;
  /** In the order in which they began. */
  readonly runs: readonly RunTrace[];
  readonly workers: ReadonlyMap<string, WorkerTrace>;
  readonly shown: readonly ShownState[];
  readonly lengths: readonly ToldLength[];
  /** Undefined where a test does not tell its faults: no time counts as calm then. */
  readonly faults: FaultTimes | undefined;
  /** How long a job that is over is remembered. */
  readonly statusMs: Millis;
  readonly now: Instant;
}

/** Returns the step of a task. */
export function stepOf(facts: Facts, task: TaskRef): PromisedStep | undefined {
  return facts.jobs.get(task.job)?.steps[task.step];
}

/** Returns when all tasks of a step had a run that ended as done; one such end stands for a gang. */
export function stepDoneAt(
  { jobs, runs }: Facts,
  id: string,
  occurrence: number,
  step: number,
): Instant {
  const first = new Map<number, Instant>();
  for (const { task, how, endedAt } of runs) {
    const isOf =
      task.job === id && task.occurrence === occurrence && task.step === step;
    if (isOf && how === 'done') {
      first.set(
        task.index,
        Math.min(endedAt, first.get(task.index) ?? Infinity),
      );
    }
  }
  const promised = jobs.get(id)?.steps[step];
  if (promised?.gang === true) {
    return Math.min(Infinity, ...first.values());
  }
  return first.size === (promised?.tasks ?? 0)
    ? Math.max(-Infinity, ...first.values())
    : Infinity;
}

/** Returns when all tasks of a job that runs once had ended as done. */
export function jobDoneAt(facts: Facts, id: string): Instant {
  const steps = facts.jobs.get(id)?.steps ?? [];
  const ends = steps.map((_, step) => stepDoneAt(facts, id, 0, step));
  return Math.max(-Infinity, ...ends);
}

/** Workers that a task may bring down before its job may be given up. */
const CRASHES_TO_BLAME = 2;

/** Returns when a task of the job had brought down so many workers that it may be given up. */
export function blamedAt({ runs }: Facts, id: string): Instant {
  const crashes = new Map<string, number>();
  const inOrder = runs
    .filter(({ task, crashed }) => task.job === id && crashed)
    .sort((a, b) => a.endedAt - b.endedAt);
  for (const { task, endedAt } of inOrder) {
    const name = taskName(task);
    const count = (crashes.get(name) ?? 0) + 1;
    crashes.set(name, count);
    if (count === CRASHES_TO_BLAME) {
      return endedAt;
    }
  }
  return Infinity;
}

/** Describes a broken promise by runs. */
export function violation(
  promise: GuaranteeName,
  task: string,
  runs: readonly RunTrace[],
  note = '',
): Violation {
  const detail = runs
    .map(
      ({ run, worker, beganAt, endedAt, how }) =>
        `run ${run} on ${worker} ${beganAt} to ${endedAt} ${how ?? 'open'}`,
    )
    .join('; ');
  return {
    guarantee: promise,
    task,
    detail: note === '' ? detail : `${note}: ${detail}`,
  };
}
