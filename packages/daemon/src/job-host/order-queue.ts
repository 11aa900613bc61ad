/** Orders to one worker: stops first, then the others in the order of arrival. */
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
 * Sends orders one at a time, or several starts at once where that keeps their order. Stops go first: otherwise a
 * caller that waits for the end of a run would also wait for a slow worker to answer all earlier starts. Limits do
 * not go first: they may change with each report, and would leave no turn to a start.
 */
export class OrderQueue {
  private readonly stops: Order[] = [];
  private readonly others: Order[] = [];
  /** Orders without an outcome; several only if all of them are starts. */
  private readonly sent = new Set<Order>();
  private closed = false;

  /** Creates an empty queue; `startWidth` returns how many starts may be sent at once. */
  constructor(private readonly startWidth: () => number = () => 1) {}

  /** Queues `order` and sends it in turn. */
  add(order: Order): void {
    if (this.closed) {
      return;
    }
    (order.kind === 'stop' ? this.stops : this.others).push(order);
    this.sendNext();
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

  private sendNext(): void {
    while (this.mayAnotherBeSent()) {
      const order = this.stops.shift() ?? this.others.shift();
      if (order === undefined) {
        return;
      }
      void this.send(order);
    }
  }

  private async send(order: Order): Promise<void> {
    this.sent.add(order);
    await order.send();
    this.sent.delete(order);
    this.sendNext();
  }

  /** Whether the next order need not wait for those that have no outcome yet. */
  private mayAnotherBeSent(): boolean {
    if (this.sent.size === 0) {
      return true;
    }
    const isNextStart =
      this.stops.length === 0 && this.others[0]?.kind === 'start';
    const areStarts = [...this.sent].every(({ kind }) => kind === 'start');
    return isNextStart && areStarts && this.sent.size < this.startWidth();
  }
}
