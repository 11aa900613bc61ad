/**
 * Time as the journal tells it: how long leaders say that they have led, and how long the log was silent
 * between them, added up. It is the same for all readers however late they read, and does not follow clocks
 * that jump. Of the time between two leaders only bounds are known: one clock passes at most as fast as true
 * time, the other one at least as fast.
 */
import { UNKNOWN_SPAN, type Millis, type SpanBounds } from '../core/time.js';

/** A moment between two records of how long a leader has led. */
export interface JournalMoment {
  /** Time of the second one by the slow clock, infinite before that is read. */
  at: Millis;
  /** Time of the first one by the fast clock; `-Infinity` where that is not known. */
  readonly after: Millis;
}

/** Counts journal time. */
export class JournalTime {
  /** Time of the newest record, at the least and at the most. */
  private slow: Millis = 0;
  private fast: Millis = 0;
  private moment: JournalMoment = { at: Infinity, after: 0 };
  private epoch = 0;
  private ledFor: Millis = 0;
  private heardUntil: Millis = 0;
  /** When the newest leader began, by both clocks; undefined until it has told how long it has led. */
  private began: { readonly slow: Millis; readonly fast: Millis } | undefined;
  /** Nothing is known of how long ago moments were that are earlier than this by the fast clock. */
  private knownSince: Millis = 0;

  /** Journal time of the newest record. */
  get now(): Millis {
    return this.slow;
  }

  /**
   * The present moment, never told too early: leaders that the log does not answer for a while write
   * nothing, and say later how long they have led.
   */
  get present(): JournalMoment {
    return this.moment;
  }

  /** Journal time at which the last leader before the newest one was last heard. */
  get ledUntil(): Millis {
    return this.heardUntil;
  }

  /** How long an earlier moment was before the newest leader began. */
  before({ at, after }: JournalMoment): SpanBounds {
    const { slow, fast } = this.began ?? {
      slow: this.heardUntil,
      fast: Infinity,
    };
    const to = after < this.knownSince ? Infinity : fast - after;
    return { from: Math.max(0, slow - at), to };
  }

  /** Another host leads. */
  noteClaim(epoch: number): void {
    this.epoch = epoch;
    this.ledFor = 0;
    this.heardUntil = this.slow;
    this.began = undefined;
  }

  /** A leader has led for `ledFor`, undefined where its version does not say, and began after a silence. */
  noteLed(
    epoch: number,
    ledFor: Millis | undefined,
    silence = UNKNOWN_SPAN,
  ): void {
    if (ledFor === undefined || epoch < this.epoch) {
      return;
    }
    if (epoch > this.epoch) {
      // Its claim is not in the log any more: what it led before this record is not counted.
      this.noteClaim(epoch);
      this.ledFor = ledFor;
    }
    if (this.began === undefined) {
      this.noteSilence(silence);
    }
    const more = Math.max(0, ledFor - this.ledFor);
    this.slow += more;
    this.fast += more;
    this.ledFor = Math.max(ledFor, this.ledFor);
    this.moment.at = this.slow;
    this.moment = { at: Infinity, after: this.fast };
  }

  private noteSilence({ from, to }: SpanBounds): void {
    this.slow += from;
    if (to === Infinity) {
      this.fast += 1;
      this.knownSince = this.fast;
    } else {
      this.fast += to;
    }
    this.began = { slow: this.slow, fast: this.fast };
  }
}
