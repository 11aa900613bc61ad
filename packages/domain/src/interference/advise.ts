/** Interference policy: steers requests first, then throttles batch tasks, then checkpoints and evicts them. */
import type { Instant } from '../core/time.js';
import { adviseEvictions } from './evict.js';
import { forecast } from './forecast.js';
import { dropStaleEntries, type PolicyMemory } from './memory.js';
import {
  advance,
  observePlacement,
  setObjective,
  type InterferenceModel,
} from './model.js';
import { settingsFor, type InterferenceWeights } from './settings.js';
import { adviseSteering } from './steer.js';
import { adviseThrottling, plannedTasks } from './throttle.js';
import type {
  Action,
  EvictAction,
  InterferenceView,
  ThrottleAction,
} from './view.js';

/**
 * Returns the actions for the workers of `view`, cheapest kind first; called every few seconds.
 * The next view has to show the result of the actions that were carried out.
 */
export function adviseActions(
  model: InterferenceModel,
  memory: PolicyMemory,
  view: InterferenceView,
  weights: InterferenceWeights,
  now: Instant,
): Action[] {
  updateModel(model, view, now);
  dropStaleEntries(memory, now);
  const settings = settingsFor(weights);
  const predicted = forecast(model, view, now);
  const tasks = plannedTasks(view, memory, now);
  const steers = adviseSteering(predicted, memory, settings, now);
  const throttles = adviseThrottling(predicted, memory, tasks, settings, now);
  const evictions = adviseEvictions(
    predicted,
    memory,
    view,
    tasks,
    settings,
    now,
  );
  return [...steers, ...excludeEvicted(throttles, evictions), ...evictions];
}

function excludeEvicted(
  throttles: readonly ThrottleAction[],
  evictions: readonly EvictAction[],
): ThrottleAction[] {
  const evicted = new Set(evictions.map(action => action.task));
  return throttles.filter(action => !evicted.has(action.task));
}

/** Closes due sample windows under the previous placement, then records the placement of `view`. */
export function updateModel(
  model: InterferenceModel,
  view: InterferenceView,
  now: Instant,
): void {
  for (const service of view.services) {
    setObjective(model, service.name, service.latencyMs);
  }
  advance(model, now);
  for (const worker of view.workers) {
    const uses = worker.tasks.map(task => ({
      batchClass: task.batchClass,
      share: (task.cores * task.share) / worker.cores,
    }));
    observePlacement(model, worker.name, uses, now);
  }
}
