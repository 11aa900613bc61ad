/** Calls that a proxy makes and has not reported yet. */
import type { CallOutcome, CallReport } from '@paddlewind/ports/jobs';

/** Sweeps for which a late answer to a poll is still passed on. */
const LATE_SWEEPS = 20;

/** A call that waits for its outcome. */
export interface OpenCall {
  /** Called with the outcome, or with undefined if the proxy did not tell it in time. */
  readonly settle: (outcome: CallOutcome | undefined) => void;
  /** Called with an answer that comes after the call was reported as failed. */
  readonly takeLate: (outcome: CallOutcome) => void;
  /** Number of sweeps after which the outcome is not waited for any more. */
  sweepsLeft: number;
}

/** Open calls by number. */
export class OpenCalls {
  private readonly open = new Map<number, OpenCall>();
  /** Settled calls whose late answers are passed on. */
  private readonly settled = new Map<number, OpenCall>();

  /** Number of calls without an outcome. */
  get size(): number {
    return this.open.size;
  }

  /** Adds a call. */
  add(number: number, call: OpenCall): void {
    this.open.set(number, call);
  }

  /** Handles a report. */
  report({ call: number, outcome, isLate }: CallReport): void {
    const open = this.open.get(number);
    if (open === undefined) {
      this.settled.get(number)?.takeLate(outcome);
      this.settled.delete(number);
      return;
    }
    this.settle(number, open, outcome);
    if (!isLate && isFailedPoll(outcome)) {
      this.settled.set(number, { ...open, sweepsLeft: LATE_SWEEPS });
    }
  }

  /** Fails the calls that have no outcome in time. It is called at equal intervals, each after a turn of the loop. */
  sweep(): void {
    for (const [number, call] of this.open) {
      call.sweepsLeft -= 1;
      if (call.sweepsLeft <= 0) {
        this.settle(number, call, undefined);
      }
    }
    for (const [number, call] of this.settled) {
      call.sweepsLeft -= 1;
      if (call.sweepsLeft <= 0) {
        this.settled.delete(number);
      }
    }
  }

  /** Fails all calls. */
  fail(): void {
    for (const [number, call] of this.open) {
      this.settle(number, call, undefined);
    }
  }

  private settle(
    number: number,
    call: OpenCall,
    outcome: CallOutcome | undefined,
  ): void {
    this.open.delete(number);
    call.settle(outcome);
  }
}

function isFailedPoll(outcome: CallOutcome): boolean {
  return outcome.kind === 'polled' && outcome.result.kind === 'failed';
}
