/** States of the model of leadership: two hosts, a worker and the one that replaces it, one task. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  emptyJobsState,
  findTask,
  isFinished,
  PLAIN_STEP,
  type JobSpec,
  type JobsState,
  type JournalRecord,
  type RunEnd,
} from '@paddlewind/domain/jobs';
import type { AppendResult } from '@paddlewind/ports/jobs';
import { LogPartition } from '@paddlewind/stand-ins/jobs';

import { LeaseEnds } from '../lease-ends.js';
import { Lease } from '../lease.js';
import { TASK_LEASE_MS } from '../timing.js';

/**
 * Length of a tick in milliseconds: one is shorter than a task's lease (5,000), two are longer than what a
 * new leader waits for one that released the lead (5,202) or fell silent (7,702).
 */
export const TICK_MS: Millis = 4_700;

/** An append as the log keeps it. */
export interface Append {
  readonly epoch: number;
  readonly sequence: number;
  readonly records: readonly JournalRecord[];
}

/** A worker: what it remembers and what it runs. */
export interface Worker {
  /** Whether it has ended for good; else it answers the hosts from which it is not cut off. */
  readonly dead: boolean;
  readonly cutFrom: readonly string[];
  readonly fence: number;
  readonly highestRun: number;
  readonly active: readonly number[];
  readonly leaseUntil: Instant;
  readonly ended: readonly Ended[];
  readonly nextPosition: number;
}

/** An end that a worker lists. */
export interface Ended {
  readonly position: number;
  readonly run: number;
  readonly how: RunEnd;
}

/** An order or a look; one that is late is carried out at any time, or never. */
export interface Message {
  readonly kind: 'start' | 'stop' | 'look';
  readonly to: number;
  readonly fence: number;
  readonly run: number;
  readonly sentAt: Instant;
  /** Whether its sender knew that the job was cancelled. */
  readonly cancelKnown: boolean;
  /** End of the lease that it gives; 0 for none. */
  readonly leaseUntil: Instant;
  readonly acknowledged: number;
}

/** What a look brought, not taken in yet where the leader's host is slow. */
export interface Report {
  readonly active: readonly number[];
  readonly ended: readonly Ended[];
  /** Whether the stop of the open run was confirmed before the look was sent. */
  readonly afterStop: boolean;
  readonly clock: Instant;
  readonly acknowledged: number;
}

/** A leader's link to a worker. */
export interface Link {
  readonly verified: boolean;
  readonly reached: boolean;
  readonly answering: boolean;
  readonly report: Report | undefined;
  /** Newest position that was listed, and which append has to be confirmed before it counts as recorded. */
  readonly listedUpTo: number;
  readonly recordedWith: 'writing' | 'batch';
  readonly recordedUpTo: number;
  readonly acknowledgedUpTo: number;
  /** The worker's clock in the first and in the newest answer, and when the latter was taken in; -1 for none. */
  readonly firstClock: Instant;
  readonly clock: Instant;
  readonly answeredAt: Instant;
  /** Latest end of a lease that this leader gave; -1 for none. */
  readonly extendedUntil: Instant;
}

/** What a leader knows of the open run beyond the journal. */
export interface Progress {
  readonly decidedAt: Instant;
  readonly order: 'none' | 'start' | 'stop';
  /** Whether an order was given to it by this leader. */
  readonly ordered: boolean;
  readonly stopping: boolean;
  readonly stopConfirmed: boolean;
}

/** A host that leads, or takes itself to lead. */
export interface Lead {
  readonly epoch: number;
  readonly sequence: number;
  readonly confirmedAt: Instant;
  /** When what is being written was sent for the first time. */
  readonly firstSentAt: Instant;
  /** When it asked to be replaced; -1 for never. */
  readonly releasedAt: Instant;
  readonly inboxAt: Instant;
  readonly cancelKnown: boolean;
  /** Its copy: what it has read and decided. */
  readonly known: readonly JournalRecord[];
  readonly writing: readonly JournalRecord[];
  readonly batch: readonly JournalRecord[];
  readonly progress: Progress;
  readonly links: readonly [Link, Link];
}

