/** Records what workers and callers observe of each job, and checks it against the product's guarantees. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  runKey,
  taskName,
  type RunEnd,
  type TaskRef,
  type TaskSize,
} from '@paddlewind/domain/jobs';

import { checkResponses } from './response-guarantees.js';
import { checkFaultFree } from './fault-free-guarantees.js';
import type { FaultTimes } from './fault-times.js';
import {
  jobDoneAt,
  type EvacuationTrace,
  type HistoryFacts,
  type QueueLengthReport,
  type RunTrace,
  type StatusReport,
  type SubmittedJob,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';
import { checkLongRunning } from './long-running-guarantee.js';
import { checkPlacement } from './placement-guarantees.js';
import { checkTasks } from './run-guarantees.js';

interface RunRef {
  readonly task: TaskRef;
  readonly run: number;
}

/** Records events at workers and reports to callers. */
export class JobHistory {
  /** Accepted jobs by id. */
  readonly jobs = new Map<string, SubmittedJob>();
  /** All faults of the test; if undefined, guarantees for fault-free periods are not checked. */
  faults: FaultTimes | undefined;
  /** How long the status of a finished job is kept, in milliseconds. */
  statusMs: Millis = 0;

  private readonly runs = new Map<string, RunTrace>();
  private readonly workers = new Map<string, WorkerTrace>();
  private readonly evacuations: EvacuationTrace[] = [];
  private readonly statusReports: StatusReport[] = [];
  private readonly queueLengthReports: QueueLengthReport[] = [];
  private isDelayed = false;

  /** Creates an empty history. */
  constructor(private readonly clock: () => Instant) {}

  /** Records the start of an incarnation of a worker. */
  recordWorkerStart(
    worker: Pick<
      WorkerTrace,
      'id' | 'capacity' | 'labels' | 'availabilityZone'
    >,
  ): void {
    this.workers.set(worker.id, {
      id: worker.id,
      capacity: worker.capacity,
      resizes: [],
      labels: worker.labels,
      availabilityZone: worker.availabilityZone,
      joinedAt: this.clock(),
      leavingAt: Infinity,
      endedAt: Infinity,
    });
  }

  /** Records that a worker reports another capacity from now on. */
  recordCapacityChange(worker: string, capacity: TaskSize): void {
    this.workers.get(worker)?.resizes.push({ at: this.clock(), capacity });
  }

  /** Records that a worker has announced that it is leaving. */
  recordLeaving(worker: string): void {
    const trace = this.workers.get(worker);
    if (trace !== undefined) {
      trace.leavingAt = Math.min(trace.leavingAt, this.clock());
    }
  }

  /** Records that the operator has evacuated a zone. */
  recordEvacuation(availabilityZone: string): void {
    const from = this.clock();
    this.evacuations.push({ availabilityZone, from, until: Infinity });
  }

  /** Records that the operator has taken back the evacuation of a zone. */
  recordEvacuationEnd(availabilityZone: string): void {
    for (const evacuation of this.evacuations) {
      if (evacuation.availabilityZone === availabilityZone) {
        evacuation.until = Math.min(evacuation.until, this.clock());
      }
    }
  }

  /** Records the end of an incarnation of a worker. */
  recordWorkerEnd(worker: string): void {
    const trace = this.workers.get(worker);
    if (trace !== undefined) {
      trace.endedAt = this.clock();
    }
  }

  /** Runs `execute` as an order that the network delayed on its way to the worker. */
  runDelayed(execute: () => void): void {
    const now = this.clock();
    this.faults?.add({ from: now, until: now, of: 'workers' });
    this.isDelayed = true;
    execute();
    this.isDelayed = false;
  }

  /** Records the start of a run. */
  recordRunStart({ task, run }: RunRef, worker: string): void {
    this.runs.set(this.key({ task, run }, worker), {
      task,
      run,
      worker,
      startedAt: this.clock(),
      endedAt: Infinity,
      how: undefined,
      leaseExpiriesAtEnd: 0,
      acknowledgedAt: Infinity,
      delayed: this.isDelayed,
      crashedWorker: false,
    });
  }

