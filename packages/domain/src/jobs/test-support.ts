/** Builders of jobs, workers and scheduling rounds for the tests of this folder. */
import { encodeRecord, decodeJournal } from './record-rows.js';
import type { JournalRecord } from './records.js';
import { newProgress, type Run, type Task } from './job.js';
import { applyInbox, applyJournal } from './fold.js';
import {
  emptyJobsState,
  findTask,
  refOf,
  workerRuns,
  type JobsState,
} from './jobs-state.js';
import { Interference } from './interference.js';
import { AdviceTickets } from './advice.js';
import type { PlanWorker } from './placement.js';
import type { PlanInput, StartDecision } from './plan.js';
import { createRunTimes } from './run-times.js';
import {
  DEFAULT_STEP,
  type JobSpec,
  type QueueTerms,
  type StepSpec,
} from './spec.js';

/** Terms of a queue that allows three attempts per task. */
export const TERMS: QueueTerms = {
  queue: 'q',
  service: 'main',
  priority: 0,
  maxAttempts: 3,
  deadlineFactor: 2,
  targetLatencyMs: 500,
};

/** Builds a job from partial steps. */
export function testJob(
  id: string,
  steps: readonly Partial<StepSpec>[],
  terms: Partial<QueueTerms> = {},
): JobSpec {
  return {
    id,
    payload: '',
    steps: steps.map(step => ({ ...DEFAULT_STEP, ...step })),
    repetition: undefined,
    terms: { ...TERMS, ...terms },
  };
}

/** Returns a state that has accepted `jobs`. */
export function stateOf(...jobs: JobSpec[]): JobsState {
  const state = emptyJobsState();
  for (const job of jobs) {
    applyInbox(state, { kind: 'submit', job, atWall: 0 });
  }
  return state;
}

/** Builds a worker with 4 cores and 8 GiB. */
export function testWorker(id: string, rack = 'r1', label = 'a'): PlanWorker {
  return {
    info: {
      id,
      address: id,
      service: 'main',
      availabilityZone: 'a',
      rack,
      labels: [label, rack],
      capacity: { cpuMilli: 4_000, memoryMiB: 8_000, accelerators: 0 },
      leaving: false,
    },
    trusted: true,
  };
}

/** Builds the input of a scheduling round at time 0. */
export function planInput(
  state: JobsState,
  workers: readonly PlanWorker[],
): PlanInput {
  return {
    state,
    workers,
    times: createRunTimes(),
    interference: new Interference(),
    movingTasks: [],
    advice: new AdviceTickets(),
    time: { now: 0, nowWall: 0 },
    leadsSince: -Infinity,
    maxStarts: 200,
    isLinkBusy: false,
    moveCosts: undefined,
  };
}

/** Applies a start as the leader does and returns the run. */
export function applyDecision(
  state: JobsState,
  { task, run, worker }: StartDecision,
): Run {
  applyRecord(state, { kind: 'start', task: refOf(task), run, worker });
  const found = task.runs.at(-1);
  if (found === undefined) {
    throw new Error('the start was not applied');
  }
  found.progress = newProgress(0);
  return found;
}

/** Encodes, decodes and applies a record of the journal. */
export function applyRecord(state: JobsState, record: JournalRecord): void {
  const decoded = decodeJournal(encodeRecord(record));
  if (decoded === undefined) {
    throw new Error(`not decoded: ${record.kind}`);
  }
  applyJournal(state, decoded);
}

/** Returns a task of the first occurrence by job, step and index. */
export function taskOf(
  state: JobsState,
  job: string,
  step: number,
  index: number,
): Task {
  const task = findTask(state, { job, occurrence: 0, step, index });
  if (task === undefined) {
    throw new Error('no such task');
  }
  return task;
}

/** Starts a task on a worker without planning. */
export function startOn(state: JobsState, task: Task, worker: string): Run {
  workerRuns(state, worker);
  return applyDecision(state, { task, run: task.lastRun + 1, worker });
}

/** Ends a run. */
export function endRun(
  state: JobsState,
  run: Run,
  how: Extract<JournalRecord, { kind: 'end' }>['how'],
  checkpoint = '',
): void {
  applyRecord(state, {
    kind: 'end',
    task: refOf(run.task),
    run: run.number,
    how,
    checkpoint,
  });
}
