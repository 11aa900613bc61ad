/** Orders to one worker, sent one at a time: stops first, then the others in the order of arrival. */
import type { Run } from '@paddlewind/domain/jobs';

/** Effect of an order on its run. */
export type OrderKind = 'stop' | 'throttle' | 'start';

/** A queued order. */
export interface Order {
  readonly kind: OrderKind;
  readonly run: Run;
  /** Sends the order, and resolves once its outcome is known. */
  readonly send: () => Promise<void>;
}

/**
 * Sends orders one at a time. Stops go first: otherwise a caller that waits for the end of a run would also
 * wait for a slow worker to answer all earlier starts. Limits do not go first: they may change with each
 * report, and would leave no turn to a start.
 */
export class OrderQueue {
  private readonly stops: Order[] = [];
  private readonly others: Order[] = [];
  private sending = false;
  private closed = false;

  /** Queues `order` and sends it in turn. */
  add(order: Order): void {
    if (this.closed) {
      return;
    }
    (order.kind === 'stop' ? this.stops : this.others).push(order);
    if (!this.sending) {
      void this.sendAll();
    }
  }

  /** Whether an order of this kind is queued for `run` and not sent yet; stops are not considered. */
  isQueued(kind: OrderKind, run: Run): boolean {
    return this.others.some(order => order.kind === kind && order.run === run);
  }

  /** Removes unsent orders of a kind, either all or those of one run; returns their runs. */
  withdraw(kind: OrderKind, run?: Run): Run[] {
    const withdrawn = this.others.filter(
      order => order.kind === kind && (run === undefined || order.run === run),
    );
    for (const order of withdrawn) {
      this.others.splice(this.others.indexOf(order), 1);
    }
    return withdrawn.map(order => order.run);
  }

  /** Stops sending. */
  close(): void {
    this.closed = true;
    this.stops.length = 0;
    this.others.length = 0;
  }

  private async sendAll(): Promise<void> {
    this.sending = true;
    for (let order = this.next(); order !== undefined; order = this.next()) {
      await order.send();
    }
    this.sending = false;
  }

  private next(): Order | undefined {
    return this.stops.shift() ?? this.others.shift();
  }
}
