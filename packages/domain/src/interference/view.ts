/** What the policy sees of the workers of a shard, and the actions that it asks for. */
import type { Instant } from '../core/time.js';

/** A service and its objective. */
export interface ServiceView {
  readonly name: string;
  /** Share of requests that must be good, such as 0.99. */
  readonly target: number;
  readonly latencyMs: number;
}

/** A batch task that runs on a worker. */
export interface BatchTaskView {
  readonly task: string;
  readonly attempt: number;
  readonly batchClass: string;
  /** Cores in use when not throttled: observed where reported, else declared. */
  readonly cores: number;
  /** Share that the task is throttled to now, 1 for not at all. */
  readonly share: number;
  readonly preemptible: boolean;
  readonly evictionsPerHour: number;
  /** Work since the last checkpoint, in seconds; lost if the checkpoint on eviction fails. */
  readonly uncheckpointedSeconds: number;
  readonly startedAt: Instant;
}

/** A worker with the services whose backend servers it runs. */
export interface WorkerView {
  readonly name: string;
  readonly cores: number;
  /** Cores that no task or service holds. */
  readonly freeCores: number;
  readonly services: readonly string[];
  readonly tasks: readonly BatchTaskView[];
}

/** What the policy decides on. */
export interface InterferenceView {
  readonly services: readonly ServiceView[];
  readonly workers: readonly WorkerView[];
}

/** Why an action is asked for. */
export type ActionReason =
  'objective_at_risk' | 'objective_safe' | 'runs_better_elsewhere';

/** Asks routers to send a service's backend server fewer requests, or more again. */
export interface SteerAction {
  readonly kind: 'steer';
  readonly service: string;
  readonly worker: string;
  /** 1 for a full part of the requests, towards 0 for none. */
  readonly weight: number;
  readonly reason: ActionReason;
}

/** Asks a worker to run an attempt at a share of its cores. */
export interface ThrottleAction {
  readonly kind: 'throttle';
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  readonly share: number;
  readonly reason: ActionReason;
}

/** Asks for a checkpoint and an eviction of an attempt. */
export interface EvictAction {
  readonly kind: 'evict';
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  readonly reason: ActionReason;
}

/** What the policy asks for, by rising cost. */
export type Action = SteerAction | ThrottleAction | EvictAction;
