/** Orders to one worker, sent one at a time in the order given. */

/** Sends orders in turn. */
export class OrderQueue {
  private readonly orders: (() => Promise<void>)[] = [];
  private sending = false;
  private closed = false;

  /** Sends `order` after all that were added before. */
  add(order: () => Promise<void>): void {
    this.orders.push(order);
    if (!this.sending) {
      void this.sendAll();
    }
  }

  /** Sends nothing more. */
  close(): void {
    this.closed = true;
    this.orders.length = 0;
  }

  private async sendAll(): Promise<void> {
    this.sending = true;
    for (;;) {
      const order = this.orders.shift();
      if (order === undefined || this.closed) {
        break;
      }
      await order();
    }
    this.sending = false;
  }
}
