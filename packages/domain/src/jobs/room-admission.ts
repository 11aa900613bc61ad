/** A host's decision to refuse jobs by the leader's forecast, and when their callers should return. */
import type { Instant, Millis, Random } from '../core/time.js';
import { refusalOf, type AdmissionLimits, type Refusal } from './admission.js';
import { ReturnTimes } from './return-times.js';
import type { RoomRefusal } from './room-refusal.js';
import { estimatedWorkOf, isForecast, type RoomRow } from './room-rows.js';
import type { JobSpec } from './spec.js';

const MS_PER_S = 1_000;
/** Most jobs that are remembered since it is not known whether they were recorded. */
const MAX_DOUBTFUL_JOBS = 2_000;

/** Decides on the jobs that callers submit to one host. */
export class RoomAdmission {
  private readonly returnTimes: ReturnTimes;
  private readonly doubtfulJobs = new Set<string>();
  /** The forecast that `accepted` is counted from. */
  private rooms: readonly RoomRow[] = [];
  private accepted: JobSpec[] = [];

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
    return this.doubtfulJobs.has(job.id)
      ? refusalOf(job, limits)
      : refusalOf(job, limits, now, (row, priority) =>
          this.acceptedBefore(row, priority),
        );
  }

  /** Notes a job that is going to be recorded. */
  noteAccepted(job: JobSpec, limits: AdmissionLimits): void {
    this.noteForecast(limits);
    this.returnTimes.forget(job.id);
    if (this.rooms.length > 0 && isForecast(job)) {
      this.accepted.push(job);
    }
  }

  /**
   * Notes a job of which it is not known whether it was recorded. It is not refused by room any more, since a
   * refusal says that the job never runs.
   */
  noteDoubtful(job: string): void {
    this.doubtfulJobs.add(job);
    for (const oldest of this.doubtfulJobs) {
      if (this.doubtfulJobs.size <= MAX_DOUBTFUL_JOBS) {
        break;
      }
      this.doubtfulJobs.delete(oldest);
    }
  }

  /** Returns after how many milliseconds the caller of a refused job should return. */
  readonly returnMs = (
    job: JobSpec,
    { retryAfterMs, forecast }: RoomRefusal,
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

  /** Each record that a host reads has rows of its own, also if they are equal to the ones before. */
  private noteForecast({ rooms }: AdmissionLimits): void {
    if (rooms !== this.rooms) {
      this.rooms = rooms;
      this.accepted = [];
    }
  }

  private acceptedBefore(row: RoomRow, priority: number): number {
    return this.accepted
      .filter(
        ({ terms }) =>
          terms.service === row.service && terms.priority <= priority,
      )
      .reduce((sum, job) => sum + estimatedWorkOf(job, row.kind), 0);
  }
}
