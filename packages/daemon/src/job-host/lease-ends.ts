/**
 * Until when leases that leaders have given may hold, by this host's own monotonic clock.
 *
 * Each leader hands on what it knows, as time that is left, so that a wait which has begun goes on
 * whoever leads next, and hosts that start anew need not begin it again. What is told is never too
 * early: a record is read after it was written.
 */
import type { Instant, Millis } from '@paddlewind/domain';
import type { LeaseHandover, JournalRecord } from '@paddlewind/domain/jobs';

import { LONGEST_HELD_UNTOLD_MS } from './timing.js';

/** The leader of the newest epoch that was read of. */
interface Newest {
  readonly epoch: number;
  /** How long its leases may hold after its last record; the longest until it says so. */
  heldMs: Millis;
  /** Whether later records of it prolong nothing, since it has released the lead. */
  released: boolean;
}

/** Ends of leases by leader, and of single workers by id: an order may extend the lease of a later incarnation. */
export class LeaseEnds {
  private newest: Newest = { epoch: 0, heldMs: 0, released: false };
  /** Times by which all leases of a leader have ended, by epoch. */
  private readonly epochs = new Map<number, Instant>();
  /** The same for all epochs before the newest that are not among these. */
  private othersEnd: Instant = Infinity;
  /** Times by which the lease of a worker has ended that did not answer the newest leader; also past ones. */
  private readonly workers = new Map<string, Instant>();

  /** Notes that the journal is read from its beginning, so that no earlier leader is unknown. */
  noteBeginning(): void {
    if (this.newest.epoch === 0) {
      this.othersEnd = -Infinity;
    }
  }

  /** Notes that records are gone which this host has not read: leaders may have written on, or come and gone. */
  noteGap(): void {
    this.othersEnd = Infinity;
    this.epochs.set(this.newest.epoch, Infinity);
    this.workers.clear();
  }

  /** Takes in a record that was read at `now`; `epoch` is that of its writer. */
  applyRecord(record: JournalRecord, epoch: number, now: Instant): void {
    if (epoch < this.newest.epoch) {
      // Read once more; later records have told what is left.
      return;
    }
    if (epoch > this.newest.epoch) {
      this.noteLeader(epoch, now);
    }
    this.prolong(now);
    switch (record.kind) {
      case 'heartbeat':
        this.noteHanded(record.handed, now);
        return;
      case 'release':
        this.noteRelease(record.heldMs, now);
        return;
      case 'reached':
        this.workers.delete(record.worker);
        return;
      // What was known when a claim was sent may have changed until it was carried out.
      case 'claim':
      case 'restate':
      case 'learnt':
      case 'begun':
      case 'start':
      case 'moved':
      case 'end':
      case 'lost':
        return;
    }
  }

  /**
   * Returns the time by which every lease that leaders before the newest gave to a worker has ended;
   * `reachedIn` is the epoch of the last leader that reached it, undefined where that is not known.
   * Infinite where it is the newest.
   */
  endFor(worker: string, reachedIn: number | undefined): Instant {
    if (reachedIn === undefined) {
      return this.lastEnd();
    }
    if (reachedIn >= this.newest.epoch) {
      return Infinity;
    }
    const told = this.workers.get(worker) ?? Infinity;
    return Math.min(told, this.epochs.get(reachedIn) ?? this.othersEnd);
  }

  /**
   * Returns what the leader of `epoch`, whose own leases hold for `heldMs`, hands on at `now`; undefined
   * while this host does not know of all leaders.
   */
  leasesToHandOver(
    epoch: number,
    heldMs: Millis,
    now: Instant,
  ): LeaseHandover | undefined {
    if (this.othersEnd > now) {
      return undefined;
    }
    const earlier = this.earlierEnds(epoch).filter(([, end]) => end > now);
    return {
      epochs: [...left(earlier, now), [epoch, heldMs]],
      workers: left(this.workers, now),
    };
  }

  /** A leader claims once the ones before it can record nothing more, however little is known of them. */
  private noteLeader(epoch: number, now: Instant): void {
    this.newest = { epoch, heldMs: LONGEST_HELD_UNTOLD_MS, released: false };
    const latest = now + LONGEST_HELD_UNTOLD_MS;
    for (const [known, end] of this.epochs) {
      this.epochs.set(known, Math.min(end, latest));
    }
    this.othersEnd = Math.min(this.othersEnd, latest);
  }

  /** All that a leader writes shows that it may have given leases until then. */
  private prolong(now: Instant): void {
    const { epoch, heldMs, released } = this.newest;
    if (!released) {
      this.epochs.set(epoch, now + heldMs);
    }
  }

  /** Time by which the leases of all leaders before the newest have ended. */
  private lastEnd(): Instant {
    const ends = this.earlierEnds(this.newest.epoch).map(([, end]) => end);
    return Math.max(this.othersEnd, ...ends);
  }

  private earlierEnds(epoch: number): [number, Instant][] {
    return [...this.epochs].filter(([known]) => known < epoch);
  }

  private noteRelease(heldMs: Millis | undefined, now: Instant): void {
    if (heldMs !== undefined && !this.newest.released) {
      this.newest.released = true;
      this.shorten(this.newest.epoch, now + heldMs);
    }
  }

  /** Takes in what a leader says: it has read all that earlier ones wrote. */
  private noteHanded(handed: LeaseHandover | undefined, now: Instant): void {
    if (handed === undefined) {
      // One that does not say which workers do not answer may have reached all.
      this.workers.clear();
      return;
    }
    const { epoch } = this.newest;
    const told = new Map(handed.epochs);
    for (const [known] of this.earlierEnds(epoch)) {
      if (!told.has(known)) {
        this.epochs.delete(known);
      }
    }
    for (const [known, leftMs] of told) {
      if (known < epoch) {
        this.shorten(known, now + leftMs);
      }
    }
    // Of all others the writer knew that their leases had ended.
    this.othersEnd = Math.min(this.othersEnd, now);
    this.noteOwn(told.get(epoch), now);
    this.noteWorkers(handed.workers, now);
  }

  /** A leader says how long its own leases hold from then on; less and less once it has released the lead. */
  private noteOwn(heldMs: Millis | undefined, now: Instant): void {
    if (heldMs !== undefined) {
      this.newest.heldMs = heldMs;
      this.shorten(this.newest.epoch, now + heldMs);
    }
  }

  private noteWorkers(handed: LeaseHandover['workers'], now: Instant): void {
    const before = new Map(this.workers);
    this.workers.clear();
    for (const [worker, leftMs] of handed) {
      const known = before.get(worker) ?? Infinity;
      this.workers.set(worker, Math.min(known, now + leftMs));
    }
  }

  private shorten(epoch: number, end: Instant): void {
    const known = this.epochs.get(epoch) ?? Infinity;
    this.epochs.set(epoch, Math.min(known, end));
  }
}

/** Time left until ends, never less than there is. */
function left<K>(
  ends: Iterable<readonly [K, Instant]>,
  now: Instant,
): [K, Millis][] {
  return [...ends].map(([key, end]) => [
    key,
    Math.max(0, Math.ceil(end - now)),
  ]);
}
