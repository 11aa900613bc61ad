/** One life of a worker in memory: leases, fences, runs that end, and a list of ends. */
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
  PollRequest,
  PollResult,
  OrderResult,
  RunOrder,
  StartOrder,
} from '@paddlewind/ports/jobs';

import { Gangs } from './gangs.js';
import type { JobHistory } from './job-history.js';
import type { SimulatedTime } from './memory-job-log.js';

/** What a task does; the payload of a job in tests, as JSON. */
export interface TaskScript {
  /** How long a run takes. */
  readonly runMs: Millis;
  /** How many runs of each task fail before one is done. */
  readonly failures: number;
  /** How many tasks work only together; undefined where each works by itself. */
  readonly gang?: number;
  /** Which of its tasks bring their workers down, and how long after a run began; all without an index. */
  readonly crash?: { readonly afterMs: Millis; readonly index?: number };
  /** Only makes the job larger. */
  readonly payload?: string;
}

/** How a worker behaves. */
export interface WorkerTraits {
  /** Unique, or that of an earlier life: then only `startedAt` tells the two apart. */
  readonly id: string;
  /** When this life began, by its time of day; undefined where it does not say. */
  readonly startedAt?: Instant;
  readonly capacity: TaskSize;
  readonly labels?: readonly string[];
  readonly maxLeaseMs: Millis;
  /** Speed of its clock, from 0.98 to 1. */
  readonly clockRate: number;
  readonly clockOffset: Millis;
}

interface ActiveEntry {
  readonly order: StartOrder;
  readonly since: Instant;
  readonly script: TaskScript;
  /** Whether it stands still until it is stopped. */
  readonly hangs: boolean;
  readonly cancelEnd: () => void;
}

/** Time that a stop takes, in milliseconds. */
const STOP_MS = 120;

/** A worker that carries out orders at once when they arrive. */
export class MemoryWorker {
  /** Whether runs that begin stand still. */
  hanging = false;
  /** Whether every run fails at once. */
  failing = false;

  private readonly active = new Map<string, ActiveEntry>();
  private readonly highestRun = new Map<string, number>();
  private ended: EndedRun[] = [];
  private nextPosition = 1;
  private fence = 0;
  private leaseUntil: Instant = 0;
  private lapses = 0;
  private up = true;
  private waiting: (() => void)[] = [];

  /** Creates a worker that runs nothing. */
  constructor(
    readonly traits: WorkerTraits,
    private readonly time: SimulatedTime,
    private readonly history: JobHistory,
    private readonly gangs = new Gangs(time),
    /** A run brings the worker down. */
    private readonly onCrash: (order: StartOrder) => void = () => undefined,
  ) {}

  /** Name of this life, which no other one has. */
  get life(): string {
    return incarnationOf(this.traits.id, this.traits.startedAt);
  }

  /** The worker's own clock. */
  get clock(): Instant {
    const { clockRate, clockOffset } = this.traits;
    return Math.floor(this.time.clock() * clockRate + clockOffset);
  }

  /** Ends this life: everything that runs is gone. */
  crash(): void {
    this.up = false;
    for (const { order, cancelEnd } of this.active.values()) {
      cancelEnd();
      this.history.lost(order, this.life);
    }
    this.active.clear();
  }

  /** Begins a run. */
  start(order: StartOrder): OrderResult {
    const refused = this.refuse(order);
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
    this.begin(key, order);
    return { kind: 'accepted', clock: this.clock };
  }

  /** Stops a run, also one that may still be ordered. */
  stop(order: RunOrder): OrderResult {
    const refused = this.refuse(order);
    if (refused !== undefined) {
      return refused;
    }
    const name = taskName(order.task);
    const key = runKey(name, order.run);
    this.noteRun(name, order.run);
    const entry = this.active.get(key);
    if (entry !== undefined) {
      entry.cancelEnd();
      this.time.schedule(STOP_MS, () => {
        this.end(key, 'stopped');
      });
    }
    return { kind: 'accepted', clock: this.clock };
  }

  /** Extends the lease, forgets acknowledged ends and reports, at the latest after the wait. */
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

  private refuse(order: RunOrder): OrderResult | undefined {
    if (order.fence < this.fence) {
      return { kind: 'rejected', why: 'fenced', clock: this.clock };
    }
    this.fence = order.fence;
    return undefined;
  }

  private begin(key: string, order: StartOrder): void {
    const script = JSON.parse(order.payload) as TaskScript;
    this.noteRun(taskName(order.task), order.run);
    const since = this.time.clock();
    this.active.set(key, {
      order,
      since,
      script,
      hangs: this.hanging,
      cancelEnd: this.work(key, order, script),
    });
    this.history.began(order, this.life);
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

  /** Sets a run to work; returns what makes it work no more. */
  private work(
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
      const whole = runKey(name, run);
      return this.gangs.join(whole, gang, runMs, { fails, end });
    }
    if (this.hanging) {
      return () => undefined;
    }
    return this.time.schedule(runMs, () => {
      end(fails ? 'failed' : 'done');
    });
  }

  private noteRun(name: string, run: number): void {
    this.highestRun.set(name, Math.max(run, this.highestRun.get(name) ?? 0));
  }

  private end(key: string, how: RunEnd): void {
    const entry = this.active.get(key);
    if (entry === undefined || !this.up) {
      return;
    }
    this.active.delete(key);
    entry.cancelEnd();
    const { task, run } = entry.order;
    const position = this.nextPosition;
    this.nextPosition += 1;
    this.ended.push({ position, task, run, how, checkpoint: '' });
    this.history.ended(entry.order, this.life, how, this.lapses);
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
      this.lapseIfDue();
    });
  }

  private lapseIfDue(): void {
    if (this.clock + 1 < this.leaseUntil) {
      return;
    }
    this.lapses += 1;
    for (const key of [...this.active.keys()]) {
      this.end(key, 'lapsed');
    }
  }

  private acknowledge(position: number): void {
    for (const ended of this.ended) {
      if (ended.position <= position) {
        this.history.noted(ended, this.life, this.lapses);
      }
    }
    this.ended = this.ended.filter(ended => ended.position > position);
  }

  private report(): PollResult {
    const now = this.time.clock();
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
      ended: [...this.ended],
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
