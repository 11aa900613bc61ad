/**
 * A log that drops old records, a leader that decides on jobs, and hosts that rebuild the state of jobs from what is
 * left of the log.
 */
import { UNKNOWN_SPAN, type Instant, type Millis } from '@paddlewind/domain';
import {
  encodeRecord,
  forgetFinishedJobs,
  isAwaitingCompletion,
  isFinished,
  NO_LIMITS,
  refOf,
  statusOf,
  type InboxRecord,
  type Job,
  type JobsState,
  type JournalRecord,
  type RunEnd,
  type Task,
} from '@paddlewind/domain/jobs';
import type { JobLog } from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import type { HostContext } from './context.js';
import { DecisionLog } from './decision-log.js';
import { Heartbeats } from './leader-records.js';
import type { WonClaim } from './leadership.js';
import { Replica, type FoldedStream } from './replica.js';
import { restateDueJobs } from './restate-due.js';
import { jobOf } from './simulation.fixture.test.js';

/** How long records are kept, and how long the states of finished jobs can be queried. */
export interface Retention {
  /** Retention time of the log. */
  readonly keepMs: Millis;
  /** The same of a stream that reaches its maximum size earlier. */
  readonly inboxMs?: Millis;
  readonly journalMs?: Millis;
  readonly statusMs: Millis;
}

/** Interval at which the leader reads the inbox, restates jobs and writes a heartbeat. */
const ROUND_MS: Millis = 250;
/** Time for a few calls of the log. */
const CALLS_MS: Millis = 40;
const WORKERS = ['w1', 'w2', 'w3'];

/** The leader, whose state is held in memory. */
interface SimulatedLeader {
  readonly replica: Replica;
  readonly decisions: DecisionLog;
  readonly heartbeats: Heartbeats;
}

/** The state of a job as far as it decides what may run: what a rebuilt state must have in common with the held one. */
export type ComparedJob = Readonly<Record<string, unknown>>;

/** A log and its hosts. */
export class ExpiringLog {
  readonly time = createVirtualTime();
  readonly log: MemoryJobLog;
  private readonly ctx: HostContext;
  private readonly port: JobLog;
  /** Times of the records, by stream. */
  private readonly times: Record<FoldedStream, Instant[]> = {
    inbox: [],
    journal: [],
  };
  private epoch = 0;
  private leader: SimulatedLeader | undefined;

  /** Creates an empty log. */
  constructor(private readonly retention: Retention) {
    this.log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
    this.ctx = testContext(this.time);
    this.port = this.log.connect('h');
  }

  /** The state that the leader holds. */
  get held(): JobsState {
    if (this.leader === undefined) {
      throw new Error('there is no leader');
    }
    return this.leader.replica.state;
  }

  /** Appends a record to the inbox, and once more after `lateMs` if that is given. */
  async append(record: InboxRecord, lateMs: Millis | null): Promise<void> {
    const append = (): void => {
      void this.port.append('inbox', [encodeRecord(record)]);
    };
    append();
    if (lateMs !== null) {
      this.time.schedule(lateMs, append);
    }
    await this.time.advance(CALLS_MS);
  }

  /** Returns the submission of a job of two steps with two and one tasks. */
  submission(job: string): InboxRecord {
    const steps = [
      { tasks: 2, after: [] },
      { tasks: 1, after: [0] },
    ];
    const spec = jobOf(job, steps, { runMs: 100, failures: 0 });
    return { kind: 'submit', job: spec, atWall: this.time.clock() };
  }

  /** A host that has just started becomes the leader, `leaderlessMs` after the last one has ended. */
  async takeOver(leaderlessMs: Millis): Promise<void> {
    this.leader = undefined;
    await this.time.advance(leaderlessMs);
    const replica = await this.rebuild('journal');
    this.epoch += 64;
    const { epoch } = this;
    const stamp = { writer: 'leader', epoch, sequence: 1 };
    const record: JournalRecord = { kind: 'claim', epoch, host: 'h', nonce: 1 };
    void this.port.append('journal', [encodeRecord(record)], stamp);
    await this.time.advance(CALLS_MS);
    await this.readAll(replica, 'inbox');
    const now = this.time.clock();
    const claim: WonClaim = {
      epoch,
      firstFence: 1,
      nonce: 1,
      nextStamp: { ...stamp, sequence: 2 },
      sentAt: now,
      wonAt: now,
      silence: UNKNOWN_SPAN,
    };
    const decisions = new DecisionLog(this.ctx, this.port, replica, claim);
    const heartbeats = new Heartbeats(
      {
        ctx: this.ctx,
        claim,
        replica,
        peerAddress: 'h',
        port: { isActive: false },
      },
      { report: () => undefined },
      { limits: () => NO_LIMITS },
    );
    this.leader = { replica, decisions, heartbeats };
  }

  /** Lets time pass in which the leader does its rounds. */
  async pass(span: Millis): Promise<void> {
    const until = this.time.clock() + span;
    while (this.time.clock() < until) {
      await this.round();
      await this.time.advance(ROUND_MS);
    }
  }

