/** The agent of a worker as the rest of the system sees it. */
import type { AppError, Resources } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** Orders commands of successive shard owners; the agent refuses one older than it has seen. */
export interface Fence {
  readonly shard: string;
  readonly epoch: number;
  /** Position of the decision in the log. */
  readonly offset: number;
}

/** Names one attempt of one task. */
export interface AttemptRef {
  readonly task: string;
  readonly attempt: number;
}

/** What a started attempt runs. */
export interface StartSpec extends AttemptRef {
  readonly job: string;
  readonly size: Resources;
  readonly command: readonly string[];
  /** Checkpoint to resume from, where there is one. */
  readonly checkpoint?: string;
  /** Lease of the task in milliseconds from receipt; the agent stops the task when it lapses. */
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

/** How an attempt stands at its worker. */
export type AttemptState =
  'running' | 'stopping' | 'completed' | 'failed' | 'stopped';

/** Report on one attempt; ended attempts are reported until acknowledged. */
export interface AttemptReport extends AttemptRef {
  readonly job: string;
  readonly state: AttemptState;
  /** Observed use, with the platform's lag. */
  readonly usage: Resources;
  /** Share of the work done, 0 to 1, as of the last checkpoint. */
  readonly progress: number;
  readonly checkpoint?: string;
  readonly message?: string;
}

/** Report of a worker; `boot` changes when the agent restarts and its tasks are gone. */
export interface WorkerReport {
  readonly worker: string;
  readonly boot: string;
  readonly attempts: readonly AttemptReport[];
  /** Age of the usage figures in milliseconds. */
  readonly lagMs: number;
}

/** A renewal of the leases of attempts on a worker, with ended attempts that are recorded. */
export interface SyncRequest {
  readonly fence: Fence;
  readonly renew: readonly AttemptRef[];
  readonly leaseMs: number;
  readonly acknowledge: readonly AttemptRef[];
}

/** Commands one worker; `address` is the agent's `ip:port`. */
export interface WorkerAgent {
  /**
   * Sends a command; commands are idempotent by attempt.
   * Fails with `conflict` when the fence is older than one seen, `backend_failed` with outcome `unknown` when unanswered.
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
