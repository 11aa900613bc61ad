/** The leader's links to all registered workers. */
import type { Instant } from '@paddlewind/domain';
import {
  countOpenRunsAt,
  startTimeOf,
  workerIdOf,
  type JobsState,
  type PlanWorker,
  type WorkerHealth,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type { UnreadableEntry, WorkerFeed } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import { REGISTRY_EVERY_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** What a fleet is given. */
export interface FleetOptions {
  readonly ctx: HostContext;
  readonly feed: WorkerFeed;
  /** Opens a link; `isNew` where the leader had one to the incarnation before. */
  readonly open: (info: WorkerInfo, isNew: boolean) => WorkerLink;
  readonly state: JobsState;
  readonly health: WorkerHealth;
  /** An incarnation is gone, as announced or not, and nothing is open there any more. */
  readonly left: (worker: string, announced: boolean) => void;
  readonly changed: () => void;
}

/** What is known of an incarnation: whether it is there, about to leave, or gone. */
export type WorkerPresence = 'registered' | 'leaving' | 'gone';

/** Follows the registry; a worker that left it keeps its link until its runs have ended. */
export class Fleet {
  /** By incarnation; of each worker there is one. */
  private readonly links = new Map<string, WorkerLink>();
  /** Present incarnations by the id of their worker. */
  private readonly present = new Map<string, string>();
  /** Incarnations that others have replaced, by the id of their worker: entries may still tell of them. */
  private readonly replaced = new Map<string, Set<string>>();
  /** Replaced incarnations of which it was not told yet that they are gone. */
  private readonly untold = new Set<string>();
  /** Ids of the workers that have an entry. */
  private listed = new Set<string>();
  /** Incarnations that have an entry, and are not replaced. */
  private registered = new Set<string>();
  /** When incarnations were first seen to be about to leave. */
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

  /** Returns the link to an incarnation, undefined where there is none or another one has replaced it. */
  link(worker: string): WorkerLink | undefined {
    return this.links.get(worker);
  }

  /** Returns the link to the present incarnation of the worker that an incarnation belongs to. */
  linkToPresent(worker: string): WorkerLink | undefined {
    return this.links.get(this.present.get(workerIdOf(worker)) ?? '');
  }

  /** Takes in that another incarnation has answered in place of the one of a link. */
  replace(before: WorkerInfo, by: string): void {
    const worker = workerIdOf(by);
    if (!this.closed && this.present.get(worker) === before.id) {
      this.replaced.get(worker)?.delete(by);
      this.open({ ...before, id: by, leaving: false });
    }
  }

  /**
   * Monotonic time at which a worker was first seen to be about to leave, undefined when it is not; 0 for
   * one that was so when this leader first read of it: how long it has been so is not known.
   */
  leavingSince(worker: string): Instant | undefined {
    return this.leaving.get(worker);
  }

  /** What the registry says of a worker: a worker that has announced so may leave with what runs there. */
  presenceOf(incarnation: string): WorkerPresence {
    if (this.leaving.has(incarnation)) {
      return 'leaving';
    }
    const worker = workerIdOf(incarnation);
    const isThere =
      this.listed.has(worker) && this.present.get(worker) === incarnation;
    return isThere ? 'registered' : 'gone';
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
      const isOpen = !info.leaving && this.registered.has(info.id);
      if (usable && isOpen && trust !== 'none') {
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
    this.listed = new Set(workers.map(({ id }) => workerIdOf(id)));
    this.registered = new Set();
    for (const info of workers) {
      this.takeEntry(info);
    }
    this.dropLeft();
    this.tellLeft();
    this.options.changed();
  }

  private takeEntry(info: WorkerInfo): void {
    const current = this.linkToPresent(info.id);
    if (current === undefined || this.isNewer(info.id, current.info.id)) {
      this.noteLeaving(info, current !== undefined);
      this.registered.add(info.id);
      this.open(info);
      return;
    }
    const { id } = current.info;
    if (info.id === id || startTimeOf(info.id) === undefined) {
      current.info = { ...info, id };
      this.noteLeaving(current.info, true);
      this.registered.add(id);
    }
  }

  /** Whether an entry tells of an incarnation that has replaced the one that is known: it may be an old entry. */
  private isNewer(told: string, known: string): boolean {
    const toldStart = startTimeOf(told) ?? -Infinity;
    const knownStart = startTimeOf(known) ?? -Infinity;
    const isReplaced = this.replaced.get(workerIdOf(told))?.has(told) === true;
    return toldStart > knownStart && !isReplaced;
  }

  private open(info: WorkerInfo): void {
    const worker = workerIdOf(info.id);
    const before = this.linkToPresent(info.id);
    if (before !== undefined) {
      this.endReplaced(before, info.id);
    }
    this.present.set(worker, info.id);
    this.links.set(info.id, this.options.open(info, before !== undefined));
  }

  private endReplaced(link: WorkerLink, by: string): void {
    const { id } = link.info;
    const worker = workerIdOf(id);
    const runs = this.options.state.workers.get(id)?.runs.size ?? 0;
    this.options.ctx.meters.workerRestarted();
    this.options.ctx.log.warn(
      { worker: id, by, runs },
      'fleet: a worker has started again',
    );
    link.supersede();
    this.links.delete(id);
    const known = this.replaced.get(worker) ?? new Set();
    this.replaced.set(worker, known.add(id));
    this.untold.add(id);
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
    const { ctx, state } = this.options;
    for (const [id, link] of this.links) {
      const worker = workerIdOf(id);
      if (!this.listed.has(worker) && countOpenRunsAt(state, worker) === 0) {
        ctx.log.info({ worker: id }, 'fleet: worker has left');
        link.close();
        this.links.delete(id);
        this.present.delete(worker);
        this.replaced.delete(worker);
        this.untold.add(id);
      }
    }
  }

  /** Tells that incarnations are gone, once it is known what became of all that ran there. */
  private tellLeft(): void {
    for (const id of this.untold) {
      if ((this.options.state.workers.get(id)?.runs.size ?? 0) === 0) {
        this.untold.delete(id);
        this.options.left(id, this.leaving.delete(id));
      }
    }
  }
}
