/** Assembles the parts of a job host. */
import type { Millis } from '@paddlewind/domain';
import {
  forgetFinishedJobs,
  countOpenRuns,
  usableMoveCosts,
  type MoveCosts,
} from '@paddlewind/domain/jobs';
import type {
  AdvicePort,
  AppendResult,
  JobLog,
  OperatorConfig,
  OperatorFeed,
  PeerPort,
  PeerProcess,
  CallBatch,
  ProxyAnswer,
  ProxyPort,
  RelayBatch,
  RelayOutcome,
  WorkerFeed,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import type { CallerView } from './caller-view.js';
import { ConfigHolder } from './config-holder.js';
import { pause, type HostContext } from './context.js';
import { EvacuatedZones } from './evacuated-zones.js';
import { HostRole } from './host-role.js';
import { AppendBatcher } from './append-batcher.js';
import { InboxSender, type Appender } from './inbox-sender.js';
import { JobService } from './job-service.js';
import { keepRunning } from './keep-running.js';
import { Leader } from './leader.js';
import { awaitLeadership, type WonClaim } from './leadership.js';
import { meterAdvice, meterLog, meterWorkers } from './metered-ports.js';
import type { JobGauges } from './meters.js';
import { followOperator } from './operator-follower.js';
import type { LinkShares } from './relay/link-shares.js';
import { CallProxy } from './proxy/call-proxy.js';
import { ProxiedWorkers } from './proxy/proxied-workers.js';
import { RelayedStarts } from './relay/relayed-starts.js';
import { StartRelay } from './relay/start-relay.js';
import { ReplicaView } from './replica-view.js';
import { Replica } from './replica.js';
import { SummaryFollower } from './summary-follower.js';
import { SummaryView } from './summary-view.js';
import {
  LOG_CONTACT_TIMEOUT_MS,
  JOURNAL_READ_INTERVAL_MS,
  FINISHED_JOB_CLEANUP_INTERVAL_MS,
  LEADER_SILENCE_TIMEOUT_MS,
} from './timing.js';

/** Dependencies and settings of a job host. */
export interface JobHostOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly operatorFeed: OperatorFeed;
  readonly workerFeed: () => WorkerFeed;
  readonly workerPort: () => WorkerPort;
  readonly advicePort: () => AdvicePort;
  readonly peers: PeerPort;
  readonly proxies: ProxyPort;
  /** Address at which other hosts reach this one. */
  readonly peerAddress: string;
  /** Availability zone of this host; undefined if it is not known. */
  readonly availabilityZone?: string | undefined;
  readonly maxLeaseMs: Millis;
  /** Time after which nothing may start in an evacuated zone; undefined if the deployment has no limit. */
  readonly evacuationEffectMs: Millis | undefined;
  /** Costs of moving a run; undefined if the platform's settings do not state them. */
  readonly moveCosts?: MoveCosts | undefined;
  /** Number of processors of this host. */
  readonly cores: number;
  /** Bandwidth that starts may use on this host's link while it leads. */
  readonly linkShares: LinkShares;
  /** Retention time of the log. */
  readonly retentionMs: Millis;
  /** Time for which the state of a finished job can be queried. */
  readonly statusMs: Millis;
}

/** A running job host. */
export interface JobHost {
  readonly service: JobService;
  /** Appends records to the inbox for another host, while this one leads. */
  readonly appendForPeer: (
    records: readonly Uint8Array[],
  ) => Promise<AppendResult>;
  /** Returns the identity of this process for another host. */
  readonly identifyForPeer: () => PeerProcess;
  /** Sends starts on behalf of the leader and reports the outcome of each. */
  readonly relayForPeer: (
    batch: RelayBatch,
    onOutcome: (at: number, outcome: RelayOutcome) => void,
  ) => Promise<void>;
  /** Calls workers on behalf of a leader. */
  readonly callForPeer: (batch: CallBatch) => Promise<ProxyAnswer>;
  /** The newest configuration; undefined before the first. */
  readonly config: () => OperatorConfig | undefined;
  /** Whether this host is ready to serve callers. */
  readonly ready: () => boolean;
  /** Values read when the metrics are scraped. */
  readonly gauges: JobGauges;
  /** Hands over the leadership; resolves when another host leads or after `waitMs`. */
  readonly handOver: (waitMs: Millis) => Promise<void>;
}

/** Starts following the configuration and the journal. */
export function startJobHost(options: JobHostOptions): JobHost {
  const runtime = new HostRuntime(options);
  runtime.start();
  return runtime;
}

