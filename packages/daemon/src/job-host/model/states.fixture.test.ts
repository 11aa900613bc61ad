/** States of the leadership model: two hosts, a worker and its replacement, and one task. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  emptyJobsState,
  findTask,
  isFinished,
  DEFAULT_STEP,
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
 * Length of a tick in milliseconds. One tick is shorter than a task's lease (5,000); two are longer
 * than a new leader waits after a release (5,202) or after silence (7,702).
 */
export const TICK_MS: Millis = 4_700;

/** An append in the log. */
export interface Append {
  readonly epoch: number;
  readonly sequence: number;
  readonly records: readonly JournalRecord[];
}

/** A worker: its memory and its active runs. */
export interface Worker {
  /** Whether it has ended for good; otherwise it answers the hosts it is not cut off from. */
  readonly dead: boolean;
  readonly cutFrom: readonly string[];
  readonly fence: number;
  readonly highestRun: number;
  readonly active: readonly number[];
  readonly leaseUntil: Instant;
  readonly ended: readonly ListedEnd[];
  readonly nextPosition: number;
}

/** The end of a run as listed by a worker. */
export interface ListedEnd {
  readonly position: number;
  readonly run: number;
  readonly how: RunEnd;
}

/** An order or a poll; a delayed one is carried out at any time or never. */
export interface Message {
  readonly kind: 'start' | 'stop' | 'poll';
  readonly to: number;
  readonly fence: number;
  readonly run: number;
  readonly sentAt: Instant;
  /** Whether its sender knew of the job's cancellation. */
  readonly cancelKnown: boolean;
  /** End of the lease that it gives; 0 for none. */
  readonly leaseUntil: Instant;
  readonly acknowledged: number;
}

/** The answer to a poll; on a slow leader it is handled later. */
export interface Report {
  readonly active: readonly number[];
  readonly ended: readonly ListedEnd[];
  /** Whether the stop of the open run was confirmed before the poll was sent. */
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
  /** Newest position that was listed, and the append to be confirmed before it counts as recorded. */
  readonly listedUpTo: number;
  readonly recordedWith: 'writing' | 'batch';
  readonly recordedUpTo: number;
  readonly acknowledgedUpTo: number;
  /**
   * The worker's clock in the first and in the newest answer, and when the newest was handled; -1
   * for none.
   */
  readonly firstClock: Instant;
  readonly clock: Instant;
  readonly answeredAt: Instant;
  /** Latest end of a lease given by this leader; -1 for none. */
  readonly extendedUntil: Instant;
}

/** What a leader knows of the open run in addition to the journal. */
export interface Progress {
  readonly decidedAt: Instant;
  readonly order: 'none' | 'start' | 'stop';
  /** Whether this leader has sent an order for it. */
  readonly ordered: boolean;
  readonly stopping: boolean;
  readonly stopConfirmed: boolean;
}

/** A host that leads, or believes that it leads. */
export interface LeaderState {
  readonly epoch: number;
  readonly sequence: number;
  readonly confirmedAt: Instant;
  /** When the records being written were first sent. */
  readonly firstSentAt: Instant;
  /** When it released the leadership; -1 for never. */
  readonly releasedAt: Instant;
  readonly inboxAt: Instant;
  readonly cancelKnown: boolean;
  /** Its copy of the journal, including its own decisions. */
  readonly copy: readonly JournalRecord[];
  readonly writing: readonly JournalRecord[];
  readonly batch: readonly JournalRecord[];
  readonly progress: Progress;
  readonly links: readonly [Link, Link];
}

/** A host. */
export interface Host {
  readonly name: string;
  /**
   * Each read since the start of the host: the number of appends of the journal read so far, and
   * the time.
   */
  readonly journalReads: readonly (readonly [upTo: number, at: Instant])[];
  readonly lead: LeaderState | undefined;
}

/** A state of the whole model. It is plain data, so that its JSON identifies it. */
export interface State {
  readonly now: Instant;
  readonly disruptions: number;
  readonly journal: readonly Append[];
  readonly delayedAppends: readonly Append[];
  /** Time of the cancellation; -1 for none. */
  readonly cancelledAt: Instant;
  readonly workers: readonly [Worker, Worker];
  /** The worker listed in the registry. */
  readonly registered: 0 | 1;
  /** The delayed messages. */
  readonly messages: readonly Message[];
  readonly hosts: readonly [Host, Host];
  /** Whether an end with `done` was acknowledged. */
  readonly doneAcknowledged: boolean;
}

/** A worker without runs. */
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

/** A link that was not used yet. */
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

/** Progress of a run for which this leader has sent no order. */
export const NO_PROGRESS: Progress = {
  decidedAt: 0,
  order: 'none',
  ordered: false,
  stopping: false,
  stopConfirmed: false,
};

