/** Orders to one worker, sent one at a time: stops first, then limits, then starts. */
import type { Run } from '@paddlewind/domain/jobs';

/** What an order does to its run. */
export type OrderKind = 'stop' | 'throttle' | 'start';

/**
 * Stops and limits protect what runs and whoever waits for an end; behind starts they would wait for
 * as long as a slow worker takes to answer these.
 */
const BY_URGENCY: readonly OrderKind[] = ['stop', 'throttle', 'start'];

/** An order that waits for its turn. */
export interface Order {
  readonly kind: OrderKind;
  readonly run: Run;
  /** Sends it, and resolves once its outcome is known. */
  readonly send: () => Promise<void>;
}

/** Sends orders in turn, those of one kind in the order given. */
export class OrderQueue {
  private readonly orders: Record<OrderKind, Order[]> = {
    stop: [],
    throttle: [],
    start: [],
  };
  private sending = false;
  private closed = false;

  /** Sends `order` when its turn comes. */
  add(order: Order): void {
    if (this.closed) {
      return;
    }
    this.orders[order.kind].push(order);
    if (!this.sending) {
      void this.sendAll();
    }
  }

  /** Takes an order back that was not sent yet; false when none waits. */
  takeBack(kind: OrderKind, run: Run): boolean {
    const waiting = this.orders[kind];
    const at = waiting.findIndex(order => order.run === run);
    if (at === -1) {
      return false;
    }
    waiting.splice(at, 1);
    return true;
  }

  /** Sends nothing more. */
  close(): void {
    this.closed = true;
    for (const kind of BY_URGENCY) {
      this.orders[kind].length = 0;
    }
  }

  private async sendAll(): Promise<void> {
    this.sending = true;
    for (let order = this.next(); order !== undefined; order = this.next()) {
      await order.send();
    }
    this.sending = false;
  }

  private next(): Order | undefined {
    const kind = BY_URGENCY.find(found => this.orders[found].length > 0);
    return kind === undefined ? undefined : this.orders[kind].shift();
  }
}