  /** Starts the next run of a task that may run; does nothing if there is none. */
  start(pick: number): void {
    const waiting = this.openTasks().filter(({ runs }) => runs.length === 0);
    const task = waiting[pick % Math.max(1, waiting.length)];
    if (task === undefined) {
      return;
    }
    const worker = WORKERS[pick % WORKERS.length] ?? '';
    const run = task.lastRun + 1;
    this.decide({ kind: 'start', task: refOf(task), run, worker });
    const { job } = task.step.occurrence;
    if (!job.hasStarted) {
      this.decide({ kind: 'begun', job: job.spec.id });
    }
  }

  /** Ends a run; does nothing if there is none. */
  end(pick: number, how: RunEnd): void {
    const runs = [...this.held.workers.values()].flatMap(found => [
      ...found.runs.values(),
    ]);
    const run = runs[pick % Math.max(1, runs.length)];
    if (run !== undefined) {
      const task = refOf(run.task);
      const checkpoint = how === 'stopped' ? `c${run.number}` : '';
      this.decide({ kind: 'end', task, run: run.number, how, checkpoint });
    }
  }

  /** Returns a new host's copy of what is left of the log, of which it reads one stream first. */
  async rebuild(first: FoldedStream): Promise<Replica> {
    const replica = new Replica(this.ctx, this.port);
    await this.readAll(replica, first);
    return replica;
  }

  /** The leader applies what is in the inbox, decides what is due, and writes it. */
  async round(): Promise<void> {
    if (this.leader === undefined) {
      return;
    }
    const { replica, decisions, heartbeats } = this.leader;
    void replica.refresh('inbox');
    await this.time.advance(CALLS_MS);
    const { ctx, retention } = this;
    restateDueJobs(this.held, decisions, ctx, retention.keepMs);
    decisions.record(heartbeats.next());
    void decisions.write();
    await this.time.advance(CALLS_MS);
    const now = this.time.clock();
    forgetFinishedJobs(this.held, now, now - retention.statusMs);
    this.dropOld();
  }

  private decide(record: JournalRecord): void {
    this.leader?.decisions.record(record);
  }

  private openTasks(): Task[] {
    return [...this.held.openJobs]
      .flatMap(({ occurrences }) => [...occurrences.values()])
      .flatMap(({ steps }) => steps)
      .filter(({ spec, occurrence: { steps } }) =>
        spec.after.every(at => steps[at]?.remaining === 0),
      )
      .flatMap(({ tasks }) => tasks)
      .filter(isAwaitingCompletion);
  }

  private async readAll(replica: Replica, first: FoldedStream): Promise<void> {
    this.dropOld();
    for (const stream of [first, 'inbox', 'journal'] as const) {
      void replica.refresh(stream);
      await this.time.advance(CALLS_MS);
    }
  }

  private dropOld(): void {
    const { keepMs, inboxMs = keepMs, journalMs = keepMs } = this.retention;
    this.dropBefore('inbox', this.time.clock() - inboxMs);
    this.dropBefore('journal', this.time.clock() - journalMs);
  }

  private dropBefore(stream: FoldedStream, from: Instant): void {
    const times = this.times[stream];
    while (times.length < this.log.recordsOf(stream).length) {
      times.push(this.time.clock());
    }
    const first = times.findIndex(at => at >= from);
    this.log.trimStream(stream, first === -1 ? times.length : first);
  }
}

/** Returns what a state says of its jobs that are not settled, or were not forgotten. */
export function comparedJobs({ jobs }: JobsState): Map<string, ComparedJob> {
  return new Map([...jobs].map(([id, job]) => [id, comparedJob(job)]));
}

/** What is still to be done of a finished job is not compared: its image has no tasks any more. */
function comparedJob(job: Job): ComparedJob {
  const { remaining, hasStarted } = job;
  const status = statusOf(job);
  const steps = isFinished(job) ? [] : stepsOf(job);
  const runs = runsOf(job);
  return { status, remaining, hasStarted, steps, runs };
}

function stepsOf({ occurrences }: Job): unknown[] {
  return [...occurrences.values()].map(occurrence => ({
    remaining: occurrence.remaining,
    steps: occurrence.steps.map(step => ({
      remaining: step.remaining,
      tasks: step.tasks.map(task => ({
        status: task.status,
        lastRun: task.lastRun,
        failures: task.failures,
        failedOn: [...task.failedOn].sort(),
        checkpoint: task.checkpoint,
      })),
    })),
  }));
}

function runsOf({ occurrences }: Job): string[] {
  return [...occurrences.values()]
    .flatMap(({ steps }) => steps)
    .flatMap(({ tasks }) => tasks)
    .flatMap(task =>
      task.runs.map(
        ({ number, worker }) =>
          `${task.step.number}.${task.index}#${number} ${worker}`,
      ),
    )
    .sort();
}
