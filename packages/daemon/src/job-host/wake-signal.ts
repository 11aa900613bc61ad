/** A wait that ends on a signal or a timeout. */
import type { Millis, Schedule } from '@paddlewind/domain';

/** Wakes a single waiter; a signal without a waiter ends the next wait immediately. */
export class WakeSignal {
  private isPending = false;
  private endWait: (() => void) | undefined;

  /** Creates a signal that uses `schedule` for the timeouts of its waits. */
  constructor(private readonly schedule: Schedule) {}

  /** Ends the current wait, or the next one if nobody is waiting. */
  readonly notify = (): void => {
    this.isPending = true;
    this.endWait?.();
  };

  /** Resolves on the next signal, or after `span` if given. */
  async wait(span?: Millis): Promise<void> {
    if (!this.isPending) {
      await new Promise<void>(resolve => {
        const cancel =
          span === undefined ? undefined : this.schedule(span, resolve);
        this.endWait = () => {
          cancel?.();
          resolve();
        };
      });
    }
    this.endWait = undefined;
    this.isPending = false;
  }
}
