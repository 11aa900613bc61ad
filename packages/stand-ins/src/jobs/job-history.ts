/** What workers saw of each run, and whether the promises of the product were kept. */
import type { Instant } from '@paddlewind/domain';
import {
  runKey,
  taskName,
  type RunEnd,
  type TaskRef,
} from '@paddlewind/domain/jobs';

/** A broken promise. */
export interface Violation {
  readonly promise:
    | 'one_place_at_a_time'
    | 'finish_once'
    | 'steps_in_order'
    | 'attempts_bounded'
    | 'nothing_after_cancel';
  readonly task: string;
  readonly detail: string;
}

interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

interface RunTrace {
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
}

/** What a job asked for, as far as promises depend on it. */
export interface PromisedJob {
  readonly steps: readonly {
    readonly tasks: number;
    readonly after: readonly number[];
    /** Whether copies of a task may run at the same time. */
    readonly speculative?: boolean;
  }[];
  readonly maxAttempts: number;
  /** When the cancellation was confirmed; infinite when there was none. */
  cancelledAt: Instant;
}

/** Longest time after a confirmed cancellation in which a task may still begin, in milliseconds. */
const CANCEL_MS = 3_000;
/** A copy may still begin this long after the end that made it needless was acknowledged. */
const COPY_MS = 1_000;

/** Collects what happens at workers. */
export class JobHistory {
  /** Accepted jobs by id. */
  readonly jobs = new Map<string, PromisedJob>();

  private readonly runs = new Map<string, RunTrace>();
  private late = false;

  /** Creates an empty history. */
  constructor(private readonly clock: () => Instant) {}

  /** Runs `carryOut` as an order that was held up on its way to the worker. */
  heldUp(carryOut: () => void): void {
    this.late = true;
    carryOut();
    this.late = false;
  }

  /** A run has begun. */
  began({ task, run }: RunRef, worker: string): void {
    this.runs.set(this.key({ task, run }, worker), {
      task,
      run,
      worker,
      beganAt: this.clock(),
      endedAt: Infinity,
      how: undefined,
      lapsesAtEnd: 0,
      notedAt: Infinity,
      late: this.late,
    });
  }

