/** Decides for one shard under one epoch and keeps its workers in line with the decisions. */
import { decision, type Instant, type ShardSpec } from '@paddlewind/domain';

import { scheduleOf, sleep } from '../log/timing.js';
import type { Stop } from '../parts.js';
import type { OwnedShard } from '../shards/types.js';
import { createDecisionOffsets } from './decision-offsets.js';
import {
  createDecisionWriter,
  type DecisionWriter,
} from './decision-writer.js';
import { formerOwnersUntil, leaseMode, type LeaseMode } from './lease-mode.js';
import type { OwnerParts, SchedulerMetrics } from './metrics.js';
import { createPlanning } from './planning.js';
import { createShardAttempts } from './shard-attempts.js';
import type { AttemptControl, SchedulerParts } from './types.js';
import { mostAnswered, type WorkerLink } from './worker-link.js';
import { createWorkerSyncs } from './worker-syncs.js';
import type { FoldedDecision, Zone } from './zone.js';

const OPEN_TIMEOUT_MS = 5_000;
const OPEN_RETRY_MS = 500;
const DRAIN_POLL_MS = 20;

/** The owner's work on one shard. */
export interface ShardRunner {
  readonly shard: string;
  readonly epoch: number;
  readonly spec: ShardSpec;
  readonly zone: Zone;
  readonly attempts: AttemptControl;
  isDeciding(): boolean;
  /** Decides nothing more; resolves when nothing is pending, or at the deadline. */
  drain(deadline: Instant): Promise<void>;
  stop: Stop;
}

/** Where a runner stands. */
interface RunnerState {
  phase: 'opening' | 'deciding' | 'draining' | 'stopped';
  /** Whether an agent refused this epoch for a newer one. */
  superseded: boolean;
  leaseUntil: Instant;
  /** When most workers had accepted this epoch. */
  settledAt: Instant | undefined;
}

/** Starts to decide for a shard that this process owns. */
export function startShardRunner(
  parts: OwnerParts,
  zone: Zone,
  spec: ShardSpec,
  owned: OwnedShard,
): ShardRunner {
  const { ctx, cfg } = parts;
  const { shard, epoch } = owned;
  const state = newState(owned);
  const acquiredAt = ctx.clock();
  const offsets = createDecisionOffsets(shard, epoch);
  const mode = (): LeaseMode => currentMode(parts, owned, state, syncs.links());
  const formerUntil = (): Instant =>
    formerOwnersUntil(owned, acquiredAt, state.settledAt, cfg.tasks);
  const superseded = (): void => {
    state.superseded = true;
  };
  const writer = countDecisions(
    createDecisionWriter(ctx, parts.committer, zone, () => {
      planSoon();
    }),
    parts.meters,
  );
  const common = { parts, zone, spec, epoch, writer, mode };
  const offsetOf = (task: string): number => offsets.of(task);
  const syncs = createWorkerSyncs({
    ...common,
    offsetOf,
    formerUntil,
    superseded,
  });
  const mayDecide = (): boolean => state.phase === 'deciding';
  const planning = { ...common, syncs, mayDecide };
  const planSoon = createPlanning(planning);
  const unsubscribe = zone.onDecision(onDecision);
  const stopTicks = repeat(parts, tick);

  function tick(now: Instant): void {
    if (mostAnswered(syncs.links(), acquiredAt)) {
      state.settledAt ??= now;
    }
    syncs.tick(now);
    planSoon();
  }

  function onDecision(folded: FoldedDecision): void {
    offsets.note(folded);
    syncs.onDecision(folded);
    planSoon();
  }

  async function open(): Promise<void> {
    const offset = await recordOpening(parts, zone, owned, state);
    offsets.opened(offset);
    await syncs.begin(ctx.clock() + cfg.tasks.suspectMs);
    if (state.phase === 'opening') {
      state.phase = 'deciding';
      ctx.log.info({ shard, epoch }, 'scheduler: deciding');
    }
  }

  void open();
  return {
    shard,
    epoch,
    spec,
    zone,
    attempts: createShardAttempts(planning),
    isDeciding: () => mayDecide() && mode() === 'leased',
    drain: async deadline => {
      state.phase = 'draining';
      while (writer.pending().length > 0 && ctx.clock() < deadline) {
        await sleep(scheduleOf(ctx), DRAIN_POLL_MS);
      }
    },
    stop: () => {
      state.phase = 'stopped';
      stopTicks();
      unsubscribe();
      writer.close();
      syncs.stop();
    },
  };
}

function countDecisions(
  writer: DecisionWriter,
  meters: SchedulerMetrics,
): DecisionWriter {
  const write: DecisionWriter['write'] = made => {
    if (!writer.isPending(made.id)) {
      meters.decided(made.kind);
    }
    writer.write(made);
  };
  return { ...writer, write };
}

function newState(owned: OwnedShard): RunnerState {
  return {
    phase: 'opening',
    superseded: false,
    leaseUntil: owned.leaseUntil,
    settledAt: undefined,
  };
}

function repeat(
  { ctx, cfg }: SchedulerParts,
  tick: (now: Instant) => void,
): Stop {
  const schedule = scheduleOf(ctx);
  let cancel = schedule(cfg.roundMs, run);
  function run(): void {
    cancel = schedule(cfg.roundMs, run);
    tick(ctx.clock());
  }
  return () => {
    cancel();
  };
}

function currentMode(
  { ctx, cfg, ownership, peers }: SchedulerParts,
  { shard, epoch }: OwnedShard,
  state: RunnerState,
  links: Iterable<WorkerLink>,
): LeaseMode {
  const held = ownership.owned().get(shard);
  if (held?.epoch === epoch) {
    state.leaseUntil = held.leaseUntil;
  }
  const { leaseUntil, superseded } = state;
  const { self } = peers;
  const timing = cfg.tasks;
  return leaseMode(
    { shard, epoch, self, ownership, timing, links, leaseUntil, superseded },
    ctx.clock(),
  );
}

/** Records the opening and reads everything before it; resolves to its offset. */
async function recordOpening(
  { ctx, committer, peers }: SchedulerParts,
  zone: Zone,
  { shard, epoch }: OwnedShard,
  state: RunnerState,
): Promise<number> {
  const record = decision('owner_opened', { shard, epoch, owner: peers.self });
  while (state.phase === 'opening') {
    const deadline = ctx.clock() + OPEN_TIMEOUT_MS;
    const result = await committer.commit(zone.stream, record, deadline);
    if (result.isOk) {
      const { offset } = result.value;
      await zone.follower.waitForOffset(offset + 1, Number.MAX_SAFE_INTEGER);
      return offset;
    }
    await sleep(scheduleOf(ctx), OPEN_RETRY_MS);
  }
  return 0;
}
