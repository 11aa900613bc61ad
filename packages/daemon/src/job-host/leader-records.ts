/** Records that the leader writes repeatedly: heartbeats and learned statistics; and how it learns. */
import type { Instant } from '@paddlewind/domain';
import {
  chooseStandbys,
  knownRunTimeMs,
  type AdmissionLimits,
  type LeaseHandover,
  type Interference,
  type JournalRecord,
  type Run,
  type RunEnd,
  type RunTimeDistributions,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { LearnedTimes } from './learned-times.js';
import type { WonClaim } from './leadership.js';
import type { Replica } from './replica.js';

/** Returns a heartbeat: who leads, until when leases hold, and which hosts are standbys. */
export function heartbeatRecord(
  {
    ctx,
    claim,
    replica,
    peerAddress,
  }: {
    readonly ctx: HostContext;
    readonly claim: WonClaim;
    readonly replica: Replica;
    readonly peerAddress: string;
  },
  handed: LeaseHandover | undefined,
  limits: AdmissionLimits,
): JournalRecord {
  return {
    kind: 'heartbeat',
    epoch: claim.epoch,
    host: ctx.host,
    nonce: claim.nonce,
    handed,
    standbys: chooseStandbys(replica.state, ctx.host, ctx.clock()),
    address: peerAddress,
    ledForMs: Math.floor(ctx.clock() - claim.wonAt),
    silence: claim.silence,
    limits,
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
    /** Monotonic time at which this leader took over; it does not know when earlier runs started. */
    readonly leadsSince: Instant;
  },
): void {
  const { task, progress, worker } = run;
  if (how === 'done') {
    health.noteDone(worker);
  } else if (how === 'failed') {
    health.noteFailure(worker, task, now);
  }
  if (how === 'done' && progress !== undefined && task.checkpoint === '') {
    times.averages.recordRun(task.step, now - progress.since);
    if (run.openedAt >= leadsSince) {
      recordDistribution(times.distributions, run, now);
    }
  }
  if (how === 'done' && task.step.remaining <= 1) {
    times.distributions.closeStep(task.step);
  }
}

function recordDistribution(
  distributions: RunTimeDistributions,
  run: Run,
  now: Instant,
): void {
  const runTimeMs = knownRunTimeMs(run, now);
  if (runTimeMs !== undefined) {
    distributions.recordRun(run.task.step, runTimeMs, { run, now });
  }
}

/** Returns a record of the learned run times and interference. */
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