/** A host. */
export interface Host {
  readonly name: string;
  /** When it read how many appends of the journal, since it started. */
  readonly reads: readonly (readonly [upTo: number, at: Instant])[];
  readonly lead: Lead | undefined;
}

/** A state of everything; plain data, so that its JSON tells states apart. */
export interface State {
  readonly now: Instant;
  readonly troubles: number;
  readonly journal: readonly Append[];
  readonly lateAppends: readonly Append[];
  /** Time of the cancellation; -1 for none. */
  readonly cancelledAt: Instant;
  readonly workers: readonly [Worker, Worker];
  /** The worker that the registry lists. */
  readonly registered: 0 | 1;
  /** Those that are late. */
  readonly messages: readonly Message[];
  readonly hosts: readonly [Host, Host];
  /** Whether an end as done was acknowledged. */
  readonly doneAcknowledged: boolean;
}

/** A worker that runs nothing. */
const IDLE_WORKER: Worker = {
  dead: false,
  cutFrom: [],
  fence: 0,
  highestRun: 0,
  active: [],
  leaseUntil: 0,
  ended: [],
  nextPosition: 1,
};

/** A link over which nothing was said. */
export const NEW_LINK: Link = {
  verified: false,
  reached: false,
  answering: true,
  report: undefined,
  listedUpTo: 0,
  recordedWith: 'batch',
  recordedUpTo: 0,
  acknowledgedUpTo: 0,
  firstClock: -1,
  clock: -1,
  answeredAt: -1,
  extendedUntil: -1,
};

/** Progress of a run to which this leader has given no order. */
export const NO_PROGRESS: Progress = {
  decidedAt: 0,
  order: 'none',
  ordered: false,
  stopping: false,
  stopConfirmed: false,
};

/** The state in which the job is submitted and nobody leads. */
export const FIRST_STATE: State = {
  now: 0,
  troubles: 0,
  journal: [],
  lateAppends: [],
  cancelledAt: -1,
  workers: [IDLE_WORKER, IDLE_WORKER],
  registered: 0,
  messages: [],
  hosts: [
    { name: 'A', reads: [], lead: undefined },
    { name: 'B', reads: [], lead: undefined },
  ],
  doneAcknowledged: false,
};

const JOB: JobSpec = {
  id: 'j',
  payload: '',
  steps: [PLAIN_STEP],
  repetition: undefined,
  terms: {
    queue: 'q',
    service: 'main',
    priority: 0,
    maxAttempts: 3,
    deadlineFactor: 2,
    targetLatencyMs: 500,
  },
};

/** The one task. */
export const TASK = { job: JOB.id, occurrence: 0, step: 0, index: 0 };

/** Names of the workers in the journal. */
export const WORKER_NAMES = ['w1', 'w2'] as const;

/** What folding records tells of the task. */
export interface View {
  readonly status: 'waiting' | 'running' | 'done';
  readonly over: boolean;
  readonly lastRun: number;
  /** The open run; 0 for none. */
  readonly run: number;
  /** Its worker. */
  readonly at: number;
  readonly epoch: number;
  readonly reachedIn: ReadonlyMap<string, number>;
}

const views = new WeakMap<readonly JournalRecord[], View>();
const cancelledViews = new WeakMap<readonly JournalRecord[], View>();

/** Folds records by the product's own fold. */
export function viewOf(
  records: readonly JournalRecord[],
  cancelled: boolean,
): View {
  const cache = cancelled ? cancelledViews : views;
  return remembered(cache, records, () => fold(records, cancelled));
}

/** Returns what is remembered of `key`, worked out the first time. */
export function remembered<Key extends object, Value>(
  cache: WeakMap<Key, Value>,
  key: Key,
  workOut: () => Value,
): Value {
  const known = cache.get(key);
  if (known !== undefined) {
    return known;
  }
  const value = workOut();
  cache.set(key, value);
  return value;
}

