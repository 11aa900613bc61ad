/** Interface of the senders of start commands. */
import type { Instant } from '@paddlewind/domain';
import type {
  OrderResult,
  StartOrder,
  WorkerAddress,
} from '@paddlewind/ports/jobs';

/** Result of a start command. */
export type StartResult =
  | OrderResult
  /** It may have been carried out or may still be; this says nothing about whether the worker answers. */
  | { readonly kind: 'unsure'; readonly reason: string }
  /** Nothing was or will be done: the start was no longer wanted when it could have been sent. */
  | { readonly kind: 'not_wanted' };

/** Limits within which a start may be sent. */
export interface StartLimits {
  /** Whether the start should still be sent. */
  readonly isWanted: () => boolean;
  /** Latest time at which any host may send it; the checks made before hold until then. */
  readonly sendBy: Instant;
}

/** Sends start commands to workers. */
export interface StartSender {
  /** Keeps the sender ready until it is closed. */
  begin(): Promise<void>;
  /** Stops keeping the sender ready. */
  close(): void;
  /** Whether starts wait for their turn. */
  readonly hasWaitingStarts: boolean;
  /** Maximum number of starts in flight; more would wait too long. */
  readonly maxStarts: number;
  /** Number of starts to a worker that may be sent at once, and are carried out in this order. */
  widthFor(worker: WorkerAddress): number;
  /** Sends a start, retrying within its limits. */
  send(
    worker: WorkerAddress,
    order: StartOrder,
    limits: StartLimits,
  ): Promise<StartResult>;
}
