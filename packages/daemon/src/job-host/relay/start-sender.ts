/** How starts reach workers. */
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

/** Sends starts to workers. */
export interface StartSender {
  /** Gets ready to send, until it is closed. */
  begin(): Promise<void>;
  /** Ends what `begin` keeps up. */
  close(): void;
  /** Whether starts wait for their turns. */
  readonly isBusy: boolean;
  /** How many starts may be under way: more would wait for too long. */
  readonly mostStarts: number;
  /** Sends a start; one that took a while is sent again only while `isWanted`. */
  send(
    worker: WorkerAddress,
    order: StartOrder,
    isWanted: () => boolean,
  ): Promise<StartResult>;
}
