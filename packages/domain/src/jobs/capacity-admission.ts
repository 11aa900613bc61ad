/** A host's decision to refuse jobs by the leader's forecast, and when their callers should return. */
import type { Instant, Millis, Random } from '../core/time.js';
import { refusalOf, type AdmissionLimits, type Refusal } from './admission.js';
import { ReturnTimes } from './return-times.js';
import type { CapacityRefusal } from './capacity-refusal.js';
import {
  estimatedWorkOf,
  type CapacityKind,
  type CapacityRow,
} from './capacity-rows.js';
import { dropOldest } from './drop-oldest.js';
import { losesByWaiting, type JobSpec } from './spec.js';

const MS_PER_S = 1_000;
const KINDS: readonly CapacityKind[] = ['filler', 'plain'];
/** Most jobs remembered of which it is not known whether they were recorded. */
const MAX_UNKNOWN_OUTCOMES = 2_000;

/** Work of accepted jobs of one service, kind of capacity and priority, in core-milliseconds. */
type AcceptedWork = Pick<CapacityRow, 'service' | 'kind' | 'priority'> & {
  readonly work: number;
};

/** Decides on the jobs that callers submit to one host. */
export class CapacityAdmission {
  private readonly returnTimes: ReturnTimes;
  private readonly jobsOfUnknownOutcome = new Set<string>();
  /** Number of attempts to record each job that have no outcome yet. */
  private readonly pendingAttempts = new Map<string, number>();
  /** The forecast since which `accepted` is counted. */
  private rooms: readonly CapacityRow[] = [];
  /** Work accepted since the forecast, by class. */
  private readonly accepted = new Map<string, AcceptedWork>();

  /** Creates the admission of one host; `spread` differs by host. */
  constructor(spread?: Random) {
    this.returnTimes = new ReturnTimes(spread);
  }

  /** Returns why a job that is submitted now is refused, also by the newest forecast; undefined if it is not. */
  refusalOf(
    job: JobSpec,
    limits: AdmissionLimits,
    now: Instant,
  ): Refusal | undefined {
    this.noteForecast(limits);
    return this.mayBeRecorded(job.id)
      ? refusalOf(job, limits)
      : refusalOf(job, limits, now, (row, priority) =>
          this.acceptedBefore(row, priority),
        );
  }

  /** Notes an attempt to record a job, whose outcome has to be noted with `noteOutcome`. */
  noteAccepted(job: JobSpec, limits: AdmissionLimits): void {
    this.noteForecast(limits);
    this.returnTimes.forget(job.id);
    const attempts = this.pendingAttempts.get(job.id) ?? 0;
    this.pendingAttempts.set(job.id, attempts + 1);
    if (this.rooms.length > 0 && losesByWaiting(job)) {
      KINDS.forEach(kind => {
        this.addAccepted(job, kind);
      });
    }
  }

  /**
   * Notes the outcome of an attempt. A job of which it is not known whether it was recorded is not refused by
   * the forecast any more, since a refusal says that the job never runs.
   */
  noteOutcome(job: string, isKnown: boolean): void {
    const others = (this.pendingAttempts.get(job) ?? 1) - 1;
    if (others > 0) {
      this.pendingAttempts.set(job, others);
    } else {
      this.pendingAttempts.delete(job);
    }
    if (!isKnown) {
      this.noteUnknownOutcome(job);
    }
  }

  /** Returns after how many milliseconds the caller of a refused job should return. */
  readonly returnMs = (
    job: JobSpec,
    { retryAfterMs, forecast }: CapacityRefusal,
    now: Instant,
    deadline: Instant,
  ): Millis => {
    const { kind, rate, hosts } = forecast;
    const work = estimatedWorkOf(job, kind);
    const caller = {
      job: job.id,
      queue: job.terms.queue,
      soonestMs: retryAfterMs,
      gapMs: (MS_PER_S * hosts * work) / rate,
      deadline,
    };
    return this.returnTimes.returnMs(caller, now);
  };

  private noteUnknownOutcome(job: string): void {
    this.jobsOfUnknownOutcome.add(job);
    dropOldest(this.jobsOfUnknownOutcome, MAX_UNKNOWN_OUTCOMES);
  }

  private mayBeRecorded(job: string): boolean {
    return this.jobsOfUnknownOutcome.has(job) || this.pendingAttempts.has(job);
  }

  /** Each record that a host reads has rows of its own, also if they are equal to the ones before. */
  private noteForecast({ rooms }: AdmissionLimits): void {
    if (rooms !== this.rooms) {
      this.rooms = rooms;
      this.accepted.clear();
    }
  }

  /** Adds up by class, so that memory and cost don't grow with the number of jobs while no forecast arrives. */
  private addAccepted(job: JobSpec, kind: CapacityKind): void {
    const { service, priority } = job.terms;
    const key = JSON.stringify([service, kind, priority]);
    const before = this.accepted.get(key)?.work ?? 0;
    const work = before + estimatedWorkOf(job, kind);
    this.accepted.set(key, { service, kind, priority, work });
  }

  private acceptedBefore(row: CapacityRow, priority: number): number {
    return [...this.accepted.values()]
      .filter(
        each =>
          each.service === row.service &&
          each.kind === row.kind &&
          each.priority <= priority,
      )
      .reduce((sum, { work }) => sum + work, 0);
  }
}
