/** Input of the interference policy, the workers of a shard, and the actions that it returns. */
import type { Instant } from '../core/time.js';

/** A service and its objective. */
export interface ServiceView {
  readonly name: string;
  /** Required share of good requests, such as 0.99. */
  readonly target: number;
  readonly latencyMs: number;
}

/** A batch task running on a worker. */
export interface BatchTaskView {
  readonly task: string;
  readonly attempt: number;
  readonly batchClass: string;
  /** Cores used when not throttled: as reported, or else as declared. */
  readonly cores: number;
  /** Share to which the task is currently throttled; 1 if it is not. */
  readonly share: number;
  readonly preemptible: boolean;
  readonly evictionsPerHour: number;
  /** Work since the last checkpoint in seconds, lost if the checkpoint on eviction fails. */
  readonly uncheckpointedSeconds: number;
  readonly startedAt: Instant;
}

/** A worker with its batch tasks and the services whose backend servers it runs. */
export interface WorkerView {
  readonly name: string;
  readonly cores: number;
  /** Cores not allocated to a task or service. */
  readonly freeCores: number;
  readonly services: readonly string[];
  readonly tasks: readonly BatchTaskView[];
}

/** Services and workers for which the policy decides. */
export interface InterferenceView {
  readonly services: readonly ServiceView[];
  readonly workers: readonly WorkerView[];
}

/** Reason for an action. */
export type ActionReason =
  'objective_at_risk' | 'objective_safe' | 'runs_better_elsewhere';

/** Sets the weight with which routers send requests to a service's backend server. */
export interface SteerAction {
  readonly kind: 'steer';
  readonly service: string;
  readonly worker: string;
  /** 1 for a full share of the requests, less for fewer. */
  readonly weight: number;
  readonly reason: ActionReason;
}

/** Throttles an attempt to a share of its cores. */
export interface ThrottleAction {
  readonly kind: 'throttle';
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  readonly share: number;
  readonly reason: ActionReason;
}

/** Checkpoints and evicts an attempt. */
export interface EvictAction {
  readonly kind: 'evict';
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
  readonly reason: ActionReason;
}

/** An action of the policy, in order of rising cost. */
export type Action = SteerAction | ThrottleAction | EvictAction;
