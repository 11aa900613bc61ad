/** One in-memory incarnation of a worker, with leases, fences, runs and a list of ends. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  incarnationOf,
  runKey,
  taskName,
  type RunEnd,
  type TaskSize,
} from '@paddlewind/domain/jobs';
import type {
  EndedRun,
  OrderResult,
  PollRequest,
  PollResult,
  RunOrder,
  StartOrder,
} from '@paddlewind/ports/jobs';

import { Gangs } from './gangs.js';
import type { JobHistory } from './job-history.js';
import type { SimulatedTime } from './memory-job-log.js';

/** Scripted behavior of a task; in tests the JSON payload of a job. */
export interface TaskScript {
  /** Duration of a run. */
  readonly runMs: Millis;
  /** Number of runs of each task that fail before one succeeds. */
  readonly failures: number;
  /** Size of the gang; undefined if tasks run independently. */
  readonly gang?: number;
  /** Crashes the worker `afterMs` after the start of a run; without an index, for each task. */
  readonly crash?: { readonly afterMs: Millis; readonly index?: number };
  /** Padding that makes the job larger. */
  readonly payload?: string;
}

/** Properties of a worker. */
export interface WorkerTraits {
  /** Id of the worker; incarnations of the same worker differ in `startedAt` only. */
  readonly id: string;
  /** Start time by the worker's wall clock; undefined if it does not report one. */
  readonly startedAt?: Instant;
  readonly capacity: TaskSize;
  readonly labels?: readonly string[];
  /** `a` if it is not given. */
  readonly availabilityZone?: string;
  /** Version in its registry entry, which has none if it is not given. */
  readonly version?: string;
  readonly maxLeaseMs: Millis;
  /** Number of ends that it lists at a time; 500 if it is not given. */
  readonly listedEnds?: number;
  /** Rate of the worker's clock, from 0.98 to 1. */
  readonly clockRate: number;
  readonly clockOffset: Millis;
}

interface ActiveEntry {
  readonly order: StartOrder;
  readonly since: Instant;
  readonly script: TaskScript;
  /** Whether it makes no progress until it is stopped. */
  readonly hangs: boolean;
  readonly cancelEnd: () => void;
}

/** Duration of a stop, in milliseconds. */
const STOP_DELAY_MS = 120;
/** Number of ends that a worker lists at a time by default. */
const LISTED_ENDS = 500;

/** A worker that executes orders immediately. */
export class MemoryWorker {
  /** Whether runs that start from now on hang. */
  hanging = false;
  /** Whether every run that starts from now on fails at its end. */
  failing = false;

  private readonly active = new Map<string, ActiveEntry>();
  private readonly highestRun = new Map<string, number>();
  private ended: EndedRun[] = [];
  private nextPosition = 1;
  private fence = 0;
  private leaseUntil: Instant = 0;
  private leaseExpiries = 0;
  private up = true;
  private waiting: (() => void)[] = [];

  /** Creates a worker that runs nothing. */
  constructor(
    readonly traits: WorkerTraits,
    private readonly time: SimulatedTime,
    private readonly history: JobHistory,
    private readonly gangs = new Gangs(time),
    /** Called when a run crashes the worker. */
    private readonly onCrash: (order: StartOrder) => void = () => undefined,
  ) {}

  /** Unique name of this incarnation. */
  get incarnation(): string {
    return incarnationOf(this.traits.id, this.traits.startedAt);
  }

  /** Number of active runs. */
  get activeRuns(): number {
    return this.active.size;
  }

  /** The worker's own clock. */
  get clock(): Instant {
    const { clockRate, clockOffset } = this.traits;
    return Math.floor(this.time.clock() * clockRate + clockOffset);
  }

  /** Ends this incarnation; all active runs are lost. */
  crash(): void {
    this.up = false;
    for (const { order, cancelEnd } of this.active.values()) {
      cancelEnd();
      this.history.recordRunLoss(order, this.incarnation);
    }
    this.active.clear();
  }

  /** Starts a run. */
  start(order: StartOrder): OrderResult {
    const refused = this.rejectIfFenced(order);
    if (refused !== undefined) {
      return refused;
    }
    const name = taskName(order.task);
    const key = runKey(name, order.run);
    this.extend(order.leaseUntil);
    if (this.active.has(key)) {
      return { kind: 'accepted', clock: this.clock };
    }
    if (order.run <= (this.highestRun.get(name) ?? 0)) {
      return { kind: 'rejected', why: 'superseded', clock: this.clock };
    }
    if (order.leaseUntil <= this.clock) {
      return { kind: 'rejected', why: 'too_late', clock: this.clock };
    }
    this.beginRun(key, order);
    return { kind: 'accepted', clock: this.clock };
  }

  /** Stops a run; if it has not started, a later start order for it is rejected. */
  stop(order: RunOrder): OrderResult {
    const refused = this.rejectIfFenced(order);
    if (refused !== undefined) {
      return refused;
    }
    const name = taskName(order.task);
    const key = runKey(name, order.run);
    this.recordHighestRun(name, order.run);
    const entry = this.active.get(key);
    if (entry !== undefined) {
      entry.cancelEnd();
      this.time.schedule(STOP_DELAY_MS, () => {
        this.end(key, 'stopped');
      });
    }
    return { kind: 'accepted', clock: this.clock };
  }

