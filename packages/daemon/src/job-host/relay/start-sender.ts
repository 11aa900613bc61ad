/** How starts reach workers. */
import type { Instant } from '@paddlewind/domain';
import type {
  OrderResult,
  StartOrder,
  WorkerAddress,
} from '@paddlewind/ports/jobs';

/** What became of a start. */
export type StartResult =
  | OrderResult
  /** It may have been carried out, or may still be; that says nothing of whether the worker answers. */
  | { readonly kind: 'unsure'; readonly reason: string }
  /** Nothing was done, nor will be: it was not wanted any more when it could have been sent. */
  | { readonly kind: 'not_wanted' };

/** Until when a start is of use. */
export interface StartLimits {
  /** Whether it is still to be sent. */
  readonly isWanted: () => boolean;
  /** Latest time at which it is sent, whoever sends it: what was checked before holds until then. */
  readonly sendBy: Instant;
}

/** Sends starts to workers. */
export interface StartSender {
  /** Gets ready to send, until it is closed. */
  begin(): Promise<void>;
  /** Ends what `begin` keeps up. */
  close(): void;
  /** Whether starts wait for their turns. */
  readonly isBusy: boolean;
  /** How many starts may be under way: more would wait for too long. */
  readonly maxStarts: number;
  /** Sends a start, within its limits also again. */
  send(
    worker: WorkerAddress,
    order: StartOrder,
    limits: StartLimits,
  ): Promise<StartResult>;
}
