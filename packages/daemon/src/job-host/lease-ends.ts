/**
 * Tracks until when leases granted by earlier leaders may hold, on this host's monotonic clock.
 *
 * Each leader hands over what it knows as remaining times, so that a wait in progress continues under the
 * next leader, and restarted hosts need not begin it again. The computed ends are never too early, since a
 * record is read after it was written.
 */
import type { Instant, Millis } from '@paddlewind/domain';
import type { LeaseHandover, JournalRecord } from '@paddlewind/domain/jobs';

import { DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS } from './timing.js';

/** The leader with the newest epoch in the records read so far. */
interface NewestLeader {
  readonly epoch: number;
  /** How long its leases may hold after its last record; the maximum until it reports a value. */
  maxLeaseMs: Millis;
  /** Whether it has released the lead, so that its later records extend no lease. */
  released: boolean;
}

/**
 * Lease ends by leader epoch and by worker id. Workers are keyed by id and not by incarnation, since an order
 * may extend the lease of a later incarnation.
 */
export class LeaseEnds {
  private newest: NewestLeader = { epoch: 0, maxLeaseMs: 0, released: false };
  /** Times by which all leases of a leader have expired, by epoch. */
  private readonly epochs = new Map<number, Instant>();
  /** The same for all earlier epochs that are not in `epochs`. */
  private otherEpochsEnd: Instant = Infinity;
  /**
   * Times by which the leases of workers that did not answer the newest leader have expired; may be in the
   * past.
   */
  private readonly workers = new Map<string, Instant>();

  /** Notes that the journal is read from its beginning, so that no earlier leader is unknown. */
  noteBeginning(): void {
    if (this.newest.epoch === 0) {
      this.otherEpochsEnd = -Infinity;
    }
  }

  /**
   * Notes that this host missed records that are no longer in the log: the known leader may have written
   * more, and others may have led in between.
   */
  noteGap(): void {
    this.otherEpochsEnd = Infinity;
    this.epochs.set(this.newest.epoch, Infinity);
    this.workers.clear();
  }

  /** Applies a record that was read at `now`; `epoch` is that of its writer. */
  applyRecord(record: JournalRecord, epoch: number, now: Instant): void {
    if (epoch < this.newest.epoch) {
      // A repeated read: later records have reported the remaining times already.
      return;
    }
    if (epoch > this.newest.epoch) {
      this.startEpoch(epoch, now);
    }
    this.extendNewest(now);
    switch (record.kind) {
      case 'heartbeat':
        this.applyHandover(record.handed, now);
        return;
      case 'release':
        this.applyRelease(record.heldMs, now);
        return;
      case 'reached':
        this.workers.delete(record.worker);
        return;
      // A claim reports no leases: what its writer knew may have changed before the claim was appended.
      case 'claim':
      case 'restate':
      case 'learnt':
      case 'begun':
      case 'start':
      case 'moved':
      case 'end':
      case 'lost':
      case 'abandoned':
        return;
    }
  }

  /**
   * Returns the time by which every lease that leaders before the newest one granted to a worker has expired.
   * `reachedIn` is the epoch of the last leader that reached the worker, or undefined if unknown. Returns
   * infinity if that is the newest epoch.
   */
  leaseEndFor(worker: string, reachedIn: number | undefined): Instant {
    if (reachedIn === undefined) {
      return this.latestEnd();
    }
    if (reachedIn >= this.newest.epoch) {
      return Infinity;
    }
    const reported = this.workers.get(worker) ?? Infinity;
    return Math.min(
      reported,
      this.epochs.get(reachedIn) ?? this.otherEpochsEnd,
    );
  }

  /**
   * Returns what the leader of `epoch`, whose own leases hold for `maxLeaseMs`, hands over at `now`, or
   * undefined while this host may not know all leaders.
   */
  leasesToHandOver(
    epoch: number,
    maxLeaseMs: Millis,
    now: Instant,
  ): LeaseHandover | undefined {
    if (this.otherEpochsEnd > now) {
      return undefined;
    }
    const earlier = this.earlierEnds(epoch).filter(([, end]) => end > now);
    return {
      epochs: [...remainingTimes(earlier, now), [epoch, maxLeaseMs]],
      workers: remainingTimes(this.workers, now),
    };
  }

