/** Tells for each service whether a release is under way, and which version of its workers is the newest. */
import type { Instant, Millis } from '../core/time.js';
import { workerIdOf } from './incarnation.js';

/** Time for which a departure counts as recent: the next workers of the same release announce theirs by then. */
const RECENT_DEPARTURE_MS: Millis = 10_000;

/** Time without workers after which a version is forgotten; a worker that restarts is back within it. */
const FORGET_AFTER_MS: Millis = 10_000;

/** Most versions of a service that are listed separately, so that metrics and log lines are bounded. */
const MAX_LISTED_VERSIONS = 8;

/** Name under which the workers of the oldest versions are summed where there are too many. */
export const OTHER_VERSIONS = '(others)';

/** What is read of a worker's registry entry. */
export interface VersionedWorker {
  /** Identifies one incarnation of a worker. */
  readonly id: string;
  readonly service: string;
  readonly version?: string | undefined;
  readonly leaving: boolean;
}

/** Number of registered workers of a service by version; the oldest of many versions are summed. */
export interface ServiceVersions {
  readonly service: string;
  readonly workers: Readonly<Record<string, number>>;
}

/** A release that has begun, or has ended; one whose newest version changes begins again. */
export interface ReleaseChange extends ServiceVersions {
  readonly kind: 'began' | 'ended';
  readonly newest: string;
}

/** Newest version by service, of those services where a release is under way. */
export type NewestVersions = ReadonlyMap<string, string>;

/** Follows the versions of all services by the registry. */
export class WorkerVersions {
  private readonly services = new Map<string, VersionHistory>();

  /** Applies a reading of the whole registry; returns the releases that have begun or ended. */
  apply(workers: readonly VersionedWorker[], now: Instant): ReleaseChange[] {
    const byService = new Map<string, VersionedWorker[]>();
    for (const service of this.services.keys()) {
      byService.set(service, []);
    }
    for (const worker of workers) {
      const found = byService.get(worker.service) ?? [];
      found.push(worker);
      byService.set(worker.service, found);
    }
    const changes: ReleaseChange[] = [];
    for (const [service, found] of byService) {
      const history = this.services.get(service) ?? new VersionHistory(service);
      changes.push(...history.apply(found, now));
      if (history.isEmpty) {
        this.services.delete(service);
      } else {
        this.services.set(service, history);
      }
    }
    return changes;
  }

  /** Returns the newest version of each service whose release is under way; undefined if there is none. */
  newestVersions(now: Instant): NewestVersions | undefined {
    const found = new Map<string, string>();
    for (const [service, history] of this.services) {
      const newest = history.newestDuringRelease(now);
      if (newest !== undefined) {
        found.set(service, newest);
      }
    }
    return found.size === 0 ? undefined : found;
  }

  /** Returns the registered workers of each service by version. */
  counts(): ServiceVersions[] {
    return [...this.services.values()].map(history => history.counts());
  }
}

/** What is known of a version of one service. */
interface VersionState {
  readonly version: string;
  workers: number;
  leaving: number;
  /** End of the time in which its last announced departure counts as recent. */
  departedUntil: Instant;
  /** When it is forgotten, if it has no workers by then. */
  forgetAt: Instant;
}

/** The versions of one service in the order of their first workers. */
class VersionHistory {
  private versions: VersionState[] = [];
  /** Workers with a version at the last reading, by incarnation. */
  private lastWorkers = new Map<string, VersionedWorker>();
  private lastNewest: string | undefined;

  constructor(private readonly service: string) {}

  /** Whether nothing is known that a later reading depends on. */
  get isEmpty(): boolean {
    return this.versions.length === 0;
  }

  apply(workers: readonly VersionedWorker[], now: Instant): ReleaseChange[] {
    const versioned = workers.filter(({ version = '' }) => version !== '');
    const current = new Map(versioned.map(worker => [worker.id, worker]));
    const isFirst = this.isEmpty;
    this.noteDepartures(current, now);
    this.countWorkers(versioned, now);
    if (!isFirst) {
      this.noteRollback(versioned, now);
    }
    this.versions = this.versions.filter(
      ({ workers: count, forgetAt }) => count > 0 || now < forgetAt,
    );
    this.lastWorkers = current;
    return this.noteRelease(now);
  }

  /** Returns the newest version while a release is under way, otherwise undefined. */
  newestDuringRelease(now: Instant): string | undefined {
    const registered = this.versions.filter(({ workers }) => workers > 0);
    const newest = registered.at(-1);
    if (newest === undefined || registered.length < 2) {
      return undefined;
    }
    const older = this.versions.slice(0, this.versions.indexOf(newest));
    return older.some(state => isDeparting(state, now))
      ? newest.version
      : undefined;
  }

