/** The leader's links to all registered workers. */
import type { Instant } from '@paddlewind/domain';
import type {
  PlanWorker,
  WorkerHealth,
  WorkerInfo,
} from '@paddlewind/domain/jobs';
import type { UnreadableEntry, WorkerFeed } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import { REGISTRY_EVERY_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** What a fleet is given. */
export interface FleetOptions {
  readonly ctx: HostContext;
  readonly feed: WorkerFeed;
  readonly open: (info: WorkerInfo) => WorkerLink;
  /** Number of runs that are open at a worker. */
  readonly openRuns: (worker: string) => number;
  readonly health: WorkerHealth;
  /** A worker has left the registry, as announced or not, and nothing is open there any more. */
  readonly left: (worker: string, announced: boolean) => void;
  readonly changed: () => void;
}

/** What the registry says of a worker. */
export type WorkerPresence = 'registered' | 'leaving' | 'gone';

/** Follows the registry; a worker that left it keeps its link until its runs have ended. */
export class Fleet {
  private readonly links = new Map<string, WorkerLink>();
  private registered = new Set<string>();
  /** When workers were first seen to be about to leave. */
  private readonly leaving = new Map<string, Instant>();
  /** Reasons why entries of the registry can't be read, by key. */
  private unreadable = new Map<string, string>();
  private closed = false;
  private readAt: Instant = -Infinity;

  /** Creates a fleet without workers. */
  constructor(private readonly options: FleetOptions) {}

  /** Monotonic time as of which the registry is known: that at which its last reading began. */
  get knownAsOf(): Instant {
    return this.readAt;
  }

  /** Follows the registry until the fleet is closed. */
  async follow(): Promise<void> {
    while (!this.closed) {
      const sentAt = this.options.ctx.clock();
      const found = await this.options.feed.refresh();
      if (found.kind === 'value') {
        this.readAt = sentAt;
        this.take(found.value.workers);
        this.noteUnreadable(found.value.unreadable);
      }
      await pause(this.options.ctx, REGISTRY_EVERY_MS);
    }
  }

  /** Returns the link to a worker, undefined for one that was never registered here. */
  link(worker: string): WorkerLink | undefined {
    return this.links.get(worker);
  }

  /**
   * Monotonic time at which a worker was first seen to be about to leave, undefined when it is not; 0 for
   * one that was so when this leader first read of it: how long it has been so is not known.
   */
  leavingSince(worker: string): Instant | undefined {
    return this.leaving.get(worker);
  }

  /** What the registry says of a worker: a worker that has announced so may leave with what runs there. */
  presenceOf(worker: string): WorkerPresence {
    if (this.leaving.has(worker)) {
      return 'leaving';
    }
    return this.registered.has(worker) ? 'registered' : 'gone';
  }

  /** All workers that are registered. */
  registeredWorkers(): WorkerInfo[] {
    return [...this.links.values()]
      .map(({ info }) => info)
      .filter(({ id }) => this.registered.has(id));
  }

  /** Workers that may be given tasks now. */
  planWorkers(): PlanWorker[] {
    const { ctx, health } = this.options;
    const found: PlanWorker[] = [];
    for (const { usable, info } of this.links.values()) {
      const trust = health.trustIn(info.id, ctx.clock());
      const present = !info.leaving && this.registered.has(info.id);
      if (usable && present && trust !== 'none') {
        found.push({ info, trusted: trust === 'full' });
      }
    }
    return found;
  }

  /** Closes all links. */
  close(): void {
    this.closed = true;
    for (const link of this.links.values()) {
      link.close();
    }
  }

  private take(workers: readonly WorkerInfo[]): void {
    if (this.closed) {
      return;
    }
    this.registered = new Set(workers.map(({ id }) => id));
    for (const info of workers) {
      const link = this.links.get(info.id);
      this.noteLeaving(info, link !== undefined);
      if (link === undefined) {
        this.links.set(info.id, this.options.open(info));
      } else {
        link.info = info;
      }
    }
    this.dropLeft();
    this.options.changed();
  }

  private noteLeaving({ id, leaving }: WorkerInfo, known: boolean): void {
    if (!leaving) {
      this.leaving.delete(id);
    } else if (!this.leaving.has(id)) {
      this.leaving.set(id, known ? this.options.ctx.clock() : 0);
    }
  }

  /**
   * An entry that can't be read names no worker to use. What runs at a worker whose entry became so
   * goes on, as at one that has left the registry: its lease is extended while it answers.
   */
  private noteUnreadable(entries: readonly UnreadableEntry[]): void {
    const { ctx } = this.options;
    const before = this.unreadable;
    this.unreadable = new Map(entries.map(({ id, reason }) => [id, reason]));
    ctx.meters.unreadable('worker', entries.length);
    for (const [worker, reason] of this.unreadable) {
      if (before.get(worker) !== reason) {
        ctx.log.warn({ worker, reason }, 'fleet: an entry can not be read');
      }
    }
  }

  private dropLeft(): void {
    for (const [id, link] of this.links) {
      if (!this.registered.has(id) && this.options.openRuns(id) === 0) {
        this.options.ctx.log.info({ worker: id }, 'fleet: worker has left');
        link.close();
        this.links.delete(id);
        this.options.left(id, this.leaving.delete(id));
      }
    }
  }
}
