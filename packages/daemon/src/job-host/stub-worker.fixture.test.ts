/** A stub worker whose answers to orders are set by a test, and the runs that are ordered there. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  emptyJobsState,
  findTask,
  refOf,
  runsOfOtherIncarnations,
  workerRuns,
  type Run,
  type RunEnd,
  type Task,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type {
  EndedRun,
  PollRequest,
  PollResult,
  OrderResult,
  RunOrder,
  StartOrder,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { FirstPolls } from './first-polls.js';
import { EvacuatedZones } from './evacuated-zones.js';
import { testContext } from './context.fixture.test.js';
import type { HostContext } from './context.js';
import { jobOf, type TestStep } from './simulation.fixture.test.js';
import type { StartSender } from './relay/start-sender.js';
import { LEASE_HORIZON_MS } from './timing.js';
import { WorkerLink } from './worker-link.js';

/** The job whose tasks are ordered. */
export const ORDERED_JOB = '00000000000000c1';

const ACCEPTED: OrderResult = { kind: 'accepted', clock: 0 };

/** The worker that receives the orders. */
export const ORDERED_WORKER: WorkerInfo = {
  id: 'w',
  address: 'w',
  service: 'main',
  availabilityZone: 'a',
  rack: undefined,
  labels: [],
  capacity: { cpuMilli: 4_000, memoryMiB: 8_000, accelerators: 0 },
  leaving: false,
};

/** A job whose tasks run on one worker, and a record of the orders sent there. */
export class StubWorker {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  /** Whether the host has no time to spare. */
  saturated = false;
  readonly ctx: HostContext = {
    ...testContext(this.time),
    isSaturated: () => this.saturated,
  };
  /** Shortest time between two polls. */
  pollIntervalMs: Millis = 0;
  /** How long the worker may wait for an end. */
  pollWaitMs: Millis = 1_000;
  /** Orders that were sent, such as `start 0#1` and `throttle 0#1 50`. */
  readonly sent: string[] = [];
  /** Ends that were reported, such as `0#1 void`. */
  readonly ended: string[] = [];
  /** Polls that were sent. */
  readonly polls: PollRequest[] = [];
  /** Ends that the worker lists until they are acknowledged. */
  readonly listed: EndedRun[] = [];
  /** Number of ends that the worker lists at a time. */
  listedEnds = 500;
  /** Start time that the worker includes in its answers. */
  startedAt: Instant | undefined;
  /** Incarnations that answered in place of the polled one. */
  readonly replacedBy: string[] = [];
  /** Whether the connection over which the worker last answered a poll still exists. */
  connected = true;
  /** Number of starts that may be sent at once. */
  startWidth = 1;
  /** How long the worker takes for each order. */
  answerMs: Millis = 0;
  /** The worker's answer to each order. */
  answer = ACCEPTED;

  readonly port: WorkerPort = {
    start: (_to, order) => this.answerOrder('start', order),
    stop: (_to, order) => this.answerOrder('stop', order),
    throttle: (_to, order) =>
      this.answerOrder('throttle', order, order.percent),
    poll: (_to, request) => this.answerPoll(request),
    isConnected: () => this.connected,
    disconnect: () => undefined,
  };

  readonly starts: StartSender = {
    maxStarts: Infinity,
    hasWaitingStarts: false,
    begin: () => Promise.resolve(),
    close: () => undefined,
    widthFor: () => this.startWidth,
    send: (to, order) => this.port.start(to, order),
  };

  /** Creates a job of `tasks` tasks, none of which is running. */
  constructor(tasks: number, step: Partial<TestStep> = {}) {
    const steps = [{ after: [], ...step, tasks }];
    const script = { runMs: 60_000, failures: 0 };
    const job = jobOf(ORDERED_JOB, steps, script);
    applyInbox(this.state, { kind: 'submit', job, atWall: 0 });
  }

  /** Opens the next run of a task. */
  open(index: number, worker = ORDERED_WORKER.id): Run {
    const task = this.task(index);
    const run = task.lastRun + 1;
    applyJournal(this.state, { kind: 'start', task: refOf(task), run, worker });
    const opened = task.runs.at(-1);
    if (opened === undefined) {
      throw new Error('the run was not opened');
    }
    return opened;
  }

