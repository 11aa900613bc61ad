/** Eviction of batch tasks, the dearest action: under a budget, and only where it pays. */
import type { Instant } from '../core/time.js';
import {
  badRateChange,
  levelChange,
  spending,
  type Forecast,
} from './forecast.js';
import { refillTokens, withinHour, type PolicyMemory } from './memory.js';
import { LEAST_SHARE, type PolicySettings } from './settings.js';
import type { PlannedTask } from './throttle.js';
import type { ActionReason, EvictAction, InterferenceView } from './view.js';

/** Time over which a move elsewhere is credited with the throughput it wins, in seconds. */
const HORIZON_SECONDS = 900;

/** Time that an eviction and the start elsewhere take, in seconds. */
const RESTART_SECONDS = 30;

/** Share at or below which a task may do better elsewhere. */
const SLOWED_SHARE = 0.5;

/** Part of an error budget that a moved task may spend at its destination. */
const DESTINATION_SPENDING = 0.05;

/** Advises evictions; takes a token of the budget for each. */
export function adviseEvictions(
  predicted: Forecast,
  memory: PolicyMemory,
  view: InterferenceView,
  tasks: readonly PlannedTask[],
  settings: PolicySettings,
  now: Instant,
): EvictAction[] {
  const preemptible = tasks.filter(task => task.view.preemptible);
  const perHour = settings.evictionsPerTaskHour * preemptible.length;
  refillTokens(memory, perHour, now);
  const actions: EvictAction[] = [];
  const free = new Map(view.workers.map(w => [w.name, w.freeCores]));
  const candidates = preemptible
    .filter(task => isCandidate(task, settings, now))
    .sort((a, b) => gainOf(b) - gainOf(a));
  for (const task of candidates) {
    if (memory.evictionTokens < 1) {
      break;
    }
    const reason = reasonFor(predicted, view, free, task, settings);
    if (reason === undefined) {
      continue;
    }
    memory.evictionTokens -= 1;
    const { known } = task;
    known.evictions = [...withinHour(known.evictions, now), now];
    known.throttledSince = undefined;
    actions.push({
      kind: 'evict',
      task: task.view.task,
      attempt: task.view.attempt,
      worker: task.worker.name,
      reason,
    });
  }
  return actions;
}

function isCandidate(
  task: PlannedTask,
  settings: PolicySettings,
  now: Instant,
): boolean {
  const { known, view } = task;
  const since = known.throttledSince;
  return (
    task.share <= SLOWED_SHARE &&
    since !== undefined &&
    now - since >= settings.evictAfterMs &&
    withinHour(known.evictions, now).length + 1 <= view.evictionsPerHour
  );
}

/** Core-seconds won by running unthrottled elsewhere, less the cost of moving. */
function gainOf(task: PlannedTask): number {
  const { cores, uncheckpointedSeconds } = task.view;
  const won = (1 - task.share) * HORIZON_SECONDS;
  return cores * (won - RESTART_SECONDS - uncheckpointedSeconds);
}

function reasonFor(
  predicted: Forecast,
  view: InterferenceView,
  free: Map<string, number>,
  task: PlannedTask,
  settings: PolicySettings,
): ActionReason | undefined {
  const { cores } = task.view;
  if (gainOf(task) > cores * settings.evictionCostSeconds) {
    const better = view.workers.find(
      worker =>
        worker.name !== task.worker.name &&
        (free.get(worker.name) ?? 0) >= cores &&
        isHarmless(predicted, worker.name, worker.cores, task, settings),
    );
    if (better !== undefined) {
      free.set(better.name, (free.get(better.name) ?? 0) - cores);
      return 'runs_better_elsewhere';
    }
  }
  const nodes = predicted.byWorker.get(task.worker.name) ?? [];
  const atRisk = nodes.some(
    node =>
      spending(node.service) > settings.actAbove &&
      node.badShare > 1 - node.service.view.target,
  );
  return atRisk && task.share <= LEAST_SHARE ? 'objective_at_risk' : undefined;
}

function isHarmless(
  predicted: Forecast,
  worker: string,
  workerCores: number,
  task: PlannedTask,
  settings: PolicySettings,
): boolean {
  const { batchClass, cores } = task.view;
  const share = cores / workerCores;
  return (predicted.byWorker.get(worker) ?? []).every(node => {
    const change = levelChange(
      predicted,
      node,
      batchClass,
      share,
      settings.caution,
    );
    const bad = badRateChange(node, change);
    const own = spending(node.service, bad) - spending(node.service);
    return (
      own <= DESTINATION_SPENDING &&
      spending(node.service, bad) <= settings.aimFor
    );
  });
}
