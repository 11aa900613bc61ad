/** Orders to one worker, sent one at a time: stops first, then the others in the order given. */
import type { Run } from '@paddlewind/domain/jobs';

/** What an order does to its run. */
export type OrderKind = 'stop' | 'throttle' | 'start';

/** An order that waits for its turn. */
export interface Order {
  readonly kind: OrderKind;
  readonly run: Run;
  /** Sends it, and resolves once its outcome is known. */
  readonly send: () => Promise<void>;
}

/**
 * Sends orders in turn. Stops go first: whoever waits for the end of a run would else wait for as long
 * as a slow worker takes to answer all starts before it. Limits don't: where shares change with each
 * report they would leave no turn to a start.
 */
export class OrderQueue {
  private readonly stops: Order[] = [];
  private readonly others: Order[] = [];
  private sending = false;
  private closed = false;

  /** Sends `order` when its turn comes. */
  add(order: Order): void {
    if (this.closed) {
      return;
    }
    (order.kind === 'stop' ? this.stops : this.others).push(order);
    if (!this.sending) {
      void this.sendAll();
    }
  }

  /** Whether an order waits that was not sent yet. */
  has(kind: OrderKind, run: Run): boolean {
    return this.others.some(order => order.kind === kind && order.run === run);
  }

  /** Takes orders of a kind back that were not sent yet, all or those of one run; returns their runs. */
  takeBack(kind: OrderKind, run?: Run): Run[] {
    const taken = this.others.filter(
      order => order.kind === kind && (run === undefined || order.run === run),
    );
    for (const order of taken) {
      this.others.splice(this.others.indexOf(order), 1);
    }
    return taken.map(order => order.run);
  }

  /** Sends nothing more. */
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
