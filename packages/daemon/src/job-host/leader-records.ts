/** Records that the leader writes repeatedly: heartbeats and learned statistics; and how it learns. */
import type { Instant } from '@paddlewind/domain';
import {
  chooseStandbys,
  type AdmissionLimits,
  type AverageRunTimes,
  type LeaseHandover,
  type Interference,
  type JournalRecord,
  type Run,
  type RunEnd,
  type RunTimes,
  type WorkerHealth,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
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
  { task, progress, worker }: Run,
  how: RunEnd | 'lost',
  {
    health,
    times,
    now,
  }: {
    readonly health: WorkerHealth;
    readonly times: RunTimes;
    readonly now: Instant;
  },
): void {
  if (how === 'done') {
    health.noteDone(worker);
  } else if (how === 'failed') {
    health.noteFailure(worker, task, now);
  }
  if (how === 'done' && progress !== undefined && task.checkpoint === '') {
    times.recordRun(task.step, now - progress.since);
  }
}

/** Returns a record of the learned run times and interference. */
export function learnedRecord(
  times: AverageRunTimes,
  interference: Interference,
): JournalRecord {
  const learnt = {
    runTimes: times.learnedAverages(),
    ...interference.learnedEstimates(),
  };
  return { kind: 'learnt', learnt };
}
