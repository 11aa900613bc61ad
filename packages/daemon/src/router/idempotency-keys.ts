/** Claims idempotency keys through the log, so that a repeat to any entry host is never sent again. */
import {
  appError,
  createKeyTable,
  KEY_CLAIMED,
  KEY_DONE,
  KEY_HORIZON,
  KEY_RELEASED,
  keyStream,
  type AppError,
  type Instant,
  type KeyClaim,
  type KeyDone,
  type KeyHorizon,
  type KeyRelease,
  type KeyState,
  type KeyTable,
  type Millis,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import type {
  CommittedRecord,
  Committer,
  PartContext,
  Stop,
  StreamFollower,
} from '../parts.js';

/** Follows a stream from its oldest retained record; `fold` is called once for each batch. */
export type FollowKeys = (
  stream: string,
  fold: (records: readonly CommittedRecord[]) => void,
) => StreamFollower;

/** What the gate is given. */
export interface KeyGateOptions {
  readonly ctx: PartContext;
  readonly committer: Committer;
  readonly follow: FollowKeys;
  readonly region: string;
  readonly hostId: string;
  /** Unique to this start of the process. */
  readonly incarnation: string;
  /** How long a key is remembered at least. */
  readonly windowMs: Millis;
}

/** A request that wants to hold a key. */
export interface KeyRequest {
  readonly service: string;
  readonly key: string;
  /** Hash of what the request asks for; a repeat has the same. */
  readonly requestHash: string;
  readonly deadline: Instant;
}

/** A key that is held; exactly one of the two is called at the end, or none when the outcome is unknown. */
export interface KeyHold {
  /** Records the status that the request was answered with. */
  answered(status: number): void;
  /** Gives the key back: no byte of the request was sent. */
  notSent(): void;
}

/** Why a request may not be sent. */
export interface KeyRefusal {
  readonly error: AppError;
  /** Status that the first request was answered with, where it is known. */
  readonly earlierStatus: number | undefined;
}

/** Decides which request with a key is sent. */
export interface IdempotencyKeys {
  claim(req: KeyRequest): Promise<Result<KeyHold, KeyRefusal>>;
  close(): void;
}

/** Header of refusals: the status of the answer to the first request with the key. */
export const EARLIER_STATUS_HEADER = 'paddlewind-earlier-status';

/** A log that takes longer to take a claim is as good as down. */
const CLAIM_MS = 1_000;
/** After a failed claim others are refused at once for so long. */
const REFUSE_MS = 250;
/** How long the end of a held key is tried to be recorded. */
const RECORD_END_MS = 60_000;
/** The horizon is moved in steps of this share of the window. */
const HORIZON_STEPS = 10;

interface GateState {
  readonly options: KeyGateOptions;
  readonly table: KeyTable;
  readonly stream: string;
  readonly follower: StreamFollower;
  /** Keys whose claim is on its way to the log. */
  readonly claiming: Set<string>;
  lastClaim: number;
  /** Until when claims are refused at once, because the log is down. */
  refuseUntil: Instant;
}

/** Starts to follow the keys of the region. */
export function startIdempotencyKeys(options: KeyGateOptions): IdempotencyKeys {
  const table = createKeyTable();
  const stream = keyStream(options.region);
  const state: GateState = {
    options,
    table,
    stream,
    follower: options.follow(stream, records => {
      records.forEach(table.apply);
    }),
    claiming: new Set(),
    lastClaim: 0,
    refuseUntil: -Infinity,
  };
  const stopHorizon = keepHorizon(state);
  return {
    claim: req => claim(state, req),
    close() {
      stopHorizon();
      state.follower.stop();
    },
  };
}

async function claim(
  state: GateState,
  req: KeyRequest,
): Promise<Result<KeyHold, KeyRefusal>> {
  const known = state.table.lookup(req.service, req.key);
  const place = `${req.service}\u0000${req.key}`;
  if (known !== undefined) {
    return Result.err(refusalFor(known, req));
  }
  if (state.claiming.has(place)) {
    return Result.err(inProgress());
  }
  if (state.options.ctx.clock() < state.refuseUntil) {
    return Result.err(logDown('The log is not available.'));
  }
  state.claiming.add(place);
  try {
    return await recordClaim(state, req);
  } finally {
    state.claiming.delete(place);
  }
}

async function recordClaim(
  state: GateState,
  req: KeyRequest,
): Promise<Result<KeyHold, KeyRefusal>> {
  const { committer, hostId, incarnation, ctx } = state.options;
  const { service, key, requestHash } = req;
  const deadline = Math.min(req.deadline, ctx.clock() + CLAIM_MS);
  const id = `${hostId}/${incarnation}/${++state.lastClaim}`;
  const hold = holdOf(state, req, id);
  const body: KeyClaim = {
    service,
    key,
    requestHash,
    host: hostId,
    incarnation,
  };
  const record = { id, kind: KEY_CLAIMED, body };
  const placed = await committer.commit(state.stream, record, deadline);
  if (placed.isErr) {
    return failed(state, hold, placed.error);
  }
  const { offset } = placed.value;
  const read = await state.follower.waitForOffset(offset + 1, deadline);
  if (read.isErr) {
    return failed(state, hold, read.error);
  }
  const winner = state.table.lookup(service, key);
  if (winner?.claim === id) {
    return Result.ok(hold);
  }
  return Result.err(
    winner === undefined ? inProgress() : refusalFor(winner, req),
  );
}

/** Nothing was sent, so the request was not run, whatever became of the claim. */
function failed(
  state: GateState,
  hold: KeyHold,
  err: AppError,
): Result<KeyHold, KeyRefusal> {
  if (err.outcome !== 'not_run') {
    hold.notSent();
  }
  state.refuseUntil = state.options.ctx.clock() + REFUSE_MS;
  return Result.err(logDown(err.message));
}

function logDown(reason: string): KeyRefusal {
  const message = `The idempotency key could not be recorded: ${reason}`;
  const error = appError('log_unavailable', message, { outcome: 'not_run' });
  return { error, earlierStatus: undefined };
}

function holdOf(state: GateState, req: KeyRequest, id: string): KeyHold {
  const { service, key } = req;
  return {
    answered(status) {
      const body: KeyDone = { service, key, claim: id, status };
      record(state, { id: `${id}/done`, kind: KEY_DONE, body });
    },
    notSent() {
      const body: KeyRelease = { service, key, claim: id };
      record(state, { id: `${id}/released`, kind: KEY_RELEASED, body });
    },
  };
}

/** Records without waiting; a lost record leaves the key held with its outcome unknown. */
function record(
  state: GateState,
  entry: { id: string; kind: string; body: KeyDone | KeyRelease | KeyHorizon },
): void {
  const { committer, ctx } = state.options;
  const deadline = ctx.clock() + RECORD_END_MS;
  void committer.commit(state.stream, entry, deadline).then(placed => {
    if (placed.isErr) {
      ctx.log.warn(
        { record: entry.id, err: placed.error },
        'router: end of an idempotency key not recorded',
      );
    }
  });
}

function refusalFor(known: KeyState, req: KeyRequest): KeyRefusal {
  if (known.requestHash !== req.requestHash) {
    const message = 'The idempotency key was used for another request.';
    return { error: appError('conflict', message), earlierStatus: undefined };
  }
  return known.status === undefined ? inProgress() : wasAnswered(known.status);
}

function inProgress(): KeyRefusal {
  const message =
    'A request with this idempotency key was sent and its outcome is not known.';
  const error = appError('duplicate_request', message);
  return { error, earlierStatus: undefined };
}

function wasAnswered(status: number): KeyRefusal {
  const message = `The request with this idempotency key was answered with ${status}.`;
  const error = appError('duplicate_request', message, { outcome: 'run' });
  return { error, earlierStatus: status };
}

/** Records from time to time what has expired: what this host read more than the window ago. */
function keepHorizon(state: GateState): Stop {
  const { ctx, windowMs, hostId, incarnation } = state.options;
  /** Offsets that this host had read up to, and when. */
  const marks: { readonly offset: number; readonly at: Instant }[] = [];
  const timer = setInterval(() => {
    const now = ctx.clock();
    marks.push({ offset: state.follower.offset(), at: now });
    let expired = 0;
    while (marks[0] !== undefined && marks[0].at <= now - windowMs) {
      expired = marks.shift()?.offset ?? expired;
    }
    if (expired > state.table.horizon() && state.table.size() > 0) {
      const id = `${hostId}/${incarnation}/horizon/${expired}`;
      const body: KeyHorizon = { offset: expired };
      record(state, { id, kind: KEY_HORIZON, body });
    }
  }, windowMs / HORIZON_STEPS);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