  counts(): ServiceVersions {
    const registered = this.versions.filter(({ workers }) => workers > 0);
    const newestFirst = registered.reverse();
    const areFew = newestFirst.length <= MAX_LISTED_VERSIONS;
    const listed = areFew
      ? newestFirst
      : newestFirst.slice(0, MAX_LISTED_VERSIONS - 1);
    const rows = listed.map(state => [state.version, state.workers] as const);
    const others = newestFirst.slice(listed.length);
    const sum = others.reduce((total, { workers }) => total + workers, 0);
    const workers = Object.fromEntries(
      sum === 0 ? rows : [...rows, [OTHER_VERSIONS, sum] as const],
    );
    return { service: this.service, workers };
  }

  /** Notes the workers that had announced their departure and are gone; others have crashed. */
  private noteDepartures(
    current: ReadonlyMap<string, VersionedWorker>,
    now: Instant,
  ): void {
    for (const { id, version, leaving } of this.lastWorkers.values()) {
      if (leaving && !current.has(id)) {
        const state = this.versions.find(known => known.version === version);
        if (state !== undefined) {
          state.departedUntil = now + RECENT_DEPARTURE_MS;
        }
      }
    }
  }

  private countWorkers(
    workers: readonly VersionedWorker[],
    now: Instant,
  ): void {
    const states = new Map(this.versions.map(state => [state.version, state]));
    for (const state of states.values()) {
      state.workers = 0;
      state.leaving = 0;
    }
    const appeared: VersionState[] = [];
    for (const { version = '', leaving } of workers) {
      let state = states.get(version);
      if (state === undefined) {
        state = newVersionState(version);
        states.set(version, state);
        appeared.push(state);
      }
      state.workers += 1;
      state.leaving += leaving ? 1 : 0;
      state.forgetAt = now + FORGET_AFTER_MS;
    }
    this.versions.push(...appeared.sort(compareAppeared));
  }

  /**
   * Recognizes the rollback of a release that has replaced only some workers: a worker of an older version is
   * registered while only workers of the newest one depart. That version then counts as the newest.
   */
  private noteRollback(
    workers: readonly VersionedWorker[],
    now: Instant,
  ): void {
    const newest = this.versions.at(-1);
    const departing = this.versions.filter(state => isDeparting(state, now));
    if (departing.length !== 1 || departing[0] !== newest) {
      return;
    }
    const before = new Set([...this.lastWorkers.values()].map(nameOf));
    const joined = new Set(
      workers
        .filter(worker => !before.has(nameOf(worker)))
        .map(({ version }) => version),
    );
    const returned = this.versions.filter(
      state => state !== newest && joined.has(state.version),
    );
    if (returned.length > 0 && !joined.has(newest?.version)) {
      const others = this.versions.filter(state => !returned.includes(state));
      this.versions = [...others, ...returned];
    }
  }

  private noteRelease(now: Instant): ReleaseChange[] {
    const before = this.lastNewest;
    const newest = this.newestDuringRelease(now);
    this.lastNewest = newest;
    if (newest === before) {
      return [];
    }
    const changes: ReleaseChange[] = [];
    if (before !== undefined) {
      changes.push({ kind: 'ended', newest: before, ...this.counts() });
    }
    if (newest !== undefined) {
      changes.push({ kind: 'began', newest, ...this.counts() });
    }
    return changes;
  }
}

function newVersionState(version: string): VersionState {
  return {
    version,
    workers: 0,
    leaving: 0,
    departedUntil: -Infinity,
    forgetAt: -Infinity,
  };
}

/** Returns the name of a worker in one version, whichever its incarnation. */
function nameOf({ id, version = '' }: VersionedWorker): string {
  return JSON.stringify([workerIdOf(id), version]);
}

/** Whether a worker of the version is leaving, or has left recently after it had announced that. */
function isDeparting(
  { leaving, departedUntil }: VersionState,
  now: Instant,
): boolean {
  return leaving > 0 || now < departedUntil;
}

/** Orders versions that were found by the same reading: those of which workers leave are the older ones. */
function compareAppeared(a: VersionState, b: VersionState): number {
  const byLeaving = Number(b.leaving > 0) - Number(a.leaving > 0);
  return byLeaving === 0 ? compareVersions(a.version, b.version) : byLeaving;
}

const COLLATOR = new Intl.Collator('en', { numeric: true });

/** Compares versions with their numbers as numbers; any strings are ordered in the same way everywhere. */
export function compareVersions(a: string, b: string): number {
  const order = COLLATOR.compare(a, b);
  if (order !== 0 || a === b) {
    return order;
  }
  return a < b ? -1 : 1;
}