/** The parts of a host, and which of them are currently in use. */
class HostRuntime implements JobHost {
  readonly service: JobService;
  readonly gauges: JobGauges;

  private readonly jobLog: JobLog;
  private readonly replica: Replica;
  private readonly summary: SummaryFollower;
  private readonly role: HostRole;
  private readonly batcher: AppendBatcher;
  private readonly relay: StartRelay;
  private readonly proxy: CallProxy;
  private readonly configHolder: ConfigHolder;
  private readonly evacuatedZones: EvacuatedZones;
  private readonly replicaView: ReplicaView;
  private readonly summaryView: SummaryView;
  private leader: Leader | undefined;
  private epoch = 0;
  private stopping = false;

  constructor(private readonly options: JobHostOptions) {
    const { ctx, cores, peerAddress } = options;
    const jobLog = meterLog(options.jobLog, ctx.meters, ctx.clock);
    const replica = new Replica(ctx, jobLog);
    const summary = new SummaryFollower(ctx, jobLog);
    const view = (): CallerView => this.view();
    const inbox = new InboxSender({
      ctx,
      jobLog,
      view,
      leader: () => this.inboxAppender(),
    });
    this.jobLog = jobLog;
    this.replica = replica;
    this.summary = summary;
    this.role = new HostRole({
      ctx,
      replica,
      summary,
      cores,
      peerAddress,
      appendOffer: records => inbox.append(records),
    });
    this.batcher = new AppendBatcher(ctx, jobLog);
    const port = (): WorkerPort =>
      meterWorkers(options.workerPort(), ctx.meters, ctx.clock);
    const isFollowing = (): boolean => this.isFollowingLeader();
    this.relay = new StartRelay({ ctx, replica, port, isFollowing });
    const { relay, identifyForPeer: identify } = this;
    this.proxy = new CallProxy({ ctx, relay, identify, port });
    this.configHolder = new ConfigHolder(ctx);
    this.evacuatedZones = new EvacuatedZones(ctx, options.evacuationEffectMs);
    this.replicaView = new ReplicaView(ctx, replica, () => this.leader);
    this.summaryView = new SummaryView(ctx, summary);
    this.service = new JobService(ctx, inbox, view, this.admitsByCapacity);
    this.gauges = {
      epoch: () => this.epoch,
      ready: this.ready,
      configVersion: () => this.configHolder.config?.version ?? 0,
      openJobs: () => this.view().openJobs,
      openRuns: () => countOpenRuns(replica.state),
    };
  }

  start(): void {
    const { ctx } = this.options;
    void keepRunning(ctx, 'operator', () =>
      followOperator({
        ctx,
        feed: this.options.operatorFeed,
        config: this.configHolder,
        evacuatedZones: this.evacuatedZones,
        isLeading: () => this.leader !== undefined,
      }),
    );
    void keepRunning(ctx, 'leadership', () => this.followAndLead());
    void keepRunning(ctx, 'forget', () => this.forgetFinished());
  }

  readonly config = (): OperatorConfig | undefined => this.configHolder.config;

  readonly ready = (): boolean => {
    const { isComplete, contactAt } = this.view();
    return (
      !this.stopping &&
      this.configHolder.config !== undefined &&
      isComplete &&
      this.options.ctx.clock() - contactAt < LOG_CONTACT_TIMEOUT_MS
    );
  };

  readonly appendForPeer = (
    records: readonly Uint8Array[],
  ): Promise<AppendResult> =>
    this.leader === undefined
      ? Promise.resolve({ kind: 'refused', reason: 'this host does not lead' })
      : this.batcher.append(records);

  readonly identifyForPeer = (): PeerProcess => {
    const { to } = this.replica.heartbeatAge(this.options.ctx.clock());
    const maxHeartbeatAgeMs = to === Infinity ? undefined : to;
    const { availabilityZone } = this.options;
    return { ...this.relay.identify(), maxHeartbeatAgeMs, availabilityZone };
  };

  readonly relayForPeer = (
    batch: RelayBatch,
    onOutcome: (at: number, outcome: RelayOutcome) => void,
  ): Promise<void> => this.relay.sendBatch(batch, onOutcome);

  readonly callForPeer = (batch: CallBatch): Promise<ProxyAnswer> =>
    this.proxy.exchange(batch);

  readonly handOver = async (waitMs: Millis): Promise<void> => {
    this.stopping = true;
    if (this.leader !== undefined) {
      this.leader.release();
      const timeout = pause(this.options.ctx, waitMs);
      await Promise.race([this.leader.deposed, timeout]);
    }
  };

