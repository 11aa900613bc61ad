/** Data of a recorded history, and helpers shared by all guarantee checks. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  taskName,
  type JobStatus,
  type RunEnd,
  type TaskRef,
  type TaskSize,
} from '@paddlewind/domain/jobs';

import type { FaultTimes } from './fault-times.js';

/** Names of the guarantees. */
export type GuaranteeName =
  | 'one_place_at_a_time'
  | 'finish_once'
  | 'steps_in_order'
  | 'attempts_bounded'
  | 'crashes_bounded'
  | 'nothing_after_cancel'
  | 'ends_after_cancel'
  | 'not_on_leaving'
  | 'not_in_evacuated'
  | 'within_room'
  | 'right_worker'
  | 'gang_together'
  | 'lasting_runs'
  | 'completed_when_done'
  | 'failed_when_spent'
  | 'cancelled_when_asked'
  | 'known_once_accepted'
  | 'length_counts';

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: GuaranteeName;
  /** Name of the task, job, worker or queue. */
  readonly task: string;
  readonly detail: string;
}

/** Specification of a step, as far as guarantees depend on it. */
export interface SubmittedStep {
  readonly tasks: number;
  readonly after: readonly number[];
  /** Whether speculative copies of a task may run at the same time. */
  readonly speculative?: boolean;
  readonly lasting?: boolean;
  readonly gang?: boolean;
  /** Whether its tasks are best-effort fillers, whose CPU is not counted against the worker's capacity. */
  readonly filler?: boolean;
  readonly label?: string | undefined;
  readonly maxPerWorker?: number | undefined;
  /** Size of a task; capacity is checked only if it is given. */
  readonly size?: TaskSize;
}

/** Specification of a job, with the times of its acceptance and cancellation. */
export interface SubmittedJob {
  readonly steps: readonly SubmittedStep[];
  readonly maxAttempts: number;
  /** When the acceptance was confirmed; if undefined, nothing is guaranteed about reports on the job. */
  acceptedAt?: Instant;
  /** When the cancellation was first requested. */
  cancelRequestedAt?: Instant;
  /** When the cancellation was confirmed; infinite if there was none. */
  cancelledAt: Instant;
}

/** A run, as observed at its worker. */
export interface RunTrace {
  readonly task: TaskRef;
  readonly run: number;
  readonly worker: string;
  readonly startedAt: Instant;
  endedAt: Instant;
  how: RunEnd | 'lost' | undefined;
  /** Number of expiries of the worker's lease until the run ended. */
  leaseExpiriesAtEnd: number;
  /** When the end was acknowledged; infinite before. */
  acknowledgedAt: Instant;
  /** Whether the start order was delayed by the network; time limits don't apply to it. */
  readonly delayed: boolean;
  /** Whether the run crashed its worker. */
  crashedWorker: boolean;
}

/** One incarnation of a worker. */
export interface WorkerTrace {
  readonly id: string;
  readonly capacity: TaskSize;
  /** Later capacities, with the time from which the worker reported them. */
  readonly resizes: { readonly at: Instant; readonly capacity: TaskSize }[];
  readonly labels: readonly string[];
  readonly availabilityZone: string;
  readonly joinedAt: Instant;
  /** When the worker announced that it is leaving; infinite before. */
  leavingAt: Instant;
  endedAt: Instant;
}

/** An evacuation of a zone. */
export interface EvacuationTrace {
  readonly availabilityZone: string;
  readonly from: Instant;
  /** When it was taken back; infinite before. */
  until: Instant;
}

/** State of a job that a host reported to a caller. */
export interface StatusReport {
  readonly job: string;
  readonly requestedAt: Instant;
  readonly at: Instant;
  readonly state: JobStatus | 'no_such_job';
}

/** Length of the only queue that a host reported to a caller. */
export interface QueueLengthReport {
  readonly host: string;
  readonly requestedAt: Instant;
  readonly at: Instant;
  readonly length: number;
}

/** The recorded events, as input of the checks. */
export interface HistoryFacts {
  readonly jobs: ReadonlyMap<string, SubmittedJob>;
  /** In the order of their starts. */
  readonly runs: readonly RunTrace[];
  readonly workers: ReadonlyMap<string, WorkerTrace>;
  readonly evacuations: readonly EvacuationTrace[];
  readonly statusReports: readonly StatusReport[];
  readonly queueLengthReports: readonly QueueLengthReport[];
  /** Undefined if the test does not record its faults; no period counts as fault-free then. */
  readonly faults: FaultTimes | undefined;
  /** How long the status of a finished job is kept. */
  readonly statusMs: Millis;
  readonly now: Instant;
}

/** Returns the step of a task. */
export function stepOf(
  facts: HistoryFacts,
  task: TaskRef,
): SubmittedStep | undefined {
  return facts.jobs.get(task.job)?.steps[task.step];
}

/** Returns when all tasks of a step, or one member of a gang, had a run that ended as done. */
export function stepDoneAt(
  { jobs, runs }: HistoryFacts,
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
  const submitted = jobs.get(id)?.steps[step];
  if (submitted?.gang === true) {
    return Math.min(Infinity, ...first.values());
  }
  return first.size === (submitted?.tasks ?? 0)
    ? Math.max(-Infinity, ...first.values())
    : Infinity;
}

/** Returns when all tasks of a job without repetitions had ended as done. */
export function jobDoneAt(facts: HistoryFacts, id: string): Instant {
  const steps = facts.jobs.get(id)?.steps ?? [];
  const ends = steps.map((_, step) => stepDoneAt(facts, id, 0, step));
  return Math.max(-Infinity, ...ends);
}

/** Number of workers a task has to crash before its job may be abandoned. */
const CRASHES_TO_ABANDON = 2;

/** Returns when a task of the job had crashed so many workers that the job may be abandoned. */
export function abandonableAt({ runs }: HistoryFacts, id: string): Instant {
  const crashes = new Map<string, number>();
  const inOrder = runs
    .filter(({ task, crashedWorker }) => task.job === id && crashedWorker)
    .sort((a, b) => a.endedAt - b.endedAt);
  for (const { task, endedAt } of inOrder) {
    const name = taskName(task);
    const count = (crashes.get(name) ?? 0) + 1;
    crashes.set(name, count);
    if (count === CRASHES_TO_ABANDON) {
      return endedAt;
    }
  }
  return Infinity;
}

/** Creates a violation that lists the given runs. */
export function violation(
  guarantee: GuaranteeName,
  task: string,
  runs: readonly RunTrace[],
  note = '',
): Violation {
  const detail = runs
    .map(
      ({ run, worker, startedAt, endedAt, how }) =>
        `run ${run} on ${worker} ${startedAt} to ${endedAt} ${how ?? 'open'}`,
    )
    .join('; ');
  return {
    guarantee,
    task,
    detail: note === '' ? detail : `${note}: ${detail}`,
  };
}
