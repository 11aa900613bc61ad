/** Publishing a change set and learning the verdict on it. */
import {
  appError,
  applyConfigRecord,
  changeSetRecord,
  CONFIG_STREAM,
  type AppError,
  type ChangeSet,
  type Clock,
  type ConfigLedger,
  type ConfigVerdict,
  type Instant,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import type { FoldFollower } from '../log/fold-follower.js';
import type { Committer } from '../parts.js';

/** What publishing works with. */
export interface ApplyDeps {
  readonly ledger: ConfigLedger;
  readonly follower: FoldFollower;
  readonly committer: Committer;
  readonly clock: Clock;
}

/** How long a host may take to read a version that an operator has seen elsewhere. */
const BASE_WAIT_MS = 2_000;

/**
 * Publishes a change set; resolves to the offset from which it is in force. Fails with
 * `conflict`, `invalid`, `log_unavailable`, or `timeout` when the verdict is not known yet.
 * A retry with the same id gets the same verdict.
 */
export async function applyChangeSet(
  deps: ApplyDeps,
  set: ChangeSet,
  deadline: Instant,
): Promise<Result<number, AppError>> {
  const known = deps.ledger.verdictOf(set.id);
  if (known !== undefined) {
    return answerOf(known);
  }
  const seen = await reachBases(deps, set, deadline);
  if (seen.isErr) {
    return Result.err(seen.error);
  }
  const foreseen = foresee(deps.ledger, set);
  if (foreseen.isErr) {
    return foreseen;
  }
  const committed = await deps.committer.commit(
    CONFIG_STREAM,
    changeSetRecord(set),
    deadline,
  );
  if (committed.isErr) {
    return Result.err(committed.error);
  }
  const read = await deps.follower.waitForOffset(
    committed.value.offset + 1,
    deadline,
  );
  const verdict = deps.ledger.verdictOf(set.id);
  if (verdict !== undefined) {
    return answerOf(verdict);
  }
  return Result.err(read.isErr ? unread(set, read.error) : forgotten(set));
}

/** Waits until this host has read the versions that the changes are based on. */
async function reachBases(
  { follower, clock }: ApplyDeps,
  set: ChangeSet,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  const bases = set.changes.map(change => change.baseVersion);
  const newest = Math.max(0, ...bases);
  const until = Math.min(deadline, clock() + BASE_WAIT_MS);
  const reached = await follower.waitForOffset(newest, until);
  return reached.mapErr(() => baseUnread(newest));
}

/** Judges by the state known here, so that what is refused already is not written. */
function foresee(
  ledger: ConfigLedger,
  set: ChangeSet,
): Result<number, AppError> {
  const state = ledger.state();
  const record = changeSetRecord(set);
  return answerOf(applyConfigRecord(state, record, state.offset + 1).verdict);
}

function answerOf(verdict: ConfigVerdict): Result<number, AppError> {
  switch (verdict.kind) {
    case 'accepted':
      return Result.ok(verdict.offset);
    case 'conflict':
    case 'invalid':
    case 'unsupported':
      return Result.err(verdict.error);
    case 'ignored':
      return Result.err(appError('internal', 'The change set was ignored.'));
  }
}

function baseUnread(version: number): AppError {
  return appError(
    'not_ready',
    `This host has not read version ${version} yet, on which the change is based.`,
  );
}

function unread(set: ChangeSet, cause: AppError): AppError {
  return appError(
    'timeout',
    `Change set ${set.id} is in the log, its verdict is not known yet: ` +
      `${cause.message} Repeat it with the same id.`,
  );
}

function forgotten(set: ChangeSet): AppError {
  return appError(
    'timeout',
    `Change set ${set.id} was judged long ago: read the configuration to see.`,
  );
}
