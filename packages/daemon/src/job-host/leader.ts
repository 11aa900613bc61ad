/** The leader's loop: takes in ends, plans starts, records both, then acts. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  AdviceTickets,
  createRunTimes,
  EMPTY_ACCOUNT,
  Interference,
  planSpeculativeCopies,
  planStarts,
  refOf,
  runsOfOtherIncarnations,
  WorkerHealth,
  workerIdOf,
  workerRuns,
  type ApplyStart,
  type JobsState,
  type JournalRecord,
  type PlanInput,
  type Run,
  type RunTimes,
  type StartDecision,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';

import { Adviser } from './adviser.js';
import { WakeSignal } from './wake-signal.js';
import { pause } from './context.js';
import { DecisionLog } from './decision-log.js';
import { Fences } from './fences.js';
import { Fleet } from './fleet.js';
import { keepAccount } from './fleet-account.js';
import { keepRunning } from './keep-running.js';
import { logRun } from './leader-log.js';
import { LeaderLeases } from './leader-leases.js';
import type { LeaderOptions } from './leader-options.js';
import { heartbeatRecord, learntRecord } from './leader-records.js';
import { restateDue } from './restate-due.js';
import { RunRecorder } from './run-recorder.js';
import { RunSupervisor } from './run-supervisor.js';
import { StartWindow } from './start-window.js';
import { SummaryWriter } from './summary-writer.js';
import {
  CLAIM_INTERVAL_MS,
  HEARTBEAT_EVERY_MS,
  INBOX_RETRY_DELAY_MS,
  INBOX_STALE_MS,
  INBOX_WAIT_MS,
  LEARNT_EVERY_MS,
  LONG_ROUND_MS,
  PLAN_EVERY_MS,
  TELL_SILENCE_MS,
} from './timing.js';
import { WorkerLink } from './worker-link.js';

/** A host that leads. */
export class Leader {
  /** Resolves once another host leads. */
  readonly deposed: Promise<void>;

  private readonly state: JobsState;
  private readonly decisions: DecisionLog;
  private readonly runs: RunRecorder;
  private readonly summary: SummaryWriter;
  private readonly fleet: Fleet;
  private readonly leases: LeaderLeases;
  private readonly fences: Fences;
  private readonly times: RunTimes;
  private readonly interference: Interference;
  private readonly window = new StartWindow();
  private readonly health = new WorkerHealth();
  private readonly advice = new AdviceTickets();
  private readonly adviser: Adviser;
  private readonly supervisor: RunSupervisor;
  private readonly alarm: WakeSignal;
  /** Whether a worker has ceased to answer since the others were told which do not. */
  private silenceUntold = false;
  private ended = false;
  private resolveDeposed!: () => void;

  /** Creates a leader; `begin` starts its loops. */
  constructor(private readonly options: LeaderOptions) {
    const { ctx, replica, claim } = options;
    this.state = replica.state;
    const earlier = this.state.learnt;
    this.times = createRunTimes(earlier?.learnt.runTimes);
    this.interference = new Interference(earlier);
    this.alarm = new WakeSignal(ctx.schedule);
    this.adviser = new Adviser(
      ctx,
      options.advicePort,
      this.advice,
      this.alarm.notify,
    );
    this.supervisor = new RunSupervisor({
      ctx,
      state: this.state,
      interference: this.interference,
      health: this.health,
      linkTo: worker => this.fleet.link(worker),
      leavingSince: worker => this.fleet.leavingSince(worker),
    });
    this.decisions = new DecisionLog(ctx, options.jobLog, replica, claim);
    this.runs = new RunRecorder({
      ctx,
      claim,
      state: this.state,
      decisions: this.decisions,
      times: this.times,
      health: this.health,
      window: this.window,
      noteEnd: run => {
        this.supervisor.noteEnd(run);
      },
      presenceOf: worker => this.fleet.presenceOf(worker),
      fleetSize: () => this.fleet.registeredWorkers().length,
      changed: this.alarm.notify,
    });
    this.summary = new SummaryWriter({
      ctx,
      jobLog: options.jobLog,
      state: this.state,
      claim,
      peerAddress: options.peerAddress,
      inboxUpTo: () => replica.nextOffset('inbox'),
      retentionMs: options.retentionMs,
      statusMs: options.statusMs,
    });
    this.fleet = new Fleet({
      ctx,
      feed: options.feed,
      open: (info, isNew) => this.open(info, isNew),
      state: this.state,
      health: this.health,
      left: (worker, announced) => {
        this.runs.workerLeft(worker, announced);
      },
      changed: this.alarm.notify,
    });
    this.fences = new Fences(claim.firstFence, claim.epoch, worker => {
      ctx.log.warn({ worker }, 'leader: its fences are used up');
      this.release();
    });
    this.leases = new LeaderLeases({
      ctx,
      replica,
      claim,
      state: this.state,
      fleet: this.fleet,
      confirmedSentAt: () => this.decisions.confirmedSentAt,
      givenUp: (worker, runs) => {
        this.runs.givenUp(worker, runs, 'unregistered', ctx.clock());
      },
    });
    this.deposed = new Promise(resolve => {
      this.resolveDeposed = resolve;
    });
  }

