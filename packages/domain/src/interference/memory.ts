/** History of the policy's actions, which limits how often they change. */
import type { Instant, Millis } from '../core/time.js';

const HOUR_MS = 3_600_000;

/** Maximum numbers of entries. */
const MAX_TASKS = 8_192;
const MAX_STEERS = 4_096;

/** Maximum changes per hour to the share of a task or the weight of a backend server. */
export const MAX_CHANGES_PER_HOUR = 24;

/** Changes per hour that increases leave unused, so that the share can still be cut to its minimum. */
const RESERVED_CUTS = 4;

/** Time for which a level is kept before it is raised; multiplied by the backoff for each change of the last hour. */
const RAISE_DWELL_MS = 15_000;
const RAISE_BACKOFF = 1.25;

/** History of a task across its attempts. */
export interface TaskHistory {
  changedAt: Instant;
  /** Time since which the task has been throttled; undefined while it is not. */
  throttledSince: Instant | undefined;
  changes: Instant[];
  evictions: Instant[];
  seenAt: Instant;
}

/** Steering history of a service on a worker. */
export interface SteerHistory {
  readonly service: string;
  readonly worker: string;
  weight: number;
  changedAt: Instant;
  changes: Instant[];
  seenAt: Instant;
}

/** State of the policy, bounded in size. */
export interface PolicyMemory {
  readonly tasks: Map<string, TaskHistory>;
  readonly steers: Map<string, SteerHistory>;
  /** Time of the last cut to a task's share, by worker. */
  readonly lastCutAt: Map<string, Instant>;
  evictionTokens: number;
  tokensRefilledAt: Instant | undefined;
}

/** Creates an empty memory. */
export function createPolicyMemory(): PolicyMemory {
  return {
    tasks: new Map(),
    steers: new Map(),
    lastCutAt: new Map(),
    evictionTokens: 1,
    tokensRefilledAt: undefined,
  };
}

/** Returns the history of a task, creating it if needed; undefined if the limit is reached. */
export function taskHistory(
  memory: PolicyMemory,
  task: string,
  share: number,
  now: Instant,
): TaskHistory | undefined {
  let history = memory.tasks.get(task);
  if (history === undefined) {
    if (memory.tasks.size >= MAX_TASKS) {
      return undefined;
    }
    history = {
      changedAt: -Infinity,
      throttledSince: share < 1 ? now : undefined,
      changes: [],
      evictions: [],
      seenAt: now,
    };
    memory.tasks.set(task, history);
  }
  history.seenAt = now;
  return history;
}

/** Returns the history of a service on a worker, creating it if needed; undefined if the limit is reached. */
export function steerHistory(
  memory: PolicyMemory,
  service: string,
  worker: string,
  now: Instant,
): SteerHistory | undefined {
  const key = `${service} ${worker}`;
  let history = memory.steers.get(key);
  if (history === undefined) {
    if (memory.steers.size >= MAX_STEERS) {
      return undefined;
    }
    history = {
      service,
      worker,
      weight: 1,
      changedAt: -Infinity,
      changes: [],
      seenAt: now,
    };
    memory.steers.set(key, history);
  }
  history.seenAt = now;
  return history;
}

/** Reduced weight of a service's backend server. */
export interface SteeredWeight {
  readonly service: string;
  readonly worker: string;
  readonly weight: number;
}

/** Returns the backend servers with a reduced weight. */
export function steeredWeights(memory: PolicyMemory): SteeredWeight[] {
  return [...memory.steers.values()].filter(steer => steer.weight < 1);
}

/** Returns the instants that lie within the last hour. */
export function withinLastHour(instants: Instant[], now: Instant): Instant[] {
  return instants.filter(at => now - at < HOUR_MS);
}

/** Returns whether a share or weight may be decreased now. */
export function canDecrease(
  history: { readonly changes: Instant[] },
  now: Instant,
): boolean {
  return withinLastHour(history.changes, now).length < MAX_CHANGES_PER_HOUR;
}

/** Returns whether a share or weight may be increased now. */
export function canIncrease(
  history: { readonly changes: Instant[]; readonly changedAt: Instant },
  now: Instant,
): boolean {
  const changes = withinLastHour(history.changes, now).length;
  const dwellMs = RAISE_DWELL_MS * RAISE_BACKOFF ** changes;
  return (
    changes + 1 + RESERVED_CUTS <= MAX_CHANGES_PER_HOUR &&
    now - history.changedAt >= dwellMs
  );
}

/** Records a change; several changes at the same instant count as one. */
export function recordChange(
  history: { changes: Instant[]; changedAt: Instant },
  now: Instant,
): void {
  if (history.changedAt !== now) {
    history.changes = [...withinLastHour(history.changes, now), now];
  }
  history.changedAt = now;
}

/** Adds eviction tokens for the time since the last call; at most a sixth of `perHour`, or one, accumulate. */
export function refillEvictionTokens(
  memory: PolicyMemory,
  perHour: number,
  now: Instant,
): void {
  const elapsed: Millis = Math.max(0, now - (memory.tokensRefilledAt ?? now));
  memory.tokensRefilledAt = now;
  const maxTokens = Math.max(1, perHour / 6);
  const added = (perHour * elapsed) / HOUR_MS;
  memory.evictionTokens = Math.min(maxTokens, memory.evictionTokens + added);
}

/** Deletes entries that were not seen for an hour. */
export function dropStaleEntries(memory: PolicyMemory, now: Instant): void {
  for (const map of [memory.tasks, memory.steers]) {
    for (const [key, entry] of map) {
      if (now - entry.seenAt > HOUR_MS) {
        map.delete(key);
      }
    }
  }
  for (const [worker, at] of memory.lastCutAt) {
    if (now - at > HOUR_MS) {
      memory.lastCutAt.delete(worker);
    }
  }
}
