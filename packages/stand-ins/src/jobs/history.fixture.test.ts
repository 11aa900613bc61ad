/** A history that a test writes by hand. */
import type { Instant } from '@paddlewind/domain';
import type { RunEnd, TaskRef } from '@paddlewind/domain/jobs';

import { FaultTimes } from './fault-times.js';
import type {
  PromisedJob,
  PromisedStep,
  GuaranteeName,
} from './history-facts.js';
import { JobHistory } from './job-history.js';

/** The only job, unless a test adds others. */
export const JOB = 'a';
/** A task of one core. */
export const SIZE = { cpuMilli: 1_000, memoryMiB: 1_000, accelerators: 0 };

/** The only job's task, by index and step. */
export function task(index = 0, step = 0): TaskRef {
  return { job: JOB, occurrence: 0, step, index };
}

/** A history under a clock that the test sets. */
export class Story {
  now: Instant = 0;
  readonly history = new JobHistory(() => this.now);
  readonly faults = new FaultTimes();

  /** Creates a calm history of one job, accepted at 0, and of workers with room for two of its tasks. */
  constructor(steps: PromisedStep[], more: Partial<PromisedJob> = {}) {
    this.history.faults = this.faults;
    this.history.jobs.set(JOB, {
      steps,
      maxAttempts: 2,
      acceptedAt: 0,
      cancelledAt: Infinity,
      ...more,
    });
    this.join('w1');
    this.join('w2');
  }

  /** Adds a worker with room for two tasks. */
  join(id: string, labels: readonly string[] = []): void {
    const capacity = { ...SIZE, cpuMilli: 2_000, memoryMiB: 2_000 };
    this.history.joined({ id, capacity, labels });
  }

  /** A run begins. */
  begin(at: Instant, ref: TaskRef, run: number, worker = 'w1'): void {
    this.now = at;
    this.history.began({ task: ref, run }, worker);
  }

  /** A run begins on an order that was held up. */
  beginLate(at: Instant, ref: TaskRef, run: number, worker = 'w1'): void {
    this.now = at;
    this.history.heldUp(() => {
      this.history.began({ task: ref, run }, worker);
    });
  }

  /** A run ends, which is acknowledged at once. */
  end(at: Instant, ref: TaskRef, run: number, how: RunEnd, on = 'w1'): void {
    this.endUnnoted(at, ref, run, how, on);
    this.history.noted({ task: ref, run }, on, 0);
  }

  /** A run ends, which is not acknowledged. */
  endUnnoted(
    at: Instant,
    ref: TaskRef,
    run: number,
    how: RunEnd,
    on = 'w1',
  ): void {
    this.now = at;
    this.history.ended({ task: ref, run }, on, how, 0);
  }

  /** A run brings its worker down. */
  crash(at: Instant, ref: TaskRef, run: number, on = 'w1'): void {
    this.now = at;
    this.history.broughtDown({ task: ref, run }, on);
    this.history.lost({ task: ref, run }, on);
  }

  /** The names of the promises that are broken at `at`, each once. */
  broken(at: Instant = this.now): GuaranteeName[] {
    this.now = at;
    const found = this.history.check().map(({ guarantee: promise }) => promise);
    return [...new Set(found)];
  }
}
