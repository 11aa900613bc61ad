/** Limits how many workers a new leader polls for the first time at once. */
import type { Instant } from '@paddlewind/domain';
import type { PollRequest } from '@paddlewind/ports/jobs';

/** A poll that was sent. */
export interface SentPoll {
  readonly at: Instant;
  readonly request: PollRequest;
}

/**
 * Maximum number of first polls in flight. Each opens a connection: with thousands at once, answers would be
 * read only after their timeouts, and sound workers would count as unresponsive.
 */
const MAX_IN_FLIGHT = 100;

/** Admits first polls in the order in which they were asked for. */
export class FirstPolls {
  private inFlight = 0;
  private readonly waiting: (() => void)[] = [];

  /** Polls a worker as soon as few enough other first polls are in flight. */
  async admit(poll: () => Promise<void>): Promise<void> {
    await this.enter();
    try {
      await poll();
    } finally {
      this.leave();
    }
  }

  private async enter(): Promise<void> {
    if (this.inFlight < MAX_IN_FLIGHT) {
      this.inFlight += 1;
      return;
    }
    await new Promise<void>(resolve => {
      this.waiting.push(resolve);
    });
  }

  /** Passes the place of a poll that has ended on to the next one. */
  private leave(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.inFlight -= 1;
    } else {
      next();
    }
  }
}
