/** The configuration in force on this host. */
import {
  CONFIG_STREAM,
  EMPTY_CONFIG,
  appError,
  createConfigLedger,
  type AppError,
  type ConfigLedger,
  type ConfigState,
  type Instant,
  type Millis,
  type ProposedChange,
  type Snapshot,
} from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import { createListeners, type Listeners } from '../core/listeners.js';
import {
  followFold,
  type FoldFollower,
  type FoldedState,
} from '../log/fold-follower.js';
import { startSnapshotWriter } from '../log/snapshot-writer.js';
import { scheduleOf } from '../log/timing.js';
import type {
  Committer,
  ConfigView,
  PartContext,
  Peer,
  PeerView,
  Stop,
} from '../parts.js';
import { applyChangeSet } from './apply.js';
import { createInForceCheck, type InForceCheck } from './in-force.js';
import { createConfigMetrics, type ConfigMetrics } from './metrics.js';
import { startPeerSource, type FetchConfig } from './peer-source.js';
import { waitInForce } from './wait-in-force.js';

/** What the configuration is started with. */
export interface ConfigOptions {
  readonly ctx: PartContext;
  readonly log: LogService;
  readonly committer: Committer;
  readonly peers: PeerView;
  /** Asks a peer for its configuration; without it only the log is a source. */
  readonly fetch?: FetchConfig;
  /** How long this host may take to obtain an offset that it hears of before it is unready. */
  readonly graceMs?: Millis;
  /** How long a fresh host listens for peers before it goes by them in an outage of the log. */
  readonly settleMs?: Millis;
  /** How long the log keeps entries; snapshots are written four times as often. */
  readonly retentionMs?: Millis;
  /** Longest wait of one read of the log. */
  readonly waitMs?: Millis;
}

/** The configuration in force, and what operators and peers do with it. */
export interface Config extends ConfigView {
  /** Offset in force here; 0 before this host has begun to serve. */
  offset(): number;
  /** Why the configuration is not in force, in a sentence; undefined while it is. */
  problem(): string | undefined;
  /** Publishes a change set, see `applyChangeSet`. */
  apply(
    id: string,
    changes: readonly ProposedChange[],
    deadline: Instant,
  ): Promise<Result<number, AppError>>;
  /** Resolves to the entry hosts that do not have `offset` in force by the deadline. */
  waitInForce(offset: number, deadline: Instant): Promise<readonly string[]>;
  /** The configuration for a peer; fails with `not_ready` below `least`. */
  snapshot(least: number): Promise<Result<Snapshot, AppError>>;
  stop: Stop;
}

/** Change sets whose ids are remembered, so that a late retry is recognised. */
const REMEMBERED_CHANGE_SETS = 1_024;
const GRACE_MS = 1_000;
const SETTLE_MS = 3_000;
const RETENTION_MS = 6 * 3_600_000;
const SNAPSHOTS_PER_RETENTION = 4;
const SNAPSHOT_ENTRIES = 512;
const SNAPSHOT_STAGGER_MS = 20_000;
const WATCH_MS = 500;

interface Holding {
  readonly options: ConfigOptions;
  readonly ledger: ConfigLedger;
  readonly gate: InForceCheck;
  readonly metrics: ConfigMetrics;
  readonly listeners: Listeners<[ConfigState]>;
  readonly progress: Listeners<[]>;
  served: ConfigState;
  heard: number;
  /** The snapshot last handed to a peer. */
  handed: { offset: number; snapshot: Promise<Snapshot> } | undefined;
  wasInForce: boolean;
}

/** Starts to follow the configuration. */
export function startConfig(options: ConfigOptions): Config {
  const { ctx, log, committer, peers } = options;
  const holding = createHolding(options);
  const follower = followFold({
    log,
    stream: CONFIG_STREAM,
    ctx,
    state: foldedState(holding),
    windowSize: REMEMBERED_CHANGE_SETS,
    ...(options.waitMs === undefined ? {} : { waitMs: options.waitMs }),
    // The first call comes from within followFold's promise, when `follower` is set.
    onProgress: () => {
      advance(holding, follower);
    },
  });
  const stops = startHelpers(holding, follower);
  const offset = (): number => holding.served.offset;
  return {
    current: () => holding.served,
    inForce: () => holding.gate.inForce(ctx.clock()),
    problem: () => problemOf(holding, follower),
    onChange: listener => holding.listeners.add(listener),
    offset,
    apply: (id, changes, deadline) =>
      holding.gate.hasBegun()
        ? applyChangeSet(
            {
              ledger: holding.ledger,
              follower,
              committer,
              clock: ctx.clock,
            },
            { id, changes },
            deadline,
          )
        : Promise.resolve(Result.err(notBegun())),
    waitInForce: (wanted, deadline) => {
      const { progress } = holding;
      return waitInForce({ ctx, peers, offset, progress }, wanted, deadline);
    },
    snapshot: least => snapshotFor(holding, follower, least),
    stop: () => {
      stops.forEach(stop => {
        stop();
      });
      follower.stop();
    },
  };
}

function createHolding(options: ConfigOptions): Holding {
  const { ctx } = options;
  const limits = {
    graceMs: options.graceMs ?? GRACE_MS,
    settleMs: options.settleMs ?? SETTLE_MS,
  };
  return {
    options,
    ledger: createConfigLedger(),
    gate: createInForceCheck(limits, ctx.clock()),
    metrics: createConfigMetrics(ctx.metrics),
    listeners: createListeners(),
    progress: createListeners(),
    served: EMPTY_CONFIG,
    heard: 0,
    handed: undefined,
    wasInForce: false,
  };
}

