/** A worker that answers orders as a test says, and the runs that are ordered there. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  emptyJobsState,
  findTask,
  refOf,
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

import { testContext } from './context.fixture.test.js';
import type { HostContext } from './context.js';
import { jobOf, type TestStep } from './simulation.fixture.test.js';
import type { StartSender } from './relay/start-sender.js';
import { LEASE_HORIZON_MS } from './timing.js';
import { WorkerLink } from './worker-link.js';

/** The job whose tasks are ordered. */
export const ORDERED_JOB = '00000000000000c1';

const ACCEPTED: OrderResult = { kind: 'accepted', clock: 0 };

/** The worker to which orders go. */
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

/** A job whose tasks run on one worker, and what was ordered there. */
export class OrderedRuns {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  readonly ctx: HostContext = testContext(this.time);
  /** Orders that were sent, such as `start 0#1` and `throttle 0#1 50`. */
  readonly sent: string[] = [];
  /** Ends that were told, such as `0#1 void`. */
  readonly ended: string[] = [];
  /** Looks that were sent. */
  readonly looks: PollRequest[] = [];
  /** Ends that the worker lists until they are acknowledged. */
  readonly listed: EndedRun[] = [];
  /** What the worker's answers tell of its start. */
  startedAt: Instant | undefined;
  /** Incarnations that answered in place of the one that was looked at. */
  readonly replacedBy: string[] = [];
  /** Whether the connection is there over which the worker last answered a look. */
  connected = true;
  /** How long the worker takes for each order. */
  answerMs: Millis = 0;
  /** What it answers to each order. */
  answer = ACCEPTED;

  readonly port: WorkerPort = {
    start: (_to, order) => this.take('start', order),
    stop: (_to, order) => this.take('stop', order),
    throttle: (_to, order) => this.take('throttle', order, order.percent),
    poll: (_to, order) => this.look(order),
    isConnected: () => this.connected,
    forget: () => undefined,
  };

  readonly starts: StartSender = {
    maxStarts: Infinity,
    isBusy: false,
    begin: () => Promise.resolve(),
    close: () => undefined,
    send: (to, order) => this.port.start(to, order),
  };

  /** Creates a job of `tasks` tasks, none of which runs. */
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

  /** Ends a run as the leader does when it is told. */
  readonly end = (run: Run, how: RunEnd): void => {
    this.ended.push(`${run.task.index}#${run.number} ${how}`);
    const task = refOf(run.task);
    const ended = { task, run: run.number, how, checkpoint: '' };
    applyJournal(this.state, { kind: 'end', ...ended });
  };

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

  private async take(
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

  private async look(order: PollRequest): Promise<PollResult> {
    this.looks.push(order);
    // A look takes a while, so that looks don't follow each other without end.
    await this.pause(Math.max(50, order.waitMs));
    const clock: Instant = this.time.clock();
    return {
      kind: 'seen',
      startedAt: this.startedAt,
      clock,
      active: [],
      ended: this.listed.filter(
        ({ position }) => position > order.acknowledged,
      ),
    };
  }

  private pause(span: Millis): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

/** A link that has reached the worker of `site`. */
export async function linkTo(
  site: OrderedRuns,
  info = ORDERED_WORKER,
): Promise<WorkerLink> {
  const link = new WorkerLink(info, {
    ctx: site.ctx,
    port: site.port,
    starts: site.starts,
    fence: 1,
    maxLeaseMs: 6_000,
    earlierLeaseEnd: 0,
    horizon: () => site.time.clock() + LEASE_HORIZON_MS,
    runs: () => workerRuns(site.state, info.id),
    otherRuns: () => [],
    isNew: false,
    leadsSince: 0,
    lookWaitMs: () => 1_000,
    inboxAgeMs: () => 0,
    registryAgeMs: () => 0,
    ticketFor: () => undefined,
    events: {
      ended: site.end,
      moved: () => undefined,
      replaced: by => {
        site.replacedBy.push(by);
        link.supersede();
      },
      givenUp: (_worker, runs) => {
        for (const run of runs) {
          site.end(run, 'lapsed');
        }
      },
      strayEnd: () => undefined,
      recorded: () => Promise.resolve(true),
      reached: done => {
        done();
      },
      fenced: () => undefined,
      ticketRefused: () => undefined,
      began: () => undefined,
      started: () => undefined,
      reported: () => undefined,
      silent: () => undefined,
      changed: () => undefined,
    },
  });
  void link.begin();
  await site.time.advance(100);
  return link;
}