  /** Starts to decide. */
  begin(): void {
    const { ctx } = this.options;
    void keepRunning(ctx, 'registry', () => this.fleet.follow());
    void keepRunning(ctx, 'inbox', () => this.followInbox());
    void keepRunning(ctx, 'decisions', () => this.decideOrResign());
    void keepRunning(ctx, 'summary', () => this.summary.run());
    void keepRunning(ctx, 'account', () => this.keepAccount());
    void keepRunning(ctx, 'starts', () => this.options.starts.begin());
  }

  /** Asks the others to take over; this host leads on until one does. */
  release(): void {
    this.recordLearnt();
    this.decisions.record(this.leases.release());
    this.alarm.notify();
  }

  /** Resolves when all that was decided so far is recorded; with false when it never will be. */
  recorded(): Promise<boolean> {
    return this.decisions.recorded();
  }

  private open(info: WorkerInfo, isNew: boolean): WorkerLink {
    const { ctx, port, starts, maxLeaseMs, claim } = this.options;
    const link = new WorkerLink(info, {
      ctx,
      port,
      starts,
      fence: this.fences.next(workerIdOf(info.id)),
      maxLeaseMs,
      earlierLeaseEnd: this.leases.earlierEnd(info.id, isNew, maxLeaseMs),
      horizon: () => this.leases.horizon,
      inboxAgeMs: () => this.inboxAgeMs(),
      registryAgeMs: () => ctx.clock() - this.fleet.knownAsOf,
      runs: () => workerRuns(this.state, info.id),
      otherRuns: () => runsOfOtherIncarnations(this.state, info.id),
      isNew,
      leadsSince: claim.wonAt,
      lookWaitMs: () => this.supervisor.lookWaitMs(info),
      ticketFor: ({ step }) =>
        this.advice.ticketFor(step, info.id, ctx.clock()),
      events: {
        ended: (run, how, checkpoint) => {
          this.runs.ended(run, how, checkpoint);
        },
        givenUp: (worker, runs, reason, lostBy) => {
          this.runs.givenUp(worker, runs, reason, lostBy);
        },
        moved: run => {
          this.runs.moved(run, info.id);
        },
        replaced: by => {
          this.fleet.replace(link.info, by);
        },
        strayEnd: ended => {
          this.runs.strayEnd(info.id, ended);
        },
        recorded: () => this.decisions.recorded(),
        reached: done => {
          this.runs.reached(info.id, done);
        },
        ticketRefused: ({ step }) => {
          this.advice.discardTicket(step, info.id);
        },
        fenced: () => {
          // Its claim was recorded, so that nothing of this leader will be: the log may not tell it for seconds.
          if (!this.ended) {
            ctx.log.info({ worker: info.id }, 'leader: a worker was fenced');
            this.end();
          }
        },
        began: run => {
          this.runs.begun(run);
        },
        started: from => {
          this.supervisor.limitFillers(from);
        },
        reported: from => {
          this.supervisor.learnFrom(from.info);
          this.supervisor.limitFillers(from);
        },
        silent: () => {
          this.silenceUntold = true;
          this.window.noteSilence(ctx.clock());
        },
        changed: this.alarm.notify,
      },
    });
    void keepRunning(ctx, 'looks', () => link.begin());
    return link;
  }

  private async followInbox(): Promise<void> {
    const { replica } = this.options;
    while (!this.ended) {
      const before = replica.nextOffset('inbox');
      if (replica.hasGap) {
        this.end();
      } else if (!(await replica.readToEnd('inbox', INBOX_WAIT_MS))) {
        await pause(this.options.ctx, INBOX_RETRY_DELAY_MS);
      } else if (replica.nextOffset('inbox') !== before) {
        this.alarm.notify();
      }
    }
  }

  /**
   * A leader whose round failed leads no more: what it applied and what it recorded may differ. The next
   * one, which may be this host, reads both from the log.
   */
  private async decideOrResign(): Promise<void> {
    try {
      await this.decide();
    } catch (err: unknown) {
      this.end();
      throw err;
    }
  }

