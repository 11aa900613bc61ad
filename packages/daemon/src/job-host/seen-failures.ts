/** Logs on hosts that do not lead when a job is first seen or shown as failed. */
import type {
  FailureReason,
  JobsState,
  JobState,
  JournalRecord,
} from '@paddlewind/domain/jobs';
import { reportedStateOf } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';

/** Maximum number of jobs that are remembered, so that each is logged once. */
const MAX_REMEMBERED_JOBS = 10_000;

/** From where a host knows the state of a job. */
export type StateSource = 'journal' | 'summary';

/** Jobs that were logged already; the oldest are forgotten. */
class LoggedJobs {
  private readonly ids = new Set<string>();

  /** Adds a job; false if it was added before. */
  add(id: string): boolean {
    if (this.ids.has(id)) {
      return false;
    }
    this.ids.add(id);
    const [oldest] = this.ids;
    if (this.ids.size > MAX_REMEMBERED_JOBS && oldest !== undefined) {
      this.ids.delete(oldest);
    }
    return true;
  }
}

/** Failed jobs that a host has found in the journal. */
export class SeenFailures {
  private readonly logged = new LoggedJobs();

  /** Creates the log of a host that has seen no job fail. */
  constructor(private readonly log: HostContext['log']) {}

  /** Logs the job of a record that was just applied if it has failed, once a job. */
  noteApplied(state: JobsState, record: JournalRecord): void {
    const id = jobThatMayFail(record);
    const job = id === undefined ? undefined : state.jobs.get(id);
    if (id === undefined || job?.failure === undefined) {
      return;
    }
    const { failure: reason } = reportedStateOf(job);
    if (reason === undefined || !this.logged.add(id)) {
      return;
    }
    const { epoch } = state.claim;
    const { maxAttempts } = job.spec.terms;
    this.log.info(
      { job: id, reason, epoch, by: record.kind, maxAttempts },
      'replica: a job has failed',
    );
  }
}

/** Answers of a host to callers that a job has failed. */
export class FailedAnswers {
  private readonly logged = new LoggedJobs();

  /** Creates the log of a host that answers from `source`; `epoch` returns that of the newest leader known. */
  constructor(
    private readonly log: HostContext['log'],
    private readonly source: StateSource,
    private readonly epoch: () => number | undefined,
  ) {}

  /** Logs the answer if the job has failed, once a job. */
  noteAnswer(job: string, { status, failure }: JobState): void {
    if (status !== 'failed' || !this.logged.add(job)) {
      return;
    }
    const reason: FailureReason | 'unknown' = failure ?? 'unknown';
    const { source } = this;
    this.log.info(
      { job, reason, source, epoch: this.epoch() },
      'jobs: a job is shown as failed',
    );
  }
}

/** Returns the job that a record may have failed, or with a restated job may show as failed. */
function jobThatMayFail(record: JournalRecord): string | undefined {
  switch (record.kind) {
    case 'end':
      return record.how === 'failed' ? record.task.job : undefined;
    case 'lost':
      return record.task.job;
    case 'restate':
      return record.image.spec.id;
    case 'claim':
    case 'heartbeat':
    case 'reached':
    case 'learnt':
    case 'release':
    case 'begun':
    case 'abandoned':
    case 'start':
    case 'moved':
      return undefined;
  }
}
