/**
 * Time as the journal tells it: how long leaders say that they have led, added up. It is the same for all
 * readers however late they read, does not follow clocks that jump, and passes at most as fast as true
 * time, since nobody counts the time between two leaders.
 */
import type { Millis } from '../core/time.js';

/** A moment between two records of how long a leader has led: that of the second one, infinite before. */
export interface JournalMoment {
  at: Millis;
}

/** Counts journal time. */
export class JournalTime {
  private time: Millis = 0;
  private moment: JournalMoment = { at: Infinity };
  private epoch = 0;
  private ledFor: Millis = 0;
  private heardUntil: Millis = 0;

  /** Journal time of the newest record. */
  get now(): Millis {
    return this.time;
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

  /** Another host leads. */
  noteClaim(epoch: number): void {
    this.epoch = epoch;
    this.ledFor = 0;
    this.heardUntil = this.time;
  }

  /** A leader has led for `ledFor`; undefined where its version does not say. */
  noteLed(epoch: number, ledFor: Millis | undefined): void {
    if (ledFor === undefined || epoch < this.epoch) {
      return;
    }
    if (epoch > this.epoch) {
      // Its claim is not in the log any more: what it led before this record is not counted.
      this.noteClaim(epoch);
      this.ledFor = ledFor;
    }
    this.time += Math.max(0, ledFor - this.ledFor);
    this.ledFor = Math.max(ledFor, this.ledFor);
    this.moment.at = this.time;
    this.moment = { at: Infinity };
  }
}
