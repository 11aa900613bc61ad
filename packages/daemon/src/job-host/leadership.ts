/** Follows the journal and claims the leadership when its leader has fallen silent. */
import type { Instant, Millis, SpanBounds } from '@paddlewind/domain';
import { encodeRecord, type JournalRecord } from '@paddlewind/domain/jobs';
import type { JobLog, WriterStamp } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import type { HostRole } from './host-role.js';
import type { Replica } from './replica.js';
import {
  APPEND_RETRY_DELAY_MS,
  CLAIM_SPREAD_MS,
  JOURNAL_READ_INTERVAL_MS,
  MIN_LEADER_CORES,
  LEADER_SILENCE_TIMEOUT_MS,
  SMALL_HOST_DELAY_MS,
} from './timing.js';

/** A claim that the log has accepted. */
export interface WonClaim {
  /** Also the highest of its fences. */
  readonly epoch: number;
  /** Lowest fence that no leader before may have used. */
  readonly firstFence: number;
  readonly nonce: number;
  /** Stamp of the leader's first append. */
  readonly nextStamp: WriterStamp;
  /** Monotonic time at which the claim was sent. */
  readonly sentAt: Instant;
  /** Monotonic time by which it was known to be won. */
  readonly wonAt: Instant;
  /** Time between the newest heartbeat of the leader before and that. */
  readonly silence: SpanBounds;
}

/** Name of the writer that leaders take turns to be; epochs order them. */
const LEADER_WRITER = 'leader';
/** Largest nonce: a sequence number that stays exact. */
const MAX_NONCE = 2 ** 31;
/** Distance of a claim's epoch from the one before: that many starts of one worker can be told apart. */
const FENCES_PER_CLAIM = 64;
/** How often a claim whose outcome is unknown is repeated. */
const CLAIM_TRIES = 5;

/** What a host that may come to lead is given. */
export interface CandidateOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly replica: Replica;
  readonly duty: HostRole;
  /** Processors of this host. */
  readonly cores: number;
  readonly stopped: () => boolean;
}

/** Resolves with a claim once this host leads; undefined once `stopped` tells so. */
export async function awaitLeadership({
  ctx,
  jobLog,
  replica,
  duty,
  cores,
  stopped,
}: CandidateOptions): Promise<WonClaim | undefined> {
  const claims = { floor: 0, delayMs: claimDelay(cores) };
  const patience = LEADER_SILENCE_TIMEOUT_MS + ctx.random() * CLAIM_SPREAD_MS;
  while (!stopped()) {
    if (await duty.followsSummary()) {
      await pause(ctx, JOURNAL_READ_INTERVAL_MS);
      continue;
    }
    const before = ctx.clock();
    if (replica.hasGap) {
      replica.reset();
    }
    const read = await replica.refresh('journal');
    const readTook = ctx.clock() - before;
    if (read && !replica.isComplete) {
      // A follower needs the inbox only for jobs that the journal names; callers ask for all.
      await replica.refresh('inbox');
    }
    if (read && isLeaderless(ctx, replica, patience + 2 * readTook)) {
      const won = await claim(ctx, jobLog, replica, claims);
      if (won !== undefined) {
        return won;
      }
      continue;
    }
    await pause(ctx, JOURNAL_READ_INTERVAL_MS);
  }
  return undefined;
}

function isLeaderless(
  ctx: HostContext,
  { state, journalReceivedAt: journalHeardAt }: Replica,
  patienceMs: number,
): boolean {
  const { epoch, host } = state.claim;
  // A restarted process knows nothing of what it led before.
  if (epoch === 0 || state.released || host === ctx.host) {
    return true;
  }
  return ctx.clock() - journalHeardAt > patienceMs;
}

interface Claims {
  /** Epochs below it were refused, though no record that is still kept tells of them. */
  floor: number;
  /** How long this host leaves the claim to others. */
  readonly delayMs: Millis;
}

/** Large hosts lead before small ones, which lead where no other does. */
function claimDelay(cores: number): Millis {
  return cores < MIN_LEADER_CORES ? SMALL_HOST_DELAY_MS : 0;
}

async function claim(
  ctx: HostContext,
  jobLog: JobLog,
  replica: Replica,
  claims: Claims,
): Promise<WonClaim | undefined> {
  const before = replica.state.claim.epoch;
  await pause(ctx, claims.delayMs + ctx.random() * CLAIM_SPREAD_MS);
  const read = await replica.refresh('journal');
  if (!read || replica.state.claim.epoch !== before) {
    return undefined;
  }
  const epoch = Math.max(before, claims.floor) + FENCES_PER_CLAIM;
  const nonce = Math.floor(ctx.random() * MAX_NONCE);
  const stamp = { writer: LEADER_WRITER, epoch, sequence: nonce };
  const record: JournalRecord = {
    kind: 'claim',
    epoch,
    host: ctx.host,
    nonce,
  };
  const sentAt = ctx.clock();
  for (let tries = 0; tries < CLAIM_TRIES; tries += 1) {
    const result = await jobLog.append(
      'journal',
      [encodeRecord(record)],
      stamp,
    );
    if (result.kind === 'appended') {
      return takeOver(ctx, replica, stamp, sentAt, result.nextOffset);
    }
    if (result.kind !== 'unknown') {
      ctx.log.info({ epoch, why: result.kind }, 'leadership: claim was lost');
      if (result.kind !== 'refused') {
        claims.floor = 2 * epoch;
      }
      await pause(ctx, APPEND_RETRY_DELAY_MS);
      return undefined;
    }
  }
  return undefined;
}

/**
 * Reads the journal up to the claim, which nothing of an earlier leader can follow, and the inbox to
 * its end: what was cancelled must not be started.
 */
async function takeOver(
  ctx: HostContext,
  replica: Replica,
  stamp: WriterStamp,
  sentAt: number,
  nextOffset: number,
): Promise<WonClaim | undefined> {
  while (
    !(await replica.refresh('inbox')) ||
    !(await replica.refresh('journal')) ||
    replica.nextOffset('journal') < nextOffset
  ) {
    if (replica.hasGap) {
      return undefined;
    }
    await pause(ctx, APPEND_RETRY_DELAY_MS);
  }
  const { claim: newest } = replica.state;
  if (newest.epoch !== stamp.epoch || newest.nonce !== stamp.sequence) {
    ctx.log.info({ epoch: stamp.epoch }, 'leadership: claim was overtaken');
    return undefined;
  }
  ctx.log.info({ epoch: stamp.epoch }, 'leadership: this host leads');
  const wonAt = ctx.clock();
  return {
    epoch: stamp.epoch,
    firstFence: firstFenceOf(stamp.epoch, replica),
    nonce: stamp.sequence,
    nextStamp: { ...stamp, sequence: stamp.sequence + 1 },
    sentAt,
    wonAt,
    silence: replica.heartbeatAge(wonAt),
  };
}

/** An epoch may have been claimed between the one that was known and this one; the journal tells of it. */
function firstFenceOf(
  epoch: number,
  { state, startedAtFirstRecord: knowsBeginning }: Replica,
): number {
  const isKnown = state.previousEpoch > 0 || knowsBeginning;
  return isKnown ? state.previousEpoch + 1 : epoch;
}