  /** A run has ended. */
  ended(ref: RunRef, worker: string, how: RunEnd, lapses: number): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.endedAt = this.clock();
      trace.how = how;
      trace.lapsesAtEnd = lapses;
    }
  }

  /** A run has gone with its worker. */
  lost(ref: RunRef, worker: string): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.endedAt = this.clock();
      trace.how = 'lost';
    }
  }

  /** An end was acknowledged; it counts unless the lease lapsed in between. */
  noted(ref: RunRef, worker: string, lapses: number): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace?.lapsesAtEnd === lapses) {
      trace.notedAt = Math.min(trace.notedAt, this.clock());
    }
  }

  /** Returns every promise that was broken. */
  check(): Violation[] {
    const byTask = new Map<string, RunTrace[]>();
    for (const trace of this.runs.values()) {
      const name = taskName(trace.task);
      byTask.set(name, [...(byTask.get(name) ?? []), trace]);
    }
    const found: Violation[] = [];
    for (const [name, runs] of byTask) {
      runs.sort((a, b) => a.beganAt - b.beganAt);
      const copies = this.allowsCopies(runs);
      if (!copies) {
        found.push(...overlaps(name, runs));
      }
      found.push(...repeats(name, runs, copies));
      found.push(...this.checkJob(name, runs, copies));
    }
    return found;
  }

  /** Tells whether every task of a job has a run that ended as done. */
  isDone(id: string): boolean {
    const job = this.jobs.get(id);
    const done = new Set<string>();
    for (const { task, how } of this.runs.values()) {
      if (task.job === id && how === 'done') {
        done.add(taskName(task));
      }
    }
    const tasks = job?.steps.reduce((sum, step) => sum + step.tasks, 0);
    return done.size === tasks;
  }

  /** Number of a job's runs that have not ended. */
  runningOf(id: string): number {
    return [...this.runs.values()].filter(
      ({ task, endedAt }) => task.job === id && endedAt === Infinity,
    ).length;
  }

  private allowsCopies([first]: readonly RunTrace[]): boolean {
    const task = first?.task;
    const step = this.jobs.get(task?.job ?? '')?.steps[task?.step ?? 0];
    return step?.speculative === true;
  }

  private checkJob(
    name: string,
    runs: readonly RunTrace[],
    copies: boolean,
  ): Violation[] {
    const first = runs[0];
    const job = this.jobs.get(first?.task.job ?? '');
    if (first === undefined || job === undefined) {
      return [];
    }
    const found: Violation[] = [];
    found.push(...attempts(name, runs, job.maxAttempts, copies));
    const late = runs.filter(
      run => !run.late && run.beganAt > job.cancelledAt + CANCEL_MS,
    );
    if (late.length > 0) {
      found.push(violation('nothing_after_cancel', name, late));
    }
    for (const before of job.steps[first.task.step]?.after ?? []) {
      if (!this.stepDoneBy(first.task, before, first.beganAt)) {
        found.push(violation('steps_in_order', name, runs));
      }
    }
    return found;
  }

  private stepDoneBy(task: TaskRef, step: number, at: Instant): boolean {
    const tasks = this.jobs.get(task.job)?.steps[step]?.tasks ?? 0;
    const done = new Set<number>();
    for (const trace of this.runs.values()) {
      const { job, occurrence } = trace.task;
      if (
        job === task.job &&
        occurrence === task.occurrence &&
        trace.task.step === step &&
        trace.how === 'done' &&
        trace.endedAt <= at
      ) {
        done.add(trace.task.index);
      }
    }
    return done.size === tasks;
  }

  private key({ task, run }: RunRef, worker: string): string {
    return `${worker}/${runKey(taskName(task), run)}`;
  }
}

function overlaps(name: string, runs: readonly RunTrace[]): Violation[] {
  for (let at = 1; at < runs.length; at += 1) {
    const [before, after] = [runs[at - 1], runs[at]];
    if (before && after && after.beganAt < before.endedAt) {
      return [violation('one_place_at_a_time', name, [before, after])];
    }
  }
  return [];
}

function repeats(
  name: string,
  runs: readonly RunTrace[],
  copies: boolean,
): Violation[] {
  const done = runs.find(
    ({ how, notedAt }) => how === 'done' && notedAt < Infinity,
  );
  if (done === undefined) {
    return [];
  }
  const again = copies
    ? runs.find(run => !run.late && run.beganAt > done.notedAt + COPY_MS)
    : runs.find(({ beganAt }) => beganAt > done.endedAt);
  return again === undefined
    ? []
    : [violation('finish_once', name, [done, again])];
}

/** A copy may fail as well while the last attempt does. */
function attempts(
  name: string,
  runs: readonly RunTrace[],
  maxAttempts: number,
  copies: boolean,
): Violation[] {
  const failed = runs
    .filter(({ how, notedAt }) => how === 'failed' && notedAt < Infinity)
    .sort((a, b) => a.notedAt - b.notedAt);
  const spentAt = failed[maxAttempts - 1]?.notedAt ?? Infinity;
  const broken = copies
    ? runs.filter(run => !run.late && run.beganAt > spentAt + COPY_MS)
    : failed.slice(maxAttempts);
  return broken.length === 0
    ? []
    : [violation('attempts_bounded', name, [...failed, ...broken])];
}

function violation(
  promise: Violation['promise'],
  task: string,
  runs: readonly RunTrace[],
): Violation {
  const detail = runs
    .map(
      ({ run, worker, beganAt, endedAt, how }) =>
        `run ${run} on ${worker} ${beganAt} to ${endedAt} ${how ?? 'open'}`,
    )
    .join('; ');
  return { promise, task, detail };
}
