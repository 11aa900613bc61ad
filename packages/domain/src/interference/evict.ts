/** Eviction of batch tasks, the most expensive action: rate-limited, and only where it is worth its cost. */
import type { Instant } from '../core/time.js';
import {
  badRateChange,
  levelChange,
  predictedBurn,
  type Forecast,
} from './forecast.js';
import {
  refillEvictionTokens,
  withinLastHour,
  type PolicyMemory,
} from './memory.js';
import { MIN_SHARE, type PolicySettings } from './settings.js';
import type { PlannedTask } from './throttle.js';
import type { ActionReason, EvictAction, InterferenceView } from './view.js';

/** Time for which the throughput gained on another worker is credited to an eviction. */
const HORIZON_SECONDS = 900;

/** Time taken by an eviction and the restart on another worker. */
const RESTART_SECONDS = 30;

/** Throttled share at or below which a task may be evicted. */
const MAX_EVICTABLE_SHARE = 0.5;

/** Maximum increase of predicted burn that a moved task may cause on its destination. */
const MAX_DESTINATION_BURN = 0.05;

/** Recommends evictions and takes a token of the rate limit for each. */
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
  refillEvictionTokens(memory, perHour, now);
  const actions: EvictAction[] = [];
  const freeCores = new Map(view.workers.map(w => [w.name, w.freeCores]));
  const candidates = preemptible
    .filter(task => isCandidate(task, settings, now))
    .sort((a, b) => evictionGain(b) - evictionGain(a));
  for (const task of candidates) {
    if (memory.evictionTokens < 1) {
      break;
    }
    const reason = evictionReason(predicted, view, freeCores, task, settings);
    if (reason === undefined) {
      continue;
    }
    memory.evictionTokens -= 1;
    const { history } = task;
    history.evictions = [...withinLastHour(history.evictions, now), now];
    history.throttledSince = undefined;
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
  const { history, view } = task;
  const since = history.throttledSince;
  return (
    task.share <= MAX_EVICTABLE_SHARE &&
    since !== undefined &&
    now - since >= settings.evictAfterMs &&
    withinLastHour(history.evictions, now).length + 1 <= view.evictionsPerHour
  );
}

/** Returns the core-seconds gained by running unthrottled on another worker, less the cost of the move. */
function evictionGain(task: PlannedTask): number {
  const { cores, uncheckpointedSeconds } = task.view;
  const gained = (1 - task.share) * HORIZON_SECONDS;
  return cores * (gained - RESTART_SECONDS - uncheckpointedSeconds);
}

function evictionReason(
  predicted: Forecast,
  view: InterferenceView,
  freeCores: Map<string, number>,
  task: PlannedTask,
  settings: PolicySettings,
): ActionReason | undefined {
  const { cores } = task.view;
  if (evictionGain(task) > cores * settings.evictionCostSeconds) {
    const destination = view.workers.find(
      worker =>
        worker.name !== task.worker.name &&
        (freeCores.get(worker.name) ?? 0) >= cores &&
        fitsErrorBudgets(predicted, worker.name, worker.cores, task, settings),
    );
    if (destination !== undefined) {
      freeCores.set(
        destination.name,
        (freeCores.get(destination.name) ?? 0) - cores,
      );
      return 'runs_better_elsewhere';
    }
  }
  const backends = predicted.byWorker.get(task.worker.name) ?? [];
  const atRisk = backends.some(
    backend =>
      predictedBurn(backend.service) > settings.burnThreshold &&
      backend.badShare > 1 - backend.service.view.target,
  );
  return atRisk && task.share <= MIN_SHARE ? 'objective_at_risk' : undefined;
}

function fitsErrorBudgets(
  predicted: Forecast,
  worker: string,
  workerCores: number,
  task: PlannedTask,
  settings: PolicySettings,
): boolean {
  const { batchClass, cores } = task.view;
  const share = cores / workerCores;
  return (predicted.byWorker.get(worker) ?? []).every(backend => {
    const change = levelChange(
      predicted,
      backend,
      batchClass,
      share,
      settings.safetyDeviations,
    );
    const bad = badRateChange(backend, change);
    const increase =
      predictedBurn(backend.service, bad) - predictedBurn(backend.service);
    return (
      increase <= MAX_DESTINATION_BURN &&
      predictedBurn(backend.service, bad) <= settings.targetBurn
    );
  });
}