function fold(records: readonly JournalRecord[], cancelled: boolean): View {
  const state: JobsState = emptyJobsState();
  applyInbox(state, { kind: 'submit', job: JOB, atWall: 0 });
  for (const record of records) {
    applyJournal(state, record);
  }
  if (cancelled) {
    applyInbox(state, { kind: 'cancel', job: JOB.id });
  }
  const task = findTask(state, TASK);
  if (task === undefined) {
    throw new Error('the task is gone');
  }
  const run = task.runs[0];
  return {
    status: task.status,
    over: isFinished(task.step.occurrence.job),
    lastRun: task.lastRun,
    run: run?.number ?? 0,
    at: run?.worker === WORKER_NAMES[1] ? 1 : 0,
    epoch: state.claim.epoch,
    reachedIn: state.reachedInEpoch,
  };
}

const journalRecords = new WeakMap<
  readonly Append[],
  readonly JournalRecord[]
>();

/** All records of the log in order. */
export function recordsOf(
  journal: readonly Append[],
): readonly JournalRecord[] {
  return remembered(journalRecords, journal, () =>
    journal.flatMap(({ records }) => records),
  );
}

/** What an append brings: the log after it, and the answer. */
interface Appended {
  readonly journal: readonly Append[];
  readonly kind: AppendResult['kind'];
}

const appended = new WeakMap<readonly Append[], Map<string, Appended>>();

/** Appends by the stand-in's own rules. */
export function append(journal: readonly Append[], added: Append): Appended {
  const answers = remembered(
    appended,
    journal,
    () => new Map<string, Appended>(),
  );
  const key = JSON.stringify(added);
  const answer = answers.get(key) ?? appendAnew(journal, added);
  answers.set(key, answer);
  return answer;
}

function appendAnew(journal: readonly Append[], added: Append): Appended {
  const log = new LogPartition();
  for (const earlier of journal) {
    log.append([new Uint8Array()], stampOf(earlier));
  }
  const { kind } = log.append([new Uint8Array()], stampOf(added));
  const isNew = log.records.length > journal.length;
  return { journal: isNew ? [...journal, added] : journal, kind };
}

function stampOf({ epoch, sequence }: Append) {
  return { writer: 'leader', epoch, sequence };
}

/** Number of appends that a host has read. */
export function readUpTo({ reads }: Host): number {
  return reads.at(-1)?.[0] ?? 0;
}

/** The host that has read the journal to its end. */
export function readToEnd(host: Host, { journal, now }: State): Host {
  return readUpTo(host) === journal.length
    ? host
    : { ...host, reads: [...host.reads, [journal.length, now]] };
}

/** What a host knows of the ends of leases from all that it has read. */
export function leaseEndsOf({ reads }: Host, { journal }: State): LeaseEnds {
  const ends = new LeaseEnds();
  ends.noteBeginning();
  let from = 0;
  for (const [upTo, at] of reads) {
    for (const { epoch, records } of journal.slice(from, upTo)) {
      records.forEach(record => {
        ends.applyRecord(record, epoch, at);
      });
    }
    from = upTo;
  }
  return ends;
}

/** The lease of a worker as its leader knows it; clocks are alike here. */
export function leaseOf(
  state: State,
  host: Host,
  lead: Lead,
  worker: number,
): Lease {
  const link = lead.links[worker] ?? NEW_LINK;
  const name = WORKER_NAMES[worker] ?? '';
  const { reachedIn } = viewOf(lead.known, lead.cancelKnown);
  const ends = leaseEndsOf(host, state);
  const earlierEnd = ends.endFor(name, reachedIn.get(name));
  const lease = new Lease(earlierEnd, TASK_LEASE_MS, false);
  if (link.firstClock >= 0) {
    lease.noteClock(link.firstClock, link.firstClock);
  }
  if (link.extendedUntil >= 0) {
    const extendedAt = link.extendedUntil - TASK_LEASE_MS;
    lease.noteClock(extendedAt, extendedAt);
    lease.extend(extendedAt, Infinity);
  }
  if (link.answeredAt >= 0) {
    lease.noteClock(link.clock, link.answeredAt);
  }
  return lease;
}