  /** Ends a run as the leader does. */
  readonly end = (run: Run, how: RunEnd): void => {
    this.ended.push(`${run.task.index}#${run.number} ${how}`);
    const task = refOf(run.task);
    const ended = { task, run: run.number, how, checkpoint: '' };
    applyJournal(this.state, { kind: 'end', ...ended });
  };

  /** Records that a run has started at a later incarnation of its worker, as the leader does. */
  move(run: Run, worker: string): void {
    const moved = { task: refOf(run.task), run: run.number, worker };
    applyJournal(this.state, { kind: 'moved', ...moved });
  }

  /** Lists the end of a run from now on. */
  list(run: Run, how: RunEnd): void {
    const position = this.listed.length + 1;
    const task = refOf(run.task);
    this.listed.push({ position, task, run: run.number, how, checkpoint: '' });
  }

  /** Cancels the job. */
  cancel(): void {
    applyInbox(this.state, { kind: 'cancel', job: ORDERED_JOB });
  }

  private task(index: number): Task {
    const ref = { job: ORDERED_JOB, occurrence: 0, step: 0, index };
    const found = findTask(this.state, ref);
    if (found === undefined) {
      throw new Error('no such task');
    }
    return found;
  }

  private async answerOrder(
    kind: string,
    order: StartOrder | RunOrder,
    percent?: number,
  ): Promise<OrderResult> {
    const { answer } = this;
    const name = `${kind} ${order.task.index}#${order.run}`;
    this.sent.push(percent === undefined ? name : `${name} ${percent}`);
    await this.pause(this.answerMs);
    return answer;
  }

  private async answerPoll(request: PollRequest): Promise<PollResult> {
    this.polls.push(request);
    // A poll takes some time, so that polls do not follow each other in an endless loop.
    await this.pause(Math.max(50, request.waitMs));
    const clock: Instant = this.time.clock();
    const unacknowledged = this.listed.filter(
      ({ position }) => position > request.acknowledged,
    );
    return {
      kind: 'seen',
      startedAt: this.startedAt,
      clock,
      active: [],
      ended: unacknowledged.slice(0, this.listedEnds),
      hasMoreEnds: unacknowledged.length >= this.listedEnds,
    };
  }

  private pause(span: Millis): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

/** Opens a link, which reaches the worker of `stub`. */
export async function openLink(
  stub: StubWorker,
  info = ORDERED_WORKER,
): Promise<WorkerLink> {
  const link = new WorkerLink(info, {
    ctx: stub.ctx,
    port: stub.port,
    starts: stub.starts,
    fence: 1,
    maxLeaseMs: 6_000,
    earlierLeaseEnd: 0,
    horizon: () => stub.time.clock() + LEASE_HORIZON_MS,
    runs: () => workerRuns(stub.state, info.id),
    otherRuns: () => runsOfOtherIncarnations(stub.state, info.id),
    isNew: false,
    firstPolls: new FirstPolls(),
    leadsSince: 0,
    pollWaitMs: () => stub.pollWaitMs,
    pollIntervalMs: () => stub.pollIntervalMs,
    inboxAgeMs: () => 0,
    registryAgeMs: () => 0,
    evacuatedZones: new EvacuatedZones(stub.ctx, undefined),
    ticketFor: () => undefined,
    events: {
      ended: stub.end,
      moved: run => {
        stub.move(run, info.id);
      },
      replaced: by => {
        stub.replacedBy.push(by);
        link.supersede();
      },
      abandoned: (_worker, runs) => {
        for (const run of runs) {
          stub.end(run, 'lapsed');
        }
      },
      strayEnd: () => undefined,
      recorded: () => Promise.resolve(true),
      reached: done => {
        done();
      },
      fenced: () => undefined,
      ticketRefused: () => undefined,
      runStarted: () => undefined,
      startConfirmed: () => undefined,
      startExpired: () => undefined,
      reported: () => undefined,
      silent: () => undefined,
      answersAgain: () => undefined,
      changed: () => undefined,
    },
  });
  void link.run();
  await stub.time.advance(100);
  return link;
}