  /**
   * Starts the epoch of a new leader. Earlier leaders can write no more, which limits their leases even if
   * little is known of them.
   */
  private startEpoch(epoch: number, now: Instant): void {
    this.newest = {
      epoch,
      maxLeaseMs: DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS,
      released: false,
    };
    const latest = now + DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS;
    for (const [known, end] of this.epochs) {
      this.epochs.set(known, Math.min(end, latest));
    }
    this.otherEpochsEnd = Math.min(this.otherEpochsEnd, latest);
  }

  /**
   * Extends the leases of the newest leader, since each of its records shows that it may have granted leases
   * until then.
   */
  private extendNewest(now: Instant): void {
    const { epoch, maxLeaseMs, released } = this.newest;
    if (!released) {
      this.epochs.set(epoch, now + maxLeaseMs);
    }
  }

  /** Time by which the leases of all leaders before the newest have expired. */
  private latestEnd(): Instant {
    const ends = this.earlierEnds(this.newest.epoch).map(([, end]) => end);
    return Math.max(this.otherEpochsEnd, ...ends);
  }

  private earlierEnds(epoch: number): [number, Instant][] {
    return [...this.epochs].filter(([known]) => known < epoch);
  }

  private applyRelease(maxLeaseMs: Millis | undefined, now: Instant): void {
    if (maxLeaseMs !== undefined && !this.newest.released) {
      this.newest.released = true;
      this.limitEnd(this.newest.epoch, now + maxLeaseMs);
    }
  }

  /** Applies a leader's handover; the leader had read all records of earlier leaders. */
  private applyHandover(handed: LeaseHandover | undefined, now: Instant): void {
    if (handed === undefined) {
      // A leader that does not report which workers are unresponsive may have reached all of them.
      this.workers.clear();
      return;
    }
    const { epoch } = this.newest;
    const reported = new Map(handed.epochs);
    for (const [known] of this.earlierEnds(epoch)) {
      if (!reported.has(known)) {
        this.epochs.delete(known);
      }
    }
    for (const [known, leftMs] of reported) {
      if (known < epoch) {
        this.limitEnd(known, now + leftMs);
      }
    }
    // The writer knew that the leases of all other epochs had expired.
    this.otherEpochsEnd = Math.min(this.otherEpochsEnd, now);
    this.applyOwnLease(reported.get(epoch), now);
    this.applyWorkers(handed.workers, now);
  }

  /**
   * Applies how long the newest leader's own leases hold from its record on; the time shrinks after it has
   * released the lead.
   */
  private applyOwnLease(maxLeaseMs: Millis | undefined, now: Instant): void {
    if (maxLeaseMs !== undefined) {
      this.newest.maxLeaseMs = maxLeaseMs;
      this.limitEnd(this.newest.epoch, now + maxLeaseMs);
    }
  }

  private applyWorkers(handed: LeaseHandover['workers'], now: Instant): void {
    const before = new Map(this.workers);
    this.workers.clear();
    for (const [worker, leftMs] of handed) {
      const known = before.get(worker) ?? Infinity;
      this.workers.set(worker, Math.min(known, now + leftMs));
    }
  }

  private limitEnd(epoch: number, end: Instant): void {
    const known = this.epochs.get(epoch) ?? Infinity;
    this.epochs.set(epoch, Math.min(known, end));
  }
}

/** Returns the remaining times until `ends`, rounded up and never negative. */
function remainingTimes<K>(
  ends: Iterable<readonly [K, Instant]>,
  now: Instant,
): [K, Millis][] {
  return [...ends].map(([key, end]) => [
    key,
    Math.max(0, Math.ceil(end - now)),
  ]);
}
