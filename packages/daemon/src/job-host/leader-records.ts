/** Records that the leader writes repeatedly, heartbeats and learned estimates, and how it learns from ends of runs. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  chooseStandbys,
  knownRunTimeMs,
  type AdmissionLimits,
  type LeaseHandover,
  type Interference,
  type JournalRecord,
  type Run,
  type RunEnd,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';

import type { AdmissionReporter } from './admission-reporter.js';
import type { HostContext } from './context.js';
import type { LeaderLeases } from './leader-leases.js';
import type { LearnedTimes } from './learned-times.js';
import type { WonClaim } from './leadership.js';
import type { Replica } from './replica.js';
import type { ProxiedWorkers } from './proxy/proxied-workers.js';
import { ReportedInbox } from './reported-inbox.js';

/** What a leader reports in a heartbeat besides itself. */
interface HeartbeatReport {
  /** Leases that it hands over; undefined if it may not know those of all earlier leaders. */
  readonly handed: LeaseHandover | undefined;
  readonly limits: AdmissionLimits;
  readonly inboxUpTo: number;
}

/** The leader that writes a heartbeat. */
interface HeartbeatWriter {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
  readonly replica: Replica;
  readonly peerAddress: string;
  readonly port: Pick<ProxiedWorkers, 'isActive'>;
}

/** Makes the heartbeats of one leader. */
export class Heartbeats {
  private readonly reportedInbox: ReportedInbox;

  /** Creates the heartbeats of a leader with these leases and limits. */
  constructor(
    private readonly writer: HeartbeatWriter,
    private readonly leases: Pick<LeaderLeases, 'report'>,
    private readonly admission: Pick<AdmissionReporter, 'limits'>,
  ) {
    this.reportedInbox = new ReportedInbox(writer.replica);
  }

  /** Returns the next heartbeat. */
  next(): JournalRecord {
    const { writer, leases, admission, reportedInbox } = this;
    return heartbeatRecord(writer, {
      handed: leases.report(),
      limits: admission.limits(),
      inboxUpTo: reportedInbox.next(writer.ctx.clock()),
    });
  }
}

/** Returns a heartbeat: who leads, until when leases hold, and which hosts are standbys. */
function heartbeatRecord(
  { ctx, claim, replica, peerAddress, port: proxied }: HeartbeatWriter,
  report: HeartbeatReport,
): JournalRecord {
  return {
    kind: 'heartbeat',
    epoch: claim.epoch,
    host: ctx.host,
    nonce: claim.nonce,
    standbys: chooseStandbys(replica.state, ctx.host, ctx.clock()),
    address: peerAddress,
    ledForMs: Math.floor(ctx.clock() - claim.wonAt),
    silence: claim.silence,
    ...(proxied.isActive ? { usesProxies: true } : {}),
    ...report,
  };
}

/** Updates run-time estimates and worker health from the end of a run. */
export function learnFromEnd(
  run: Run,
  how: RunEnd | 'lost',
  {
    health,
    times,
    now,
    leadsSince,
  }: {
    readonly health: WorkerHealth;
    readonly times: LearnedTimes;
    readonly now: Instant;
    /** Monotonic time at which this leader took over; it does not know when runs before that started. */
    readonly leadsSince: Instant;
  },
): void {
  const { task, worker } = run;
  if (how === 'done') {
    health.noteDone(worker);
    learnRunTime(run, times, now, leadsSince);
  } else if (how === 'failed') {
    health.noteFailure(worker, task, now);
  }
}

/** Updates both models of run times from a run that is done. */
function learnRunTime(
  run: Run,
  { averages, distributions }: LearnedTimes,
  now: Instant,
  leadsSince: Instant,
): void {
  const { task, progress } = run;
  const { step } = task;
  if (progress !== undefined && task.checkpoint === '') {
    averages.recordRun(step, now - progress.since);
  }
  const runTimeMs = wholeRunTimeMs(run, now, leadsSince);
  if (runTimeMs !== undefined) {
    distributions.recordRun(step, runTimeMs, { run, now });
  }
  const isLastOfStep = step.remaining <= 1;
  if (isLastOfStep) {
    distributions.closeStep(step);
  }
}

/**
 * Returns the time that a whole run took, at full speed; undefined if that is not known, as for a run that was
 * resumed or had started before `leadsSince`, when this leader took over.
 */
export function wholeRunTimeMs(
  run: Run,
  now: Instant,
  leadsSince: Instant,
): Millis | undefined {
  const isWhole = run.task.checkpoint === '' && run.openedAt >= leadsSince;
  return isWhole ? knownRunTimeMs(run, now) : undefined;
}

/** Returns the record of learned estimates for the next leader: run times by both models, and interference. */
export function learnedRecord(
  { averages, distributions }: LearnedTimes,
  interference: Interference,
): JournalRecord {
  const learnt = {
    runTimes: averages.learnedAverages(),
    ...interference.learnedEstimates(),
    distributions: distributions.learnedDistributions(),
  };
  return { kind: 'learnt', learnt };
}
