/** What the policy remembers of its actions, so that it does not flap. */
import type { Instant, Millis } from '../core/time.js';

const HOUR_MS = 3_600_000;

/** Bounds of the state. */
const MAX_TASKS = 8_192;
const MAX_STEERS = 4_096;

/** Changes of one task's share, or of one backend server's weight, in an hour at most. */
export const MAX_CHANGES_PER_HOUR = 24;

/** Changes that a raise leaves over, so that every cut down to the least share stays possible. */
const CUTS_KEPT = 4;

/** Time that a level is kept before it is raised; grows with every change of the last hour. */
const RAISE_DWELL_MS = 15_000;
const RAISE_BACKOFF = 1.25;

/** What is remembered of a task, over its attempts. */
export interface TaskMemory {
  changedAt: Instant;
  /** Since when the task has been throttled; undefined while it is not. */
  throttledSince: Instant | undefined;
  changes: Instant[];
  evictions: Instant[];
  seenAt: Instant;
}

/** What is remembered of a service on a worker. */
export interface SteerMemory {
  readonly service: string;
  readonly worker: string;
  weight: number;
  changedAt: Instant;
  changes: Instant[];
  seenAt: Instant;
}

/** Memory of the policy; bounded. */
export interface PolicyMemory {
  readonly tasks: Map<string, TaskMemory>;
  readonly steers: Map<string, SteerMemory>;
  /** When a worker's tasks were last throttled further. */
  readonly settledAt: Map<string, Instant>;
  evictionTokens: number;
  tokensAt: Instant | undefined;
}

/** Builds an empty memory. */
export function createPolicyMemory(): PolicyMemory {
  return {
    tasks: new Map(),
    steers: new Map(),
    settledAt: new Map(),
    evictionTokens: 1,
    tokensAt: undefined,
  };
}

/** Returns the memory of a task, started from the share seen; undefined when there is no room. */
export function taskMemory(
  memory: PolicyMemory,
  task: string,
  share: number,
  now: Instant,
): TaskMemory | undefined {
  let known = memory.tasks.get(task);
  if (known === undefined) {
    if (memory.tasks.size >= MAX_TASKS) {
      return undefined;
    }
    known = {
      changedAt: -Infinity,
      throttledSince: share < 1 ? now : undefined,
      changes: [],
      evictions: [],
      seenAt: now,
    };
    memory.tasks.set(task, known);
  }
  known.seenAt = now;
  return known;
}

/** Returns the memory of a service on a worker; undefined when there is no room. */
export function steerMemory(
  memory: PolicyMemory,
  service: string,
  worker: string,
  now: Instant,
): SteerMemory | undefined {
  const key = `${service} ${worker}`;
  let known = memory.steers.get(key);
  if (known === undefined) {
    if (memory.steers.size >= MAX_STEERS) {
      return undefined;
    }
    known = {
      service,
      worker,
      weight: 1,
      changedAt: -Infinity,
      changes: [],
      seenAt: now,
    };
    memory.steers.set(key, known);
  }
  known.seenAt = now;
  return known;
}

/** A service's backend server that gets fewer requests. */
export interface SteeredWeight {
  readonly service: string;
  readonly worker: string;
  readonly weight: number;
}

/** Lists the backend servers that are steered away from. */
export function steeredWeights(memory: PolicyMemory): SteeredWeight[] {
  return [...memory.steers.values()].filter(steer => steer.weight < 1);
}

/** Returns the instants of the last hour. */
export function withinHour(instants: Instant[], now: Instant): Instant[] {
  return instants.filter(at => now - at < HOUR_MS);
}

/** Tells whether a share or weight may fall now. */
export function mayLower(
  known: { readonly changes: Instant[] },
  now: Instant,
): boolean {
  return withinHour(known.changes, now).length < MAX_CHANGES_PER_HOUR;
}

/** Tells whether a share or weight may rise now. */
export function mayRaise(
  known: { readonly changes: Instant[]; readonly changedAt: Instant },
  now: Instant,
): boolean {
  const changes = withinHour(known.changes, now).length;
  const dwellMs = RAISE_DWELL_MS * RAISE_BACKOFF ** changes;
  return (
    changes + 1 + CUTS_KEPT <= MAX_CHANGES_PER_HOUR &&
    now - known.changedAt >= dwellMs
  );
}

/** Notes a change; several at one instant count once. */
export function noteChange(
  known: { changes: Instant[]; changedAt: Instant },
  now: Instant,
): void {
  if (known.changedAt !== now) {
    known.changes = [...withinHour(known.changes, now), now];
  }
  known.changedAt = now;
}

/** Adds eviction tokens for the time since the last call; `perHour` is also near the most kept. */
export function refillTokens(
  memory: PolicyMemory,
  perHour: number,
  now: Instant,
): void {
  const elapsed: Millis = Math.max(0, now - (memory.tokensAt ?? now));
  memory.tokensAt = now;
  const most = Math.max(1, perHour / 6);
  const added = (perHour * elapsed) / HOUR_MS;
  memory.evictionTokens = Math.min(most, memory.evictionTokens + added);
}

/** Forgets what was not seen for an hour. */
export function forgetOld(memory: PolicyMemory, now: Instant): void {
  for (const map of [memory.tasks, memory.steers]) {
    for (const [key, entry] of map) {
      if (now - entry.seenAt > HOUR_MS) {
        map.delete(key);
      }
    }
  }
  for (const [worker, at] of memory.settledAt) {
    if (now - at > HOUR_MS) {
      memory.settledAt.delete(worker);
    }
  }
}