function foldedState({ ledger, metrics }: Holding): FoldedState {
  return {
    apply: (records, next) =>
      ledger.fold(records, next).map(verdicts => {
        verdicts.forEach(verdict => {
          metrics.verdict(verdict.kind);
        });
      }),
    capture: () => ledger.capture(),
    restore: (text, offset) => ledger.restore(text, offset),
  };
}

function startHelpers(holding: Holding, follower: FoldFollower): Stop[] {
  const { ctx, committer, peers, fetch, retentionMs } = holding.options;
  const maxAgeMs = (retentionMs ?? RETENTION_MS) / SNAPSHOTS_PER_RETENTION;
  const snapshotWriter = startSnapshotWriter({
    ctx,
    stream: CONFIG_STREAM,
    committer,
    follower,
    maxAgeMs,
    maxEntries: SNAPSHOT_ENTRIES,
    maxStaggerMs: Math.min(SNAPSHOT_STAGGER_MS, maxAgeMs / 4),
  });
  const onPeers = peers.onChange(() => {
    advance(holding, follower);
  });
  const onAdopted = (peer: { readonly id: string }): void => {
    holding.metrics.adopted();
    ctx.log.info(
      { peer: peer.id, offset: follower.offset() },
      `config: taken over from ${peer.id}`,
    );
  };
  const stops = [snapshotWriter.stop, onPeers, watch(holding, follower)];
  return fetch === undefined
    ? stops
    : [...stops, startPeerSource({ ctx, follower, peers, fetch, onAdopted })];
}

/** Looks at the evidence at regular times: silence is evidence as well. */
function watch(holding: Holding, follower: FoldFollower): Stop {
  const schedule = scheduleOf(holding.options.ctx);
  let cancel = schedule(WATCH_MS, look);
  function look(): void {
    advance(holding, follower);
    cancel = schedule(WATCH_MS, look);
  }
  return () => {
    cancel();
  };
}

function advance(holding: Holding, follower: FoldFollower): void {
  const { ctx, peers } = holding.options;
  const now = ctx.clock();
  const live = peers.peers();
  noteHeard(holding, follower, live);
  const hasState = follower.status() !== 'recovering' || follower.offset() > 0;
  holding.gate.note(
    {
      offset: hasState ? follower.offset() : undefined,
      known: holding.heard,
      isCaughtUp: follower.caughtUp(),
      hasLogAnswered: follower.readAt() !== undefined,
      hasPeer: live.some(isSource),
      canFollow: follower.status() === 'following',
    },
    now,
  );
  serve(holding);
  noteForce(holding, follower, holding.gate.inForce(now));
  holding.metrics.offsets(holding.served.offset, holding.heard);
}

/** A peer that tells of more has reached the log, so it is read again at once. */
function noteHeard(
  holding: Holding,
  follower: FoldFollower,
  live: readonly Peer[],
): void {
  const told = Math.max(0, ...live.map(peer => peer.configOffset));
  if (told > holding.heard) {
    follower.wake();
  }
  holding.heard = Math.max(holding.heard, told, follower.head() ?? 0);
}

/** A peer that is not ready may itself have heard of a newer offset than it has. */
function isSource(peer: Peer): boolean {
  return peer.state === 'ready';
}

/** Serves the folded state once this host has begun; never an older one than served. */
function serve(holding: Holding): void {
  const { served, ledger, gate, listeners, progress } = holding;
  const state = ledger.state();
  if (!gate.hasBegun() || state.offset <= served.offset) {
    return;
  }
  holding.served = state;
  if (state.objects !== served.objects) {
    listeners.emit(state);
  }
  progress.emit();
}

function noteForce(
  holding: Holding,
  follower: FoldFollower,
  inForce: boolean,
): void {
  const { ctx } = holding.options;
  holding.metrics.inForce(inForce);
  if (inForce === holding.wasInForce) {
    return;
  }
  holding.wasInForce = inForce;
  if (inForce) {
    const { offset } = holding.served;
    ctx.log.info({ offset }, `config: in force at ${offset}`);
  } else {
    const problem = problemOf(holding, follower);
    ctx.log.warn(`config: not in force: ${problem ?? 'unknown'}`);
  }
}

function problemOf(
  holding: Holding,
  follower: FoldFollower,
): string | undefined {
  const { ctx } = holding.options;
  if (holding.gate.inForce(ctx.clock())) {
    return undefined;
  }
  const failure = follower.failure();
  if (failure !== undefined) {
    return failure.message;
  }
  return holding.heard > follower.offset()
    ? `Offset ${holding.heard} is known of, ${follower.offset()} is here.`
    : 'The head of the configuration stream was not read yet.';
}

async function snapshotFor(
  holding: Holding,
  follower: FoldFollower,
  least: number,
): Promise<Result<Snapshot, AppError>> {
  if (!holding.gate.hasBegun() || follower.offset() < least) {
    return Result.err(notBegun());
  }
  const offset = follower.offset();
  if (holding.handed?.offset !== offset) {
    holding.handed = { offset, snapshot: follower.snapshot() };
  }
  return Result.ok(await holding.handed.snapshot);
}

function notBegun(): AppError {
  return appError(
    'not_ready',
    'The configuration is not in force on this host.',
  );
}
