/** The leader's loop: handles ends of runs, plans starts, records both, then acts. */
import type { Millis } from '@paddlewind/domain';
import {
  AdviceTickets,
  Interference,
  runsOfOtherIncarnations,
  WorkerHealth,
  workerIdOf,
  workerRuns,
  type JobsState,
  type PlanInput,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';

import { AdmissionReporter } from './admission-reporter.js';
import { Adviser } from './adviser.js';
import { WakeSignal } from './wake-signal.js';
import { pause } from './context.js';
import { DecisionLog } from './decision-log.js';
import { DecisionPace } from './decision-pace.js';
import { Fences } from './fences.js';
import { FirstPolls } from './first-polls.js';
import { Fleet } from './fleet.js';
import { clearFleetAccount, publishFleetAccount } from './fleet-account.js';
import { followInbox } from './follow-inbox.js';
import { keepRunning } from './keep-running.js';
import { planRound } from './plan-round.js';
import { LeaderLeases } from './leader-leases.js';
import { createLinkEvents } from './leader-link-events.js';
import type { LeaderOptions } from './leader-options.js';
import { Heartbeats, learnedRecord } from './leader-records.js';
import { createLearnedTimes, type LearnedTimes } from './learned-times.js';
import { RecordSchedule } from './record-schedule.js';
import { restateDueJobs } from './restate-due.js';
import { RunRecorder } from './run-recorder.js';
import { RunStarter } from './run-starter.js';
import { RunSupervisor } from './run-supervisor.js';
import { StartWindow } from './start-window.js';
import { SummaryWriter } from './summary-writer.js';
import {
  CLAIM_INTERVAL_MS,
  INBOX_STALE_MS,
  LONG_ROUND_MS,
  PLAN_INTERVAL_MS,
} from './timing.js';
import { WorkerLink } from './worker-link.js';

/** A host that leads. */
export class Leader {
  private resolveDeposed!: () => void;
  /** Resolves once another host leads. */
  readonly deposed = new Promise<void>(resolve => {
    this.resolveDeposed = resolve;
  });

  private readonly state: JobsState;
  private readonly decisions: DecisionLog;
  private readonly runs: RunRecorder;
  private readonly summary: SummaryWriter;
  private readonly fleet: Fleet;
  private readonly leases: LeaderLeases;
  private readonly fences: Fences;
  private readonly times: LearnedTimes;
  private readonly interference: Interference;
  private readonly startWindow = new StartWindow(
    () => this.pace.maxStarts,
    () => this.options.port.maxStarts,
  );
  private readonly pace: DecisionPace;
  private readonly admission: AdmissionReporter;
  private readonly health = new WorkerHealth();
  private readonly advice = new AdviceTickets();
  private readonly adviser: Adviser;
  private readonly starter: RunStarter;
  private readonly supervisor: RunSupervisor;
  private readonly firstPolls = new FirstPolls();
  private readonly heartbeats: Heartbeats;
  private readonly wakeSignal: WakeSignal;
  /**
   * Whether a worker has become unresponsive since unresponsive workers were last reported to other hosts.
   */
  private hasNewSilence = false;
  private hasEnded = false;

  /** Creates a leader; its loops are started separately. */
  constructor(private readonly options: LeaderOptions) {
    const { ctx, replica, claim } = options;
    this.state = replica.state;
    const earlier = this.state.learnedEstimates;
    this.times = createLearnedTimes(earlier?.estimates, options.moveCosts);
    this.interference = new Interference(earlier);
    this.wakeSignal = new WakeSignal(ctx.schedule);
    this.adviser = new Adviser(
      ctx,
      options.advicePort,
      this.advice,
      this.wakeSignal.notify,
    );
    this.pace = new DecisionPace(ctx, () => options.port.maxStarts);
    this.supervisor = new RunSupervisor({
      ctx,
      pace: this.pace,
      state: this.state,
      interference: this.interference,
      health: this.health,
      linkTo: worker => this.fleet.link(worker),
      leavingSince: worker => this.fleet.leavingSince(worker),
      isProxied: worker => options.port.carries(worker),
    });
    this.decisions = new DecisionLog(ctx, options.jobLog, replica, claim);
    this.runs = new RunRecorder({
      ctx,
      claim,
      state: this.state,
      decisions: this.decisions,
      times: this.times,
      health: this.health,
      startWindow: this.startWindow,
      onRunEnding: (run, how) => {
        this.supervisor.noteRunEnding(run);
        this.admission.noteRunEnding(run, how);
      },
      fleet: () => this.fleet,
      onChange: this.noteChange,
    });
    this.starter = new RunStarter({
      ctx,
      claim,
      decisions: this.decisions,
      runs: this.runs,
      startWindow: this.startWindow,
      linkTo: worker => this.fleet.link(worker),
    });
    this.summary = new SummaryWriter({
      ctx,
      jobLog: options.jobLog,
      state: this.state,
      claim,
      peerAddress: options.peerAddress,
      inboxUpTo: () => replica.nextOffset('inbox'),
      admissionLimits: () => this.admission.limits(),
      retentionMs: options.retentionMs,
      statusMs: options.statusMs,
    });
    this.fleet = new Fleet({
      ctx,
      feed: options.feed,
      isEvacuated: zone => options.evacuatedZones.has(zone),
      openLink: (info, isNew) => this.openLink(info, isNew),
      state: this.state,
      health: this.health,
      onRemoved: (worker, announced) => {
        this.runs.noteWorkerRemoved(worker, announced);
      },
      changed: this.wakeSignal.notify,
    });
    this.admission = this.createAdmission();
    this.fences = new Fences(claim.firstFence, claim.epoch, worker => {
      this.releaseWithoutFences(worker);
    });
    this.leases = this.createLeases();
    this.heartbeats = new Heartbeats(options, this.leases, this.admission);
  }

  private createAdmission(): AdmissionReporter {
    const { ctx, evacuatedZones, admitsByCapacity } = this.options;
    return new AdmissionReporter({
      clock: ctx.clock,
      state: this.state,
      evacuatedZones,
      registeredWorkers: () => this.fleet.registeredWorkers(),
      admitsByCapacity,
    });
  }

  private createLeases(): LeaderLeases {
    const { ctx, replica, claim } = this.options;
    return new LeaderLeases({
      ctx,
      replica,
      claim,
      state: this.state,
      fleet: this.fleet,
      confirmedSentAt: () => this.decisions.confirmedSentAt,
      onRunsAbandoned: lost => {
        this.runs.recordUnregistered(lost);
      },
    });
  }

  /** Starts the loops of the leader. */
  begin(): void {
    const { ctx } = this.options;
    void keepRunning(ctx, 'registry', () => this.fleet.follow());
    void keepRunning(ctx, 'inbox', () => this.followInbox());
    void keepRunning(ctx, 'decisions', () => this.decideOrResign());
    void keepRunning(ctx, 'summary', () => this.summary.run());
    void keepRunning(ctx, 'account', () => this.publishFleetAccount());
    void keepRunning(ctx, 'starts', () => this.options.starts.begin());
    void keepRunning(ctx, 'proxies', () => this.options.port.begin());
  }

  private readonly noteChange = (): void => {
    this.pace.noteChange();
    this.wakeSignal.notify();
  };

  /** Asks other hosts to take over; this host continues to lead until one does. */
  release(): void {
    this.recordLearned();
    this.decisions.record(this.leases.release());
    this.wakeSignal.notify();
  }

  private releaseWithoutFences(worker: string): void {
    this.options.ctx.log.warn({ worker }, 'leader: its fences are used up');
    this.release();
  }

  /** Resolves with true once all decisions so far are written, with false if they never will be. */
  recorded(): Promise<boolean> {
    return this.decisions.recorded();
  }

  private openLink(info: WorkerInfo, isNew: boolean): WorkerLink {
    const { ctx, port, starts, maxLeaseMs, claim } = this.options;
    const link = new WorkerLink(info, {
      ctx,
      port,
      starts,
      fence: this.fences.next(workerIdOf(info.id)),
      maxLeaseMs,
      earlierLeaseEnd: this.leases.earlierLeaseEnd(info.id, isNew, maxLeaseMs),
      horizon: () => this.leases.horizon,
      inboxAgeMs: () => this.inboxAgeMs(),
      registryAgeMs: () => ctx.clock() - this.fleet.knownAsOf,
      evacuatedZones: this.options.evacuatedZones,
      runs: () => workerRuns(this.state, info.id),
      otherRuns: () => runsOfOtherIncarnations(this.state, info.id),
      isNew,
      firstPolls: this.firstPolls,
      leadsSince: claim.wonAt,
      pollWaitMs: () => this.supervisor.pollWaitMs(info, this.fleet.linkCount),
      pollIntervalMs: () =>
        this.supervisor.pollIntervalMs(info, this.fleet.linkCount),
      ticketFor: ({ step }) =>
        this.advice.ticketFor(step, info.id, ctx.clock()),
      events: createLinkEvents(info, {
        ctx,
        runs: this.runs,
        decisions: this.decisions,
        advice: this.advice,
        supervisor: this.supervisor,
        startWindow: this.startWindow,
        startRate: this.admission.startRate,
        onReplaced: by => {
          this.fleet.supersede(link.info, by);
        },
        onFenced: () => {
          this.resignIfFenced(info.id);
        },
        onSilent: () => {
          this.hasNewSilence = true;
        },
        changed: this.wakeSignal.notify,
      }),
    });
    void keepRunning(ctx, 'looks', () => link.run());
    return link;
  }

  /**
   * Resigns after a worker has seen another leader's fence: that leader's claim is in the journal, so nothing
   * of this one will be written. The log may take seconds to report that.
   */
  private resignIfFenced(worker: string): void {
    if (!this.hasEnded) {
      this.options.ctx.log.info({ worker }, 'leader: a worker was fenced');
      this.resign();
    }
  }

  private followInbox(): Promise<void> {
    const { ctx, replica } = this.options;
    return followInbox({
      ctx,
      replica,
      hasEnded: () => this.hasEnded,
      onGap: () => {
        this.resign();
      },
      onNew: this.wakeSignal.notify,
    });
  }

  /**
   * Runs the decision loop, and resigns if a round fails, since the state and the journal may then differ.
   * The next leader, which may be this host, reads both from the log.
   */
  private async decideOrResign(): Promise<void> {
    try {
      await this.decide();
    } catch (err: unknown) {
      this.resign();
      throw err;
    }
  }

  private async decide(): Promise<void> {
    const { ctx } = this.options;
    const schedule = new RecordSchedule(ctx.clock);
    for (;;) {
      await this.wakeSignal.wait(PLAN_INTERVAL_MS);
      if (this.hasEnded) {
        return;
      }
      const startedAt = this.pace.begin();
      ctx.times.measure('planning', () => {
        this.leases.abandonExpired();
        this.supervisor.stopObsolete();
        this.plan();
      });
      restateDueJobs(this.state, this.decisions, ctx, this.options.retentionMs);
      const now = ctx.clock();
      const roundMs = now - startedAt;
      const { hasNewSilence } = this;
      const isIdle = this.decisions.isEmpty;
      if (schedule.takeHeartbeat({ isIdle, hasNewSilence })) {
        this.recordHeartbeat();
      }
      if (schedule.takeLearned()) {
        this.recordLearned();
      }
      const changes = this.summary.takeChanges();
      if (!this.decisions.isEmpty) {
        if (!(await this.decisions.write())) {
          this.resign();
          return;
        }
        schedule.noteWritten();
        if (ctx.clock() - now > CLAIM_INTERVAL_MS) {
          // The log was unavailable: leases are extended only by what is written now.
          this.wakeSignal.notify();
        }
      }
      this.pace.end();
      this.summary.publish(changes);
      if (roundMs > LONG_ROUND_MS) {
        await pause(ctx, roundMs);
      }
    }
  }

  private recordHeartbeat(): void {
    this.hasNewSilence = false;
    this.decisions.record(this.heartbeats.next());
  }

  private recordLearned(): void {
    this.decisions.record(learnedRecord(this.times, this.interference));
  }

  private plan(): void {
    if (this.isUnderinformed()) {
      this.admission.noteBlocked();
      return;
    }
    planRound(this.planInput(), {
      ctx: this.options.ctx,
      supervisor: this.supervisor,
      admission: this.admission,
      adviser: this.adviser,
      start: this.starter.start,
      startsLeft: () => this.startsLeft(),
    });
  }

  private planInput(): PlanInput {
    const { ctx, starts } = this.options;
    return {
      state: this.state,
      workers: this.fleet.planWorkers(),
      times: this.times.inForce(),
      interference: this.interference,
      advice: this.advice,
      time: { now: ctx.clock(), nowWall: ctx.wallClock() },
      leadsSince: this.options.claim.wonAt,
      maxStarts: this.startsLeft(),
      isLinkBusy: starts.hasWaitingStarts,
      moveCosts: this.options.moveCosts(),
      movingTasks: this.supervisor.movingTasks(),
      newestVersions: this.fleet.newestVersions(),
    };
  }

  /** Returns how many more starts may be decided now. */
  private startsLeft(): number {
    return this.startWindow.available(this.options.starts.maxStarts);
  }

  private publishFleetAccount(): Promise<void> {
    return publishFleetAccount({
      ctx: this.options.ctx,
      planInput: () => this.planInput(),
      registeredWorkers: () => this.fleet.registeredWorkers(),
      evacuatedWorkers: () => this.fleet.evacuatedWorkers(),
      evacuationTimes: () => this.options.evacuatedZones.times(),
      rooms: () => this.admission.rooms(),
      takePace: () => this.pace.takeReport(this.fleet.linkCount),
      isLogUnavailable: () =>
        this.isUnderinformed() || this.decisions.isWriteOverdue,
      hasEnded: () => this.hasEnded,
    });
  }

  /** Whether cancellations or evacuations may have been requested that this leader hasn't read in time. */
  private isUnderinformed(): boolean {
    const { ctx, evacuatedZones } = this.options;
    const isInboxStale = this.inboxAgeMs() > INBOX_STALE_MS;
    return isInboxStale || ctx.clock() > evacuatedZones.reliableUntil;
  }

  private inboxAgeMs(): Millis {
    const { ctx, replica } = this.options;
    return ctx.clock() - replica.knownAsOf('inbox');
  }

  private resign(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.runs.close();
    clearFleetAccount(this.options.ctx);
    this.decisions.close();
    this.summary.close();
    this.options.starts.close();
    this.options.port.close();
    this.fleet.close();
    this.options.ctx.log.info(
      { epoch: this.options.claim.epoch },
      'leader: another host leads',
    );
    this.resolveDeposed();
  }
}
