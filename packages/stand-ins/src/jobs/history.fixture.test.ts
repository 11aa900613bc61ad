/** Builder of histories for the tests of the guarantee checks. */
import type { Instant } from '@paddlewind/domain';
import type { RunEnd, TaskRef } from '@paddlewind/domain/jobs';

import { FaultTimes } from './fault-times.js';
import type {
  GuaranteeName,
  SubmittedJob,
  SubmittedStep,
} from './history-facts.js';
import { JobHistory } from './job-history.js';

/** Id of the only job, unless a test adds others. */
export const JOB = 'a';
/** Size of a task with one core. */
export const SIZE = { cpuMilli: 1_000, memoryMiB: 1_000, accelerators: 0 };

/** Returns the reference of a task of the only job. */
export function task(index = 0, step = 0): TaskRef {
  return { job: JOB, occurrence: 0, step, index };
}

/** A history whose clock is set by the test. */
export class Scenario {
  now: Instant = 0;
  readonly history = new JobHistory(() => this.now);
  readonly faults = new FaultTimes();

  /** Creates a fault-free history of one job, accepted at 0, and two workers that hold two tasks each. */
  constructor(steps: SubmittedStep[], more: Partial<SubmittedJob> = {}) {
    this.history.faults = this.faults;
    this.history.jobs.set(JOB, {
      steps,
      maxAttempts: 2,
      acceptedAt: 0,
      cancelledAt: Infinity,
      ...more,
    });
    this.addWorker('w1');
    this.addWorker('w2');
  }

  /** Adds a worker with capacity for two tasks. */
  addWorker(
    id: string,
    labels: readonly string[] = [],
    availabilityZone = 'a',
  ): void {
    const capacity = { ...SIZE, cpuMilli: 2_000, memoryMiB: 2_000 };
    this.history.recordWorkerStart({ id, capacity, labels, availabilityZone });
  }

  /** Records the start of a run. */
  startRun(at: Instant, ref: TaskRef, run: number, worker = 'w1'): void {
    this.now = at;
    this.history.recordRunStart({ task: ref, run }, worker);
  }

  /** Records the start of a run whose order was delayed. */
  startDelayedRun(at: Instant, ref: TaskRef, run: number, worker = 'w1'): void {
    this.now = at;
    this.history.runDelayed(() => {
      this.history.recordRunStart({ task: ref, run }, worker);
    });
  }

  /** Records the end of a run and its acknowledgment. */
  endRun(at: Instant, ref: TaskRef, run: number, how: RunEnd, on = 'w1'): void {
    this.endRunUnacknowledged(at, ref, run, how, on);
    this.history.recordAcknowledgment({ task: ref, run }, on, 0);
  }

  /** Records the end of a run without an acknowledgment. */
  endRunUnacknowledged(
    at: Instant,
    ref: TaskRef,
    run: number,
    how: RunEnd,
    on = 'w1',
  ): void {
    this.now = at;
    this.history.recordRunEnd({ task: ref, run }, on, how, 0);
  }

  /** Records a run that crashes its worker. */
  crashWorker(at: Instant, ref: TaskRef, run: number, on = 'w1'): void {
    this.now = at;
    this.history.recordWorkerCrash({ task: ref, run }, on);
    this.history.recordRunLoss({ task: ref, run }, on);
  }

  /** Returns the distinct names of the guarantees that are violated at `at`. */
  violatedGuarantees(at: Instant = this.now): GuaranteeName[] {
    this.now = at;
    const found = this.history.check().map(({ guarantee }) => guarantee);
    return [...new Set(found)];
  }
}