  private async decide(): Promise<void> {
    const { ctx } = this.options;
    let wroteAt = ctx.clock();
    // At once, so that what it was told of leases is handed on however soon it is replaced.
    let claimedAt = -Infinity;
    let learntAt = ctx.clock();
    for (;;) {
      await this.alarm.wait(PLAN_EVERY_MS);
      if (this.ended) {
        return;
      }
      const beganAt = ctx.clock();
      this.leases.giveUpLapsed();
      this.supervisor.stopNeedless();
      this.plan();
      restateDue(this.state, this.decisions, ctx, this.options.retentionMs);
      const now = ctx.clock();
      const restMs = now - beganAt;
      const idle =
        this.decisions.isEmpty && now - wroteAt >= HEARTBEAT_EVERY_MS;
      const repeatMs = this.silenceUntold ? TELL_SILENCE_MS : CLAIM_INTERVAL_MS;
      if (idle || now - claimedAt >= repeatMs) {
        this.recordHeartbeat();
        claimedAt = now;
      }
      if (now - learntAt >= LEARNT_EVERY_MS) {
        this.recordLearnt();
        learntAt = now;
      }
      const told = this.summary.cut();
      if (!this.decisions.isEmpty) {
        if (!(await this.decisions.write())) {
          this.end();
          return;
        }
        wroteAt = ctx.clock();
        if (wroteAt - now > CLAIM_INTERVAL_MS) {
          // The log was away: leases are extended only by what is written now.
          this.alarm.notify();
        }
      }
      this.summary.publish(told);
      if (restMs > LONG_ROUND_MS) {
        await pause(ctx, restMs);
      }
    }
  }

  private recordHeartbeat(): void {
    this.silenceUntold = false;
    this.decisions.record(heartbeatRecord(this.options, this.leases.tell()));
  }

  private recordLearnt(): void {
    const { times, interference } = this;
    this.decisions.record(learntRecord(times, interference));
  }

  private plan(): void {
    if (this.inboxAgeMs() > INBOX_STALE_MS) {
      return;
    }
    const input = this.planInput();
    const start: ApplyStart = decision => {
      this.startRun(decision);
    };
    planStarts(input, start, urgency => {
      this.supervisor.moveOffLeaving(input, urgency);
    });
    planSpeculativeCopies(input, start);
    this.supervisor.moveSlowed(input);
    this.adviser.askIfNeeded(input);
  }

  private planInput(): PlanInput {
    const { ctx, starts } = this.options;
    return {
      state: this.state,
      workers: this.fleet.planWorkers(),
      times: this.times,
      interference: this.interference,
      advice: this.advice,
      time: { now: ctx.clock(), nowWall: ctx.wallClock() },
      leadsSince: this.options.claim.wonAt,
      maxStarts: this.window.free(starts.maxStarts),
      isLinkBusy: starts.isBusy,
      movingTasks: this.supervisor.moving(),
    };
  }

  private keepAccount(): Promise<void> {
    return keepAccount({
      ctx: this.options.ctx,
      planInput: () => this.planInput(),
      registeredWorkers: () => this.fleet.registeredWorkers(),
      ended: () => this.ended,
    });
  }

  private inboxAgeMs(): Millis {
    const { ctx, replica } = this.options;
    return ctx.clock() - replica.knownAsOf('inbox');
  }

  private startRun({ task, run: number, worker }: StartDecision): void {
    const entry: JournalRecord = {
      kind: 'start',
      task: refOf(task),
      run: number,
      worker,
    };
    const decidedAt = this.options.ctx.clock();
    const opened = (): Run | undefined =>
      task.runs.find(open => open.number === number);
    this.decisions.record(entry, written => {
      const run = opened();
      if (written && run !== undefined) {
        this.order(run, decidedAt);
      }
    });
    const decided = opened();
    if (decided !== undefined) {
      this.window.begin(decided);
    }
  }

  /** Orders a recorded run to begin. */
  private order(run: Run, decidedAt: Instant): void {
    const link = this.fleet.link(run.worker);
    if (link === undefined) {
      this.runs.ended(run, 'void', '');
    } else {
      logRun(this.options, run, 'leader: a run is ordered', {
        resumes: run.task.checkpoint,
      });
      link.start(run, decidedAt);
    }
  }

  private end(): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.runs.close();
    this.options.ctx.meters.accounted(EMPTY_ACCOUNT);
    this.decisions.close();
    this.summary.close();
    this.options.starts.close();
    this.fleet.close();
    this.options.ctx.log.info(
      { epoch: this.options.claim.epoch },
      'leader: another host leads',
    );
    this.resolveDeposed();
  }
}
