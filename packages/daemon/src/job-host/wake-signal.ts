/** A wait that an event or a time limit ends. */
import type { Millis, Schedule } from '@paddlewind/domain';

/** Wakes its one waiter; a ring without a waiter is kept for the next one. */
export class WakeSignal {
  private rung = false;
  private wake: (() => void) | undefined;

  /** Creates an alarm whose waits are limited by the timers of `schedule`. */
  constructor(private readonly schedule: Schedule) {}

  /** Ends the present wait, or the next one at once. */
  readonly notify = (): void => {
    this.rung = true;
    this.wake?.();
  };

  /** Resolves at the next ring, or after `span` where that is given. */
  async wait(span?: Millis): Promise<void> {
    if (!this.rung) {
      await new Promise<void>(resolve => {
        const cancel =
          span === undefined ? undefined : this.schedule(span, resolve);
        this.wake = () => {
          cancel?.();
          resolve();
        };
      });
    }
    this.wake = undefined;
    this.rung = false;
  }
}
