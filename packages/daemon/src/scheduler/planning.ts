/** Runs the planner of a shard whenever something changed, and writes what it decides. */
import { plan, type Instant, type ShardSpec } from '@paddlewind/domain';

import { scheduleOf } from '../log/timing.js';
import type { DecisionWriter } from './decision-writer.js';
import type { LeaseMode } from './lease-mode.js';
import { buildView } from './schedule-view.js';
import type { SchedulerParts } from './types.js';
import type { WorkerSyncs } from './worker-syncs.js';
import { isReachable } from './worker-link.js';
import type { Zone } from './zone.js';

/** Gathers what was folded in one turn into one plan. */
const PLAN_DELAY_MS = 2;
/** Decisions resume after an outage within this time, each owner at its own moment. */
const RESUME_SPREAD_MS = 1_000;

/** What planning is given. */
export interface PlanningParts {
  readonly parts: SchedulerParts;
  readonly zone: Zone;
  readonly spec: ShardSpec;
  readonly epoch: number;
  readonly writer: DecisionWriter;
  readonly syncs: WorkerSyncs;
  readonly mode: () => LeaseMode;
  /** Whether the shard is open and not being drained. */
  readonly mayDecide: () => boolean;
}

/** Returns a function that asks for a plan; several requests in one turn give one plan. */
export function createPlanning(input: PlanningParts): () => void {
  const { ctx, ownership } = input.parts;
  const changed = createChangeWatch(input);
  let due = false;
  let resumeAt: Instant = 0;

  function planNow(): void {
    due = false;
    const now = ctx.clock();
    const outage = ownership.logGoodSince() === Number.POSITIVE_INFINITY;
    if (outage || input.mode() !== 'leased') {
      resumeAt = now + RESUME_SPREAD_MS * ctx.random();
      return;
    }
    if (input.mayDecide() && now >= resumeAt && changed(now)) {
      tryDecide(input, now);
    }
  }

  return () => {
    if (!due) {
      due = true;
      scheduleOf(ctx)(PLAN_DELAY_MS, planNow);
    }
  };
}

/** A plan is made at least this often, for what ripens with time alone. */
const REPLAN_MS = 500;

/** Returns a function that tells whether anything that a plan depends on changed since it last did. */
function createChangeWatch(input: PlanningParts): (now: Instant) => boolean {
  const { parts, zone, spec, writer } = input;
  let seen: readonly unknown[] = [];
  let plannedAt: Instant = -Infinity;
  return now => {
    const current = [
      zone.state,
      zone.state.shards.get(spec.name)?.version,
      writer.version(),
      parts.config.current(),
      parts.hosts.hosts(),
    ];
    const same = current.every((value, i) => value === seen[i]);
    if (same && now - plannedAt < REPLAN_MS) {
      return false;
    }
    seen = current;
    plannedAt = now;
    return true;
  };
}

const NO_ADVICE = { batchPenalty: 0, avoidBatch: false };

/** A broken invariant stops the decisions of one plan, not the requests that this process serves. */
function tryDecide(input: PlanningParts, now: Instant): void {
  try {
    decide(input, now);
  } catch (err) {
    const shard = input.spec.name;
    input.parts.ctx.log.error({ shard, err }, 'scheduler: plan failed');
  }
}

function decide(input: PlanningParts, now: Instant): void {
  const { parts, zone, writer } = input;
  const view = buildView({
    shard: input.spec,
    epoch: input.epoch,
    config: parts.config.current(),
    hosts: parts.hosts.hosts(),
    state: zone.state,
    reachable: worker => isUsable(input, worker, now),
    advise: parts.advise ?? (() => NO_ADVICE),
    penalty: parts.penalty,
    logAvailable: true,
    pending: writer.pending(),
  });
  const decisions = plan(zone.state, view, parts.wall(), parts.ctx.random);
  decisions.forEach(made => {
    writer.write(made);
  });
}

/** Tells whether the worker has answered this owner and still does. */
function isUsable(
  { syncs, parts }: PlanningParts,
  worker: string,
  now: Instant,
): boolean {
  const link = syncs.link(worker);
  return link?.report !== undefined && isReachable(link, parts.cfg.tasks, now);
}