/** The initial state: the job is submitted and nobody leads. */
export const INITIAL_STATE: State = {
  now: 0,
  disruptions: 0,
  journal: [],
  delayedAppends: [],
  cancelledAt: -1,
  workers: [IDLE_WORKER, IDLE_WORKER],
  registered: 0,
  messages: [],
  hosts: [
    { name: 'A', journalReads: [], lead: undefined },
    { name: 'B', journalReads: [], lead: undefined },
  ],
  doneAcknowledged: false,
};

const JOB: JobSpec = {
  id: 'j',
  payload: '',
  steps: [DEFAULT_STEP],
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

/** The only task. */
export const TASK = { job: JOB.id, occurrence: 0, step: 0, index: 0 };

/** Names of the workers in the journal. */
export const WORKER_NAMES = ['w1', 'w2'] as const;

/** The task as the records show it. */
export interface TaskView {
  readonly status: 'waiting' | 'running' | 'done';
  readonly isFinished: boolean;
  readonly lastRun: number;
  /** The open run; 0 for none. */
  readonly run: number;
  /** Index of its worker. */
  readonly at: number;
  readonly epoch: number;
  readonly reachedIn: ReadonlyMap<string, number>;
}

const views = new WeakMap<readonly JournalRecord[], TaskView>();
const cancelledViews = new WeakMap<readonly JournalRecord[], TaskView>();

/** Returns the task as the records show it, using the product's own fold. */
export function taskViewOf(
  records: readonly JournalRecord[],
  cancelled: boolean,
): TaskView {
  const cache = cancelled ? cancelledViews : views;
  return memoize(cache, records, () => fold(records, cancelled));
}

/** Returns the cached value of `key`, computing it the first time. */
export function memoize<Key extends object, Value>(
  cache: WeakMap<Key, Value>,
  key: Key,
  compute: () => Value,
): Value {
  const known = cache.get(key);
  if (known !== undefined) {
    return known;
  }
  const value = compute();
  cache.set(key, value);
  return value;
}

function fold(records: readonly JournalRecord[], cancelled: boolean): TaskView {
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
    throw new Error('the task is missing');
  }
  const run = task.runs[0];
  return {
    status: task.status,
    isFinished: isFinished(task.step.occurrence.job),
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

/** Returns all records of the log in order. */
export function recordsOf(
  journal: readonly Append[],
): readonly JournalRecord[] {
  return memoize(journalRecords, journal, () =>
    journal.flatMap(({ records }) => records),
  );
}

/** Result of an append: the log after it and the answer. */
interface Appended {
  readonly journal: readonly Append[];
  readonly kind: AppendResult['kind'];
}

const appended = new WeakMap<readonly Append[], Map<string, Appended>>();

/** Appends by the rules of the log stand-in. */
export function append(journal: readonly Append[], added: Append): Appended {
  const answers = memoize(appended, journal, () => new Map<string, Appended>());
  const key = JSON.stringify(added);
  const answer = answers.get(key) ?? appendToLog(journal, added);
  answers.set(key, answer);
  return answer;
}

function appendToLog(journal: readonly Append[], added: Append): Appended {
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

/** Returns the number of appends that a host has read. */
export function readUpTo({ journalReads }: Host): number {
  return journalReads.at(-1)?.[0] ?? 0;
}

/** Returns the host after it has read the journal to its end. */
export function readToEnd(host: Host, { journal, now }: State): Host {
  return readUpTo(host) === journal.length
    ? host
    : { ...host, journalReads: [...host.journalReads, [journal.length, now]] };
}

/** Returns the ends of leases as known from everything that a host has read. */
export function leaseEndsOf(
  { journalReads }: Host,
  { journal }: State,
): LeaseEnds {
  const ends = new LeaseEnds();
  ends.noteBeginning();
  let from = 0;
  for (const [upTo, at] of journalReads) {
    for (const { epoch, records } of journal.slice(from, upTo)) {
      records.forEach(record => {
        ends.applyRecord(record, epoch, at);
      });
    }
    from = upTo;
  }
  return ends;
}

/** Returns the lease of a worker as its leader knows it; all clocks are equal here. */
export function leaseOf(
  state: State,
  host: Host,
  lead: LeaderState,
  worker: number,
): Lease {
  const link = lead.links[worker] ?? NEW_LINK;
  const name = WORKER_NAMES[worker] ?? '';
  const { reachedIn } = taskViewOf(lead.copy, lead.cancelKnown);
  const ends = leaseEndsOf(host, state);
  const earlierEnd = ends.leaseEndFor(name, reachedIn.get(name));
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
