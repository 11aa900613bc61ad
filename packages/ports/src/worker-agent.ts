/** Port to the agent of a worker. */
import type { AppError, Resources } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** Fencing token of a command; the agent refuses one older than the newest it has seen for the shard. */
export interface Fence {
  readonly shard: string;
  readonly epoch: number;
  /** Position of the decision in the log. */
  readonly offset: number;
}

/** Identifies one attempt of a task. */
export interface AttemptRef {
  readonly task: string;
  readonly attempt: number;
}

/** Specification of an attempt to start. */
export interface StartSpec extends AttemptRef {
  readonly job: string;
  readonly size: Resources;
  readonly command: readonly string[];
  /** Checkpoint to resume from, if there is one. */
  readonly checkpoint?: string;
  /** Lease in milliseconds from receipt; the agent stops the task when it expires. */
  readonly leaseMs: number;
}

/** A command to an agent. */
export type AgentCommand =
  | { readonly kind: 'start'; readonly fence: Fence; readonly spec: StartSpec }
  | {
      readonly kind: 'stop';
      readonly fence: Fence;
      readonly ref: AttemptRef;
      readonly graceMs: number;
    }
  | {
      readonly kind: 'checkpoint';
      readonly fence: Fence;
      readonly ref: AttemptRef;
    }
  | {
      readonly kind: 'throttle';
      readonly fence: Fence;
      readonly ref: AttemptRef;
      readonly share: number;
    };

/** State of an attempt at its worker. */
export type AttemptState =
  'running' | 'stopping' | 'completed' | 'failed' | 'stopped';

/** Report on one attempt; an ended attempt is reported until it is acknowledged. */
export interface AttemptReport extends AttemptRef {
  readonly job: string;
  readonly state: AttemptState;
  /** Measured resource usage, delayed by `WorkerReport.lagMs`. */
  readonly usage: Resources;
  /** Fraction of the work done, 0 to 1, as of the last checkpoint. */
  readonly progress: number;
  readonly checkpoint?: string;
  readonly message?: string;
}

/** Report of a worker; `boot` changes when the agent restarts, which ends all its tasks. */
export interface WorkerReport {
  readonly worker: string;
  readonly boot: string;
  readonly attempts: readonly AttemptReport[];
  /** Age of the usage figures in milliseconds. */
  readonly lagMs: number;
}

/** Renews the leases of attempts on a worker and acknowledges ended ones. */
export interface SyncRequest {
  readonly fence: Fence;
  readonly renew: readonly AttemptRef[];
  readonly leaseMs: number;
  readonly acknowledge: readonly AttemptRef[];
}

/** Client of worker agents; `address` is the agent's `ip:port`. */
export interface WorkerAgent {
  /**
   * Sends a command; commands are idempotent per attempt. Fails with `conflict` if the agent has seen a newer
   * fence, and with `backend_failed` and outcome `unknown` if it does not answer.
   */
  command(
    address: string,
    command: AgentCommand,
  ): Promise<Result<void, AppError>>;
  /** Renews leases, acknowledges ended attempts and returns the worker's report. */
  sync(
    address: string,
    req: SyncRequest,
  ): Promise<Result<WorkerReport, AppError>>;
}
