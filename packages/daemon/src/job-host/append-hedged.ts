/** A hedged append: it is sent again while earlier attempts are still in flight. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult } from '@paddlewind/ports/jobs';

import { withTimeout } from './caller-view.js';
import type { HostContext } from './context.js';

/** Each attempt takes a connection of its own, and a host has few. */
const MAX_ATTEMPTS_IN_FLIGHT = 4;

/** Hedge only after this multiple of the duration of the last append, since the log may be slow. */
export const SLOW_APPEND_FACTOR = 2;

/** When an append is hedged. */
export interface HedgedAppendOptions {
  /** Time without an answer after which the append is sent again. */
  readonly everyMs: Millis;
  /** Returns true once the append must not be sent again. */
  readonly stopped: () => boolean;
}

/**
 * Appends records and sends the append again every `everyMs` until an attempt is answered. Resolves
 * earlier if no attempt is in flight any more. The writer stamp makes the log append the records
 * once, however many attempts it carries out.
 *
 * An attempt that a silent log has dropped ends only with its timeout of 1.5 s. A later attempt is
 * answered as soon as the log is back, at most 0.45 s later.
 */
export async function appendHedged(
  ctx: HostContext,
  append: () => Promise<AppendResult>,
  { everyMs, stopped }: HedgedAppendOptions,
): Promise<AppendResult> {
  const attempts = new Attempts();
  attempts.add(append());
  for (;;) {
    const result = await withTimeout(ctx, attempts.result, everyMs);
    if (result !== undefined) {
      return result;
    }
    if (attempts.inFlight < MAX_ATTEMPTS_IN_FLIGHT && !stopped()) {
      attempts.add(append());
    }
  }
}

/** The attempts of one append. */
class Attempts {
  /** The first conclusive result, or the result of the last attempt once none is in flight. */
  readonly result: Promise<AppendResult>;
  inFlight = 0;
  private mayBeAppended = false;
  private settle!: (result: AppendResult) => void;

  constructor() {
    this.result = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  add(attempt: Promise<AppendResult>): void {
    this.inFlight += 1;
    void attempt.then(result => {
      this.inFlight -= 1;
      this.handleResult(result);
    });
  }

  private handleResult(result: AppendResult): void {
    switch (result.kind) {
      case 'appended':
      case 'fenced':
      case 'out_of_sequence':
        this.settle(result);
        return;
      case 'unknown':
        this.mayBeAppended = true;
        break;
      case 'refused':
        break;
    }
    if (this.inFlight === 0) {
      const { reason } = result;
      this.settle({ kind: this.mayBeAppended ? 'unknown' : 'refused', reason });
    }
  }
}
