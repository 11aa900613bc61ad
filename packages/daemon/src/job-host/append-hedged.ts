/** A stamped append that is sent again while an earlier try is still under way. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult } from '@paddlewind/ports/jobs';

import { within } from './caller-view.js';
import type { HostContext } from './context.js';

/** Most tries under way: each has its own connection, of which a host has few. */
const MAX_UNDER_WAY = 4;

/** An append is sent again once it takes this many times as long as the last one: the log may be slow. */
export const SLOW_APPEND_FACTOR = 2;

/** How a stamped append is sent again. */
export interface AppendAgainOptions {
  /** Time without an answer after which it is. */
  readonly everyMs: Millis;
  /** Whether it is no more. */
  readonly stopped: () => boolean;
}

/**
 * Appends until a try is answered, and sends it again each time that none was for `everyMs`; resolves
 * sooner when no try is under way any more. The stamp makes it one append, however many are carried out.
 *
 * A try that a silent log has swallowed ends only with its timeout of 1.5 s; a new one is answered as soon
 * as the log is back, which is 0.45 s later at the most.
 */
export async function appendHedged(
  ctx: HostContext,
  append: () => Promise<AppendResult>,
  { everyMs, stopped }: AppendAgainOptions,
): Promise<AppendResult> {
  const tries = new Tries();
  tries.add(append());
  for (;;) {
    const result = await within(ctx, tries.outcome, everyMs);
    if (result !== undefined) {
      return result;
    }
    if (tries.underWay < MAX_UNDER_WAY && !stopped()) {
      tries.add(append());
    }
  }
}

/** Tries of one append. */
class Tries {
  /** The first answer that settles the append, or that of the last try once none is under way. */
  readonly outcome: Promise<AppendResult>;
  underWay = 0;
  private mayBeThere = false;
  private settle!: (result: AppendResult) => void;

  constructor() {
    this.outcome = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  add(trying: Promise<AppendResult>): void {
    this.underWay += 1;
    void trying.then(result => {
      this.underWay -= 1;
      this.take(result);
    });
  }

  private take(result: AppendResult): void {
    switch (result.kind) {
      case 'appended':
      case 'fenced':
      case 'out_of_sequence':
        this.settle(result);
        return;
      case 'unknown':
        this.mayBeThere = true;
        break;
      case 'refused':
        break;
    }
    if (this.underWay === 0) {
      const { reason } = result;
      this.settle({ kind: this.mayBeThere ? 'unknown' : 'refused', reason });
    }
  }
}
