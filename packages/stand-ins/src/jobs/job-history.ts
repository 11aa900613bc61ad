/** What workers and callers saw of each job, and whether the promises of the product were kept. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  runKey,
  taskName,
  type RunEnd,
  type TaskRef,
  type TaskSize,
} from '@paddlewind/domain/jobs';

import { checkAnswers } from './response-guarantees.js';
import { checkCalm } from './fault-free-guarantees.js';
import type { FaultTimes } from './fault-times.js';
import {
  jobDoneAt,
  type Facts,
  type PromisedJob,
  type RunTrace,
  type ShownState,
  type ToldLength,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';
import { checkLasting } from './long-running-guarantee.js';
import { checkPlaces } from './placement-guarantees.js';
import { checkTasks } from './run-guarantees.js';

interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** Collects what happens at workers, and what callers are told. */
export class JobHistory {
  /** Accepted jobs by id. */
  readonly jobs = new Map<string, PromisedJob>();
  /** All faults of the test; promises of calm times are judged only once it is set. */
  faults: FaultTimes | undefined;
  /** How long a job that is over is remembered, in milliseconds. */
  statusMs: Millis = 0;

  private readonly runs = new Map<string, RunTrace>();
  private readonly workers = new Map<string, WorkerTrace>();
  private readonly shown: ShownState[] = [];
  private readonly lengths: ToldLength[] = [];
  private late = false;

  /** Creates an empty history. */
  constructor(private readonly clock: () => Instant) {}

  /** A life of a worker has begun. */
  joined(worker: Pick<WorkerTrace, 'id' | 'capacity' | 'labels'>): void {
    this.workers.set(worker.id, {
      id: worker.id,
      capacity: worker.capacity,
      resizes: [],
      labels: worker.labels,
      joinedAt: this.clock(),
      leavingAt: Infinity,
      goneAt: Infinity,
    });
  }

  /** A worker tells another capacity from now on. */
  resized(worker: string, capacity: TaskSize): void {
    this.workers.get(worker)?.resizes.push({ at: this.clock(), capacity });
  }

  /** A worker has announced that it leaves. */
  announced(worker: string): void {
    const trace = this.workers.get(worker);
    if (trace !== undefined) {
      trace.leavingAt = Math.min(trace.leavingAt, this.clock());
    }
  }

  /** A life of a worker has ended. */
  gone(worker: string): void {
    const trace = this.workers.get(worker);
    if (trace !== undefined) {
      trace.goneAt = this.clock();
    }
  }

  /** Runs `carryOut` as an order that was held up on its way to the worker. */
  heldUp(carryOut: () => void): void {
    const now = this.clock();
    this.faults?.add({ from: now, until: now, of: 'workers' });
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
      crashed: false,
    });
  }

  /** A run is about to bring its worker down. */
  broughtDown(ref: RunRef, worker: string): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.crashed = true;
    }
  }

  /** Number of workers that tasks of a job have brought down. */
  workersCrashedBy(id: string): number {
    return [...this.runs.values()].filter(
      ({ task, crashed }) => task.job === id && crashed,
    ).length;
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

  /** A caller that asked at `askedAt` was told the state of a job. */
  told(job: string, askedAt: Instant, state: ShownState['state']): void {
    this.shown.push({ job, askedAt, at: this.clock(), state });
  }

  /** Number of runs of other jobs that were lost with workers which tasks of a job brought down. */
  otherRunsLostWith(id: string): number {
    const crashed = new Set(
      [...this.runs.values()]
        .filter(({ task, crashed: down }) => task.job === id && down)
        .map(({ worker }) => worker),
    );
    return [...this.runs.values()].filter(
      ({ task, worker, how }) =>
        task.job !== id && how === 'lost' && crashed.has(worker),
    ).length;
  }

  /** The states that callers were told of a job in turn, each change once. */
  reportedStates(id: string): ShownState['state'][] {
    return this.shown
      .filter(({ job }) => job === id)
      .map(({ state }) => state)
      .filter((state, at, all) => state !== all[at - 1]);
  }

  /** When a caller was first told this state of a job; infinite before. */
  firstReportedAt(id: string, state: ShownState['state']): Instant {
    const found = this.shown.find(
      told => told.job === id && told.state === state,
    );
    return found?.at ?? Infinity;
  }

  /** A caller that asked a host at `askedAt` was told the length of the only queue. */
  recordQueueLength(host: string, askedAt: Instant, length: number): void {
    this.lengths.push({ host, askedAt, at: this.clock(), length });
  }

  /** Returns every promise that was broken. */
  check(): Violation[] {
    const facts = this.facts();
    return [
      ...checkTasks(facts),
      ...checkPlaces(facts),
      ...checkCalm(facts),
      ...checkLasting(facts),
      ...checkAnswers(facts),
    ];
  }

  /** Tells whether every task of a job has a run that ended as done. */
  isDone(id: string): boolean {
    return this.jobs.has(id) && jobDoneAt(this.facts(), id) < Infinity;
  }

  /** Jobs of which some task has no run that ended as done. */
  unfinished(): string[] {
    const facts = this.facts();
    return [...this.jobs.keys()].filter(
      id => jobDoneAt(facts, id) === Infinity,
    );
  }

  /** When the first run of each job began that has one. */
  firstStarts(): Map<string, Instant> {
    const found = new Map<string, Instant>();
    for (const { task, beganAt } of this.runs.values()) {
      const first = found.get(task.job) ?? Infinity;
      found.set(task.job, Math.min(first, beganAt));
    }
    return found;
  }

  /** Number of a job's runs that have not ended. */
  runningOf(id: string): number {
    return [...this.runs.values()].filter(
      ({ task, endedAt }) => task.job === id && endedAt === Infinity,
    ).length;
  }

  private facts(): Facts {
    const runs = [...this.runs.values()];
    return {
      jobs: this.jobs,
      runs: runs.sort((a, b) => a.beganAt - b.beganAt),
      workers: this.workers,
      shown: this.shown,
      lengths: this.lengths,
      faults: this.faults,
      statusMs: this.statusMs,
      now: this.clock(),
    };
  }

  private key({ task, run }: RunRef, worker: string): string {
    return `${worker}/${runKey(taskName(task), run)}`;
  }
}
