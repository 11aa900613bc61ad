/** The task aggregate: numbered attempts, at most one of which is in a place at a time. */
import type { Resources } from '../core/resources.js';
import type { Instant } from '../core/time.js';

import type { TaskId } from './ids.js';
import type { EvictionReason } from './records.js';

/** An attempt that is on a worker. */
export interface Placement {
  readonly worker: string;
  /** What is set aside for the attempt. */
  readonly size: Resources;
  readonly startedAtWall: Instant;
}

/** Where a task that is not finished stands. */
export type TaskState =
  | { readonly kind: 'queued'; readonly readyAtWall: Instant }
  | ({ readonly kind: 'running' } & Placement)
  | ({ readonly kind: 'evicting'; readonly reason: EvictionReason } & Placement)
  | { readonly kind: 'held'; readonly reason: string };

/** A task that was started, moved or held at least once; others are ranges in their job. */
export interface Task {
  readonly id: TaskId;
  readonly index: number;
  state: TaskState;
  /** Number of the latest attempt; 0 before the first. */
  attempts: number;
  failures: number;
  losses: number;
  moves: number;
  /** Instants of the latest evictions, oldest first. */
  evictedAtWall: readonly Instant[];
  checkpoint: string | undefined;
  /** Share of the work done as of the checkpoint. */
  progress: number;
  /** When the task last began to wait. */
  waitingSinceWall: Instant;
}

/** Evictions that a task remembers; budgets above this many an hour do not bind. */
const EVICTIONS_KEPT = 16;

const NO_EVICTIONS: readonly Instant[] = [];

/** Returns a task that waits for its first attempt. */
export function newTask(
  id: TaskId,
  index: number,
  waitingSinceWall: Instant,
): Task {
  return {
    id,
    index,
    state: { kind: 'queued', readyAtWall: waitingSinceWall },
    attempts: 0,
    failures: 0,
    losses: 0,
    moves: 0,
    evictedAtWall: NO_EVICTIONS,
    checkpoint: undefined,
    progress: 0,
    waitingSinceWall,
  };
}

/** Returns the placement of a task that is on a worker. */
export function placementOf(task: Task): Placement | undefined {
  switch (task.state.kind) {
    case 'running':
    case 'evicting':
      return task.state;
    case 'queued':
    case 'held':
      return undefined;
  }
}

/** Starts attempt `attempt` on a worker; false when it is not the next one or its checkpoint differs. */
export function startTask(
  task: Task,
  attempt: number,
  checkpoint: string | undefined,
  placement: Placement,
): boolean {
  const next = task.state.kind === 'queued' && attempt === task.attempts + 1;
  if (!next || checkpoint !== task.checkpoint) {
    return false;
  }
  task.attempts = attempt;
  task.state = { kind: 'running', ...placement };
  return true;
}

/** Marks the running attempt as being stopped; false when it is not running. */
export function evictTask(
  task: Task,
  attempt: number,
  reason: EvictionReason,
  atWall: Instant,
): boolean {
  if (task.state.kind !== 'running' || attempt !== task.attempts) {
    return false;
  }
  const { worker, size, startedAtWall } = task.state;
  task.state = { kind: 'evicting', reason, worker, size, startedAtWall };
  task.evictedAtWall = [...task.evictedAtWall, atWall].slice(-EVICTIONS_KEPT);
  return true;
}

/** Puts a task whose attempt ended back into the queue. */
export function requeueTask(
  task: Task,
  waitingSinceWall: Instant,
  readyAtWall: Instant,
): void {
  task.state = { kind: 'queued', readyAtWall };
  task.waitingSinceWall = waitingSinceWall;
}