  /** Ends all active runs at once, with the given checkpoint. */
  endAll(how: RunEnd, checkpoint = ''): void {
    for (const key of [...this.active.keys()]) {
      this.end(key, how, checkpoint);
    }
  }

  /** Extends the lease, removes acknowledged ends and returns a report, after `waitMs` at the latest. */
  async poll(order: PollRequest): Promise<PollResult> {
    if (order.fence < this.fence) {
      return { kind: 'fenced' };
    }
    this.fence = order.fence;
    if (order.leaseUntil !== undefined) {
      this.extend(order.leaseUntil);
    }
    this.acknowledge(order.acknowledged);
    if (order.waitMs > 0 && this.ended.length === 0) {
      await this.nextEnd(order.waitMs);
    }
    return this.report();
  }

  private rejectIfFenced(order: RunOrder): OrderResult | undefined {
    if (order.fence < this.fence) {
      return { kind: 'rejected', why: 'fenced', clock: this.clock };
    }
    this.fence = order.fence;
    return undefined;
  }

  private beginRun(key: string, order: StartOrder): void {
    const script = JSON.parse(order.payload) as TaskScript;
    this.recordHighestRun(taskName(order.task), order.run);
    const since = this.time.clock();
    this.active.set(key, {
      order,
      since,
      script,
      hangs: this.hanging,
      cancelEnd: this.scheduleEnd(key, order, script),
    });
    this.history.recordRunStart(order, this.incarnation);
    this.crashLater(key, order, script);
  }

  private crashLater(
    key: string,
    order: StartOrder,
    { crash }: TaskScript,
  ): void {
    if (crash === undefined) {
      return;
    }
    const { afterMs, index = order.task.index } = crash;
    if (order.task.index === index) {
      this.time.schedule(afterMs, () => {
        if (this.active.has(key)) {
          this.onCrash(order);
        }
      });
    }
  }

  /** Schedules the end of a run; returns a function that cancels it. */
  private scheduleEnd(
    key: string,
    { task, run }: StartOrder,
    { runMs, failures, gang }: TaskScript,
  ): () => void {
    const fails = this.failing || run <= failures;
    const end = (how: RunEnd): void => {
      this.end(key, how);
    };
    if (gang !== undefined) {
      const name = `${task.job}.${task.occurrence}.${task.step}`;
      const gangRun = runKey(name, run);
      return this.gangs.join(gangRun, gang, runMs, { fails, end });
    }
    if (this.hanging) {
      return () => undefined;
    }
    return this.time.schedule(runMs, () => {
      end(fails ? 'failed' : 'done');
    });
  }

  private recordHighestRun(name: string, run: number): void {
    this.highestRun.set(name, Math.max(run, this.highestRun.get(name) ?? 0));
  }

  private end(key: string, how: RunEnd, checkpoint = ''): void {
    const entry = this.active.get(key);
    if (entry === undefined || !this.up) {
      return;
    }
    this.active.delete(key);
    entry.cancelEnd();
    const { task, run } = entry.order;
    const position = this.nextPosition;
    this.nextPosition += 1;
    this.ended.push({ position, task, run, how, checkpoint });
    this.history.recordRunEnd(
      entry.order,
      this.incarnation,
      how,
      this.leaseExpiries,
    );
    this.wake();
  }

  private extend(until: Instant): void {
    const longest = this.clock + this.traits.maxLeaseMs;
    const allowed = Math.min(until, longest);
    if (allowed <= this.leaseUntil) {
      return;
    }
    this.leaseUntil = allowed;
    const left = (allowed - this.clock) / this.traits.clockRate;
    this.time.schedule(left, () => {
      this.expireIfDue();
    });
  }

  private expireIfDue(): void {
    if (this.clock + 1 < this.leaseUntil) {
      return;
    }
    this.leaseExpiries += 1;
    for (const key of [...this.active.keys()]) {
      this.end(key, 'lapsed');
    }
  }

  private acknowledge(position: number): void {
    for (const ended of this.ended) {
      if (ended.position <= position) {
        this.history.recordAcknowledgment(
          ended,
          this.incarnation,
          this.leaseExpiries,
        );
      }
    }
    this.ended = this.ended.filter(ended => ended.position > position);
  }

  private report(): PollResult {
    const now = this.time.clock();
    const { listedEnds = LISTED_ENDS } = this.traits;
    const active = [...this.active.values()].map(
      ({ order, since, script, hangs }) => ({
        task: order.task,
        run: order.run,
        checkpoint: '',
        percent: hangs
          ? 0
          : Math.min(100, Math.floor((100 * (now - since)) / script.runMs)),
        reading: 0,
      }),
    );
    return {
      kind: 'seen',
      startedAt: this.traits.startedAt,
      clock: this.clock,
      active,
      ended: this.ended.slice(0, listedEnds),
      hasMoreEnds: this.ended.length >= listedEnds,
    };
  }

  private nextEnd(waitMs: Millis): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.time.schedule(waitMs, resolve);
      this.waiting.push(() => {
        cancel();
        resolve();
      });
    });
  }

  private wake(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}
