/** Follows the journal, and claims the leadership when the leader has stopped writing. */
import type { Instant, Millis, SpanBounds } from '@paddlewind/domain';
import { encodeRecord, type JournalRecord } from '@paddlewind/domain/jobs';
import type { JobLog, PeerPort, WriterStamp } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import type { HostRole } from './host-role.js';
import { boundSilence } from './previous-heartbeat.js';
import type { Replica } from './replica.js';
import {
  APPEND_RETRY_DELAY_MS,
  CLAIM_JITTER_MS,
  JOURNAL_READ_INTERVAL_MS,
  MIN_LEADER_CORES,
  LEADER_SILENCE_TIMEOUT_MS,
  SMALL_HOST_CLAIM_DELAY_MS,
} from './timing.js';

/** A claim that the log has accepted. */
export interface WonClaim {
  /** Epoch of the leader; also its highest fence. */
  readonly epoch: number;
  /** Lowest fence that no earlier leader can have used. */
  readonly firstFence: number;
  readonly nonce: number;
  /** Stamp of the leader's first append. */
  readonly nextStamp: WriterStamp;
  /** Monotonic time at which the claim was sent. */
  readonly sentAt: Instant;
  /** Monotonic time at which the claim was known to have succeeded. */
  readonly wonAt: Instant;
  /** Time between the last heartbeat of the previous leader and `wonAt`. */
  readonly silence: SpanBounds;
}

/** Name of the log writer that all leaders share; their epochs order them. */
const LEADER_WRITER = 'leader';
/** Upper bound of nonces. A nonce is also a sequence number, so it must stay an exact integer. */
const MAX_NONCE = 2 ** 31;
/**
 * Difference between the epochs of consecutive claims: the number of incarnations of one worker that a leader
 * can tell apart.
 */
const FENCES_PER_CLAIM = 64;
/** Maximum number of times that a claim is sent while its outcome is unknown. */
const MAX_CLAIM_ATTEMPTS = 5;

/** Dependencies and settings of a host that may lead. */
export interface CandidateOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly peers: PeerPort;
  readonly replica: Replica;
  readonly role: HostRole;
  /** Processors of this host. */
  readonly cores: number;
  readonly stopped: () => boolean;
}

/** Resolves with a claim once this host leads, or with undefined once `stopped` returns true. */
export async function awaitLeadership({
  ctx,
  jobLog,
  peers,
  replica,
  role,
  cores,
  stopped,
}: CandidateOptions): Promise<WonClaim | undefined> {
  const claimState = { minEpoch: 0, delayMs: claimDelay(cores) };
  const silenceTimeoutMs =
    LEADER_SILENCE_TIMEOUT_MS + ctx.random() * CLAIM_JITTER_MS;
  while (!stopped()) {
    if (await role.followsSummary()) {
      await pause(ctx, JOURNAL_READ_INTERVAL_MS);
      continue;
    }
    const before = ctx.clock();
    if (replica.hasGap) {
      replica.reset();
    }
    const read = await replica.refresh('journal');
    const readTookMs = ctx.clock() - before;
    if (read && !replica.isComplete) {
      // A follower needs the inbox only for jobs that the journal names; reads for callers cover the rest.
      await replica.refresh('inbox');
    }
    if (read && isLeaderless(ctx, replica, silenceTimeoutMs + 2 * readTookMs)) {
      const wonClaim = await tryToClaim(ctx, jobLog, replica, claimState);
      if (wonClaim !== undefined) {
        const { state } = replica;
        const { silence } = wonClaim;
        return {
          ...wonClaim,
          silence: await boundSilence(ctx, peers, state, silence),
        };
      }
      continue;
    }
    await pause(ctx, JOURNAL_READ_INTERVAL_MS);
  }
  return undefined;
}

function isLeaderless(
  ctx: HostContext,
  { state, journalReceivedAt }: Replica,
  silenceTimeoutMs: number,
): boolean {
  const { epoch, host } = state.claim;
  // A restarted process has lost the state of its earlier leadership.
  if (epoch === 0 || state.released || host === ctx.host) {
    return true;
  }
  return ctx.clock() - journalReceivedAt > silenceTimeoutMs;
}

interface ClaimState {
  /** The log refused lower epochs, although none of the records that it still keeps shows a higher one. */
  minEpoch: number;
  /** How long this host waits before it claims, to let others go first. */
  readonly delayMs: Millis;
}

/** Large hosts claim first; small ones lead only if no large host does. */
function claimDelay(cores: number): Millis {
  return cores < MIN_LEADER_CORES ? SMALL_HOST_CLAIM_DELAY_MS : 0;
}

async function tryToClaim(
  ctx: HostContext,
  jobLog: JobLog,
  replica: Replica,
  claimState: ClaimState,
): Promise<WonClaim | undefined> {
  const before = replica.state.claim.epoch;
  await pause(ctx, claimState.delayMs + ctx.random() * CLAIM_JITTER_MS);
  const read = await replica.refresh('journal');
  if (!read || replica.state.claim.epoch !== before) {
    return undefined;
  }
  const epoch = Math.max(before, claimState.minEpoch) + FENCES_PER_CLAIM;
  const nonce = Math.floor(ctx.random() * MAX_NONCE);
  const stamp = { writer: LEADER_WRITER, epoch, sequence: nonce };
  const record: JournalRecord = {
    kind: 'claim',
    epoch,
    host: ctx.host,
    nonce,
  };
  const sentAt = ctx.clock();
  for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
    const result = await jobLog.append(
      'journal',
      [encodeRecord(record)],
      stamp,
    );
    if (result.kind === 'appended') {
      return completeTakeover(ctx, replica, stamp, sentAt, result.nextOffset);
    }
    if (result.kind !== 'unknown') {
      ctx.log.info(
        { epoch, why: result.kind },
        'leadership: the claim was refused',
      );
      if (result.kind !== 'refused') {
        claimState.minEpoch = 2 * epoch;
      }
      await pause(ctx, APPEND_RETRY_DELAY_MS);
      return undefined;
    }
  }
  return undefined;
}

/**
 * Reads the journal up to the claim, after which no earlier leader can write, and the inbox to its end, since
 * cancelled jobs must not be started.
 */
async function completeTakeover(
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
    ctx.log.info(
      { epoch: stamp.epoch },
      'leadership: the claim was superseded',
    );
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

/**
 * Returns the lowest fence that no earlier leader can have used. Another epoch may have been claimed between
 * the last known one and this one; the journal shows it.
 */
function firstFenceOf(
  epoch: number,
  { state, startedAtFirstRecord }: Replica,
): number {
  const isKnown = state.previousEpoch > 0 || startedAtFirstRecord;
  return isKnown ? state.previousEpoch + 1 : epoch;
}
