/** The leader's links to all registered workers. */
import type { Instant } from '@paddlewind/domain';
import {
  countOpenRunsAt,
  startTimeOf,
  workerIdOf,
  WorkerVersions,
  type JobsState,
  type NewestVersions,
  type PlanWorker,
  type WorkerHealth,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type { UnreadableEntry, WorkerFeed } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import { REGISTRY_READ_INTERVAL_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** Dependencies and callbacks of a fleet. */
export interface FleetOptions {
  readonly ctx: HostContext;
  readonly feed: WorkerFeed;
  /** Whether nothing may start in an availability zone. */
  readonly isEvacuated: (availabilityZone: string) => boolean;
  /** Opens a link; `isNew` if the leader had a link to the previous incarnation. */
  readonly openLink: (info: WorkerInfo, isNew: boolean) => WorkerLink;
  readonly state: JobsState;
  readonly health: WorkerHealth;
  /** An incarnation was removed, and has no open runs any more; `announced` if it was known to be leaving. */
  readonly onRemoved: (worker: string, announced: boolean) => void;
  readonly changed: () => void;
}

/** State of an incarnation in the registry: registered, about to leave, or removed. */
export type WorkerPresence = 'registered' | 'leaving' | 'gone';

/** Follows the registry; an unregistered worker keeps its link until its runs have ended. */
export class Fleet {
  /** Links by incarnation; each worker has at most one. */
  private readonly links = new Map<string, WorkerLink>();
  /** Current incarnation of each worker, by worker id. */
  private readonly currentIncarnations = new Map<string, string>();
  /** Superseded incarnations by worker id; registry entries may still name them. */
  private readonly supersededIncarnations = new Map<string, Set<string>>();
  /** Superseded or removed incarnations whose removal has not been reported yet. */
  private readonly unreportedRemovals = new Set<string>();
  /** Ids of the workers that have a registry entry. */
  private listedWorkers = new Set<string>();
  /** Incarnations that have a registry entry and are not superseded. */
  private registeredIncarnations = new Set<string>();
  /** Times at which incarnations were first seen to be about to leave. */
  private readonly leavingSinceById = new Map<string, Instant>();
  /** Reasons why registry entries can't be read, by key. */
  private unreadableEntries = new Map<string, string>();
  private readonly versions = new WorkerVersions();
  private closed = false;
  private lastReadAt: Instant = -Infinity;

  /** Creates a fleet without workers. */
  constructor(private readonly options: FleetOptions) {}

  /** Monotonic time at which the last successful read of the registry was sent. */
  get knownAsOf(): Instant {
    return this.lastReadAt;
  }

  /** Follows the registry until the fleet is closed. */
  async follow(): Promise<void> {
    while (!this.closed) {
      const sentAt = this.options.ctx.clock();
      const found = await this.options.feed.refresh();
      if (found.kind === 'value') {
        this.lastReadAt = sentAt;
        this.applyRegistry(found.value.workers);
        this.noteUnreadable(found.value.unreadable);
      }
      await pause(this.options.ctx, REGISTRY_READ_INTERVAL_MS);
    }
  }

  /** Number of workers with a link. */
  get linkCount(): number {
    return this.links.size;
  }

  /** Returns the number of workers with a link that do not answer. */
  countSilent(): number {
    let count = 0;
    for (const { unresponsiveLeaseEnd } of this.links.values()) {
      count += Number(unresponsiveLeaseEnd !== undefined);
    }
    return count;
  }

  /** Returns the link to an incarnation, or undefined if it has none or was superseded. */
  link(worker: string): WorkerLink | undefined {
    return this.links.get(worker);
  }

  /** Returns the link to the current incarnation of a worker, given the id of any of its incarnations. */
  linkToCurrent(worker: string): WorkerLink | undefined {
    return this.links.get(
      this.currentIncarnations.get(workerIdOf(worker)) ?? '',
    );
  }

  /** Replaces the link to `before` after the incarnation `by` of the same worker has answered. */
  supersede(before: WorkerInfo, by: string): void {
    const worker = workerIdOf(by);
    if (!this.closed && this.currentIncarnations.get(worker) === before.id) {
      this.supersededIncarnations.get(worker)?.delete(by);
      this.openLink({ ...before, id: by, leaving: false });
    }
  }

  /**
   * Returns the monotonic time at which a worker was first seen to be about to leave, or undefined if it is
   * not leaving. Returns 0 if it was already leaving when this leader first read its entry, since the time is
   * unknown.
   */
  leavingSince(worker: string): Instant | undefined {
    return this.leavingSinceById.get(worker);
  }

  /**
   * Returns the registry state of an incarnation. A worker that is leaving may disappear together with its
   * runs.
   */
  presenceOf(incarnation: string): WorkerPresence {
    if (this.leavingSinceById.has(incarnation)) {
      return 'leaving';
    }
    const worker = workerIdOf(incarnation);
    const isCurrent =
      this.listedWorkers.has(worker) &&
      this.currentIncarnations.get(worker) === incarnation;
    return isCurrent ? 'registered' : 'gone';
  }

  /** Returns all registered workers. */
  registeredWorkers(): WorkerInfo[] {
    return [...this.links.values()]
      .map(({ info }) => info)
      .filter(({ id }) => this.registeredIncarnations.has(id));
  }

  /** Returns the workers that may be assigned tasks now. */
  planWorkers(): PlanWorker[] {
    return this.openWorkers().filter(({ info }) => !this.isEvacuated(info));
  }

  /** Returns the workers that could be assigned tasks now if their zones were not evacuated. */
  evacuatedWorkers(): PlanWorker[] {
    return this.openWorkers().filter(({ info }) => this.isEvacuated(info));
  }

  private isEvacuated({ availabilityZone }: WorkerInfo): boolean {
    return this.options.isEvacuated(availabilityZone);
  }

  private openWorkers(): PlanWorker[] {
    const { ctx, health } = this.options;
    const found: PlanWorker[] = [];
    const now = ctx.clock();
    for (const link of this.links.values()) {
      const { info } = link;
      const isOpen = !info.leaving && this.registeredIncarnations.has(info.id);
      if (isOpen && link.isUsableAt(now)) {
        const trust = health.trustIn(info.id, now);
        if (trust !== 'none') {
          found.push({ info, trusted: trust === 'full' });
        }
      }
    }
    return found;
  }

  /** Returns the newest worker versions of the services where a release is under way. */
  newestVersions(): NewestVersions | undefined {
    return this.versions.newestVersions(this.options.ctx.clock());
  }

  /** Closes all links. */
  close(): void {
    this.closed = true;
    this.options.ctx.meters.workerVersions([]);
    for (const link of this.links.values()) {
      link.close();
    }
  }

  private applyRegistry(workers: readonly WorkerInfo[]): void {
    if (this.closed) {
      return;
    }
    this.listedWorkers = new Set(workers.map(({ id }) => workerIdOf(id)));
    this.registeredIncarnations = new Set();
    for (const info of workers) {
      this.applyEntry(info);
    }
    this.removeUnlisted();
    this.reportRemovals();
    this.noteVersions(workers);
    this.options.changed();
  }

  private noteVersions(workers: readonly WorkerInfo[]): void {
    const { clock, log, meters } = this.options.ctx;
    const changes = this.versions.apply(workers, clock());
    for (const { kind, ...release } of changes) {
      log.info(release, `fleet: a release ${kind}`);
    }
    meters.workerVersions(this.versions.counts());
  }

  private applyEntry(info: WorkerInfo): void {
    const current = this.linkToCurrent(info.id);
    if (
      current === undefined ||
      this.isNewerIncarnation(info.id, current.info.id)
    ) {
      this.noteLeaving(info, current !== undefined);
      this.registeredIncarnations.add(info.id);
      this.openLink(info);
      return;
    }
    const { id } = current.info;
    if (info.id === id || startTimeOf(info.id) === undefined) {
      current.info = { ...info, id };
      this.noteLeaving(current.info, true);
      this.registeredIncarnations.add(id);
    }
  }

  /** Whether a registry entry names a newer incarnation than the known one; entries may be outdated. */
  private isNewerIncarnation(entryId: string, currentId: string): boolean {
    const entryStart = startTimeOf(entryId) ?? -Infinity;
    const currentStart = startTimeOf(currentId) ?? -Infinity;
    const isReplaced =
      this.supersededIncarnations.get(workerIdOf(entryId))?.has(entryId) ===
      true;
    return entryStart > currentStart && !isReplaced;
  }

  private openLink(info: WorkerInfo): void {
    const worker = workerIdOf(info.id);
    const before = this.linkToCurrent(info.id);
    if (before !== undefined) {
      this.closeSuperseded(before, info.id);
    }
    this.currentIncarnations.set(worker, info.id);
    this.links.set(info.id, this.options.openLink(info, before !== undefined));
  }

  private closeSuperseded(link: WorkerLink, by: string): void {
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
    const known = this.supersededIncarnations.get(worker) ?? new Set();
    this.supersededIncarnations.set(worker, known.add(id));
    this.unreportedRemovals.add(id);
  }

  private noteLeaving({ id, leaving }: WorkerInfo, known: boolean): void {
    if (!leaving) {
      this.leavingSinceById.delete(id);
    } else if (!this.leavingSinceById.has(id)) {
      this.leavingSinceById.set(id, known ? this.options.ctx.clock() : 0);
    }
  }

  /**
   * Logs unreadable entries. Such an entry adds no worker. Runs of a worker whose entry has become unreadable
   * continue, as on an unregistered worker: its lease is extended while it answers.
   */
  private noteUnreadable(entries: readonly UnreadableEntry[]): void {
    const { ctx } = this.options;
    const before = this.unreadableEntries;
    this.unreadableEntries = new Map(
      entries.map(({ id, reason }) => [id, reason]),
    );
    ctx.meters.unreadable('worker', entries.length);
    for (const [worker, reason] of this.unreadableEntries) {
      if (before.get(worker) !== reason) {
        ctx.log.warn({ worker, reason }, 'fleet: an entry can not be read');
      }
    }
  }

  private removeUnlisted(): void {
    const { ctx, state } = this.options;
    for (const [id, link] of this.links) {
      const worker = workerIdOf(id);
      if (
        !this.listedWorkers.has(worker) &&
        countOpenRunsAt(state, worker) === 0
      ) {
        ctx.log.info({ worker: id }, 'fleet: worker was removed');
        link.close();
        this.links.delete(id);
        this.currentIncarnations.delete(worker);
        this.supersededIncarnations.delete(worker);
        this.unreportedRemovals.add(id);
      }
    }
  }

  /** Reports removed incarnations once the outcome of all their runs is known. */
  private reportRemovals(): void {
    for (const id of this.unreportedRemovals) {
      if ((this.options.state.workers.get(id)?.runs.size ?? 0) === 0) {
        this.unreportedRemovals.delete(id);
        this.options.onRemoved(id, this.leavingSinceById.delete(id));
      }
    }
  }
}