  /** Records that a run is about to crash its worker. */
  recordWorkerCrash(ref: RunRef, worker: string): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.crashedWorker = true;
    }
  }

  /** Returns the number of worker crashes caused by tasks of a job. */
  workersCrashedBy(id: string): number {
    return [...this.runs.values()].filter(
      ({ task, crashedWorker }) => task.job === id && crashedWorker,
    ).length;
  }

  /** Returns the number of runs of each task that workers ended as failed, by the name of the task. */
  failedRuns(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { task, how } of this.runs.values()) {
      if (how === 'failed') {
        const name = taskName(task);
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Records the end of a run. */
  recordRunEnd(
    ref: RunRef,
    worker: string,
    how: RunEnd,
    leaseExpiries: number,
  ): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.endedAt = this.clock();
      trace.how = how;
      trace.leaseExpiriesAtEnd = leaseExpiries;
    }
  }

  /** Records that a run was lost with its worker. */
  recordRunLoss(ref: RunRef, worker: string): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace !== undefined) {
      trace.endedAt = this.clock();
      trace.how = 'lost';
    }
  }

  /** Records the acknowledgment of an end; it counts only if the lease has not expired since the end. */
  recordAcknowledgment(
    ref: RunRef,
    worker: string,
    leaseExpiries: number,
  ): void {
    const trace = this.runs.get(this.key(ref, worker));
    if (trace?.leaseExpiriesAtEnd === leaseExpiries) {
      trace.acknowledgedAt = Math.min(trace.acknowledgedAt, this.clock());
    }
  }

  /** Records the state of a job that was reported to a caller whose request was sent at `requestedAt`. */
  recordStatus(
    job: string,
    requestedAt: Instant,
    state: StatusReport['state'],
  ): void {
    this.statusReports.push({
      job,
      requestedAt,
      at: this.clock(),
      state,
    });
  }

  /** Returns the number of runs of other jobs that were lost with workers crashed by tasks of a job. */
  otherRunsLostWith(id: string): number {
    const crashedWorkers = new Set(
      [...this.runs.values()]
        .filter(({ task, crashedWorker }) => task.job === id && crashedWorker)
        .map(({ worker }) => worker),
    );
    return [...this.runs.values()].filter(
      ({ task, worker, how }) =>
        task.job !== id && how === 'lost' && crashedWorkers.has(worker),
    ).length;
  }

  /** Returns the sequence of states of a job that were reported to callers, without repetitions. */
  reportedStates(id: string): StatusReport['state'][] {
    return this.statusReports
      .filter(({ job }) => job === id)
      .map(({ state }) => state)
      .filter((state, at, all) => state !== all[at - 1]);
  }

  /** Returns when this state of a job was first reported to a caller; infinite if never. */
  firstReportedAt(id: string, state: StatusReport['state']): Instant {
    const found = this.statusReports.find(
      report => report.job === id && report.state === state,
    );
    return found?.at ?? Infinity;
  }

  /** Records the length of the only queue that a host reported to a request sent at `requestedAt`. */
  recordQueueLength(host: string, requestedAt: Instant, length: number): void {
    this.queueLengthReports.push({
      host,
      requestedAt,
      at: this.clock(),
      length,
    });
  }

  /** Returns all violated guarantees. */
  check(): Violation[] {
    const facts = this.facts();
    return [
      ...checkTasks(facts),
      ...checkPlacement(facts),
      ...checkFaultFree(facts),
      ...checkLongRunning(facts),
      ...checkResponses(facts),
    ];
  }

  /** Returns whether every task of a job has a run that ended as done. */
  isDone(id: string): boolean {
    return this.jobs.has(id) && jobDoneAt(this.facts(), id) < Infinity;
  }

  /** Returns the jobs with tasks that have no run that ended as done. */
  unfinished(): string[] {
    const facts = this.facts();
    return [...this.jobs.keys()].filter(
      id => jobDoneAt(facts, id) === Infinity,
    );
  }

  /** Returns the start time of the first run of each started job. */
  firstStarts(): Map<string, Instant> {
    const found = new Map<string, Instant>();
    for (const { task, startedAt } of this.runs.values()) {
      const first = found.get(task.job) ?? Infinity;
      found.set(task.job, Math.min(first, startedAt));
    }
    return found;
  }

  /** Returns the number of a job's runs that have not ended. */
  countActiveRuns(id: string): number {
    return [...this.runs.values()].filter(
      ({ task, endedAt }) => task.job === id && endedAt === Infinity,
    ).length;
  }

  private facts(): HistoryFacts {
    const runs = [...this.runs.values()];
    return {
      jobs: this.jobs,
      runs: runs.sort((a, b) => a.startedAt - b.startedAt),
      workers: this.workers,
      evacuations: this.evacuations,
      statusReports: this.statusReports,
      queueLengthReports: this.queueLengthReports,
      faults: this.faults,
      statusMs: this.statusMs,
      now: this.clock(),
    };
  }

  private key({ task, run }: RunRef, worker: string): string {
    return `${worker}/${runKey(taskName(task), run)}`;
  }
}