  /** Whether this host reads the journal of a leader and has read all of it once. */
  private isFollowingLeader(): boolean {
    return (
      !this.stopping &&
      this.leader === undefined &&
      !this.role.isFollowingSummary &&
      this.replica.isComplete
    );
  }

  /**
   * Returns the function that appends to the inbox for all hosts: that of the leader, while its
   * records arrive.
   */
  private inboxAppender(): Appender | undefined {
    const { ctx, peers } = this.options;
    const { state, journalReceivedAt } = this.replica;
    if (this.leader !== undefined) {
      return records => this.batcher.append(records);
    }
    const isLeaderActive =
      ctx.clock() - journalReceivedAt < LEADER_SILENCE_TIMEOUT_MS;
    const journalLeader = isLeaderActive ? state.leaderAddress : undefined;
    const address = this.role.isFollowingSummary
      ? this.summary.leaderInfo?.address
      : journalLeader;
    return address === undefined
      ? undefined
      : records => peers.append(address, records);
  }

  /**
   * Returns the current view. A host that has started to read the journal answers from the summary
   * until it has read all of the journal.
   */
  private view(): CallerView {
    const isCatchingUp = this.leader === undefined && !this.replica.isComplete;
    return this.role.isFollowingSummary ||
      (isCatchingUp && this.summary.isComplete)
      ? this.summaryView
      : this.replicaView;
  }

  private async forgetFinished(): Promise<void> {
    const { ctx, statusMs } = this.options;
    for (;;) {
      await pause(ctx, FINISHED_JOB_CLEANUP_INTERVAL_MS);
      const now = ctx.clock();
      forgetFinishedJobs(this.replica.state, now, now - statusMs);
      this.summary.summary.forgetFinishedJobs(now - statusMs);
      this.relay.closeIdleConnections();
    }
  }

  private async followAndLead(): Promise<void> {
    const { options, jobLog, replica, role } = this;
    while (!this.stopping) {
      const claim = await awaitLeadership({
        ctx: options.ctx,
        jobLog,
        peers: options.peers,
        replica,
        role,
        cores: options.cores,
        stopped: () => this.stopping,
      });
      if (claim === undefined) {
        break;
      }
      this.leader = this.createLeader(claim);
      this.epoch = claim.epoch;
      this.leader.begin();
      await this.leader.deposed;
      this.leader = undefined;
      this.epoch = 0;
      replica.reset();
    }
    await this.keepReading();
  }

  private createLeader(claim: WonClaim): Leader {
    const { options, jobLog, replica, evacuatedZones } = this;
    const { ctx, maxLeaseMs, retentionMs, statusMs, peerAddress } = options;
    const { clock, meters } = ctx;
    const direct = meterWorkers(options.workerPort(), meters, clock);
    const { peers, proxies, linkShares: shares } = options;
    const { epoch } = claim;
    const { state } = replica;
    const port = new ProxiedWorkers({ ctx, direct, proxies, epoch, state });
    const starts = new RelayedStarts({
      ctx,
      port: direct,
      peers,
      epoch,
      state,
      shares,
      proxied: port,
    });
    return new Leader({
      ctx,
      jobLog,
      replica,
      feed: options.workerFeed(),
      evacuatedZones,
      port,
      starts,
      advicePort: meterAdvice(options.advicePort(), meters, clock),
      maxLeaseMs,
      moveCosts: () => this.currentMoveCosts(),
      admitsByCapacity: this.admitsByCapacity,
      retentionMs,
      statusMs,
      peerAddress,
      claim,
    });
  }

  /** Returns the costs of moving a run if moves are quick enough for the queues of the configuration in force. */
  private currentMoveCosts(): MoveCosts | undefined {
    const queues = this.configHolder.config?.queues ?? [];
    const terms = queues.map(queue => queue.terms);
    const { size } = this.replica.state.workers;
    return usableMoveCosts(this.options.moveCosts, terms, size);
  }

  /**
   * Whether jobs are admitted by the forecast of capacity: only where the operator may withdraw the capacity of
   * whole availability zones.
   */
  private get admitsByCapacity(): boolean {
    return this.options.evacuationEffectMs !== undefined;
  }

  /**
   * Keeps reading while the host stops, so that it can answer on open connections as long as the
   * log answers.
   */
  private async keepReading(): Promise<never> {
    for (;;) {
      await this.view().readInbox();
      await pause(this.options.ctx, JOURNAL_READ_INTERVAL_MS);
    }
  }
}
