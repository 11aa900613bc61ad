/** A wait that an event or a time limit ends. */

/** Wakes its one waiter; a ring without a waiter is kept for the next one. */
export class Alarm {
  private rung = false;
  private wake: (() => void) | undefined;

  /** Ends the present wait, or the next one at once. */
  readonly ring = (): void => {
    this.rung = true;
    this.wake?.();
  };

  /** Resolves at the next ring, or after `ms` where that is given. */
  async wait(ms?: number): Promise<void> {
    if (!this.rung) {
      await new Promise<void>(resolve => {
        const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.wake = undefined;
    this.rung = false;
  }
}
