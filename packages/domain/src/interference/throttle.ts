/** Throttles batch tasks and releases them again. */
import type { Instant } from '../core/time.js';
import {
  applyLevel,
  badRateChange,
  levelChange,
  predictedBurn,
  type Forecast,
  type ServiceForecast,
} from './forecast.js';
import {
  canDecrease,
  canIncrease,
  recordChange,
  taskHistory,
  type PolicyMemory,
  type TaskHistory,
} from './memory.js';
import { THROTTLE_LEVELS, type PolicySettings } from './settings.js';
import type {
  BatchTaskView,
  InterferenceView,
  ThrottleAction,
  WorkerView,
} from './view.js';

/** Time until the effect of a cut shows on its worker. */
const SETTLE_MS = 4_000;

/** Standard deviations added to a learned slowdown when tasks are chosen for a cut. */
const CUT_DEVIATIONS = 0.5;

/** Minimum gain of a cut, as a share of the error budget. */
const MIN_GAIN = 0.003;

const MAX_CUTS_PER_ROUND = 64;

/** Maximum raises per round: a fraction of the throttled tasks, but not less than the minimum. */
const MIN_RAISES = 1;
const RAISED_FRACTION = 0.05;

/** A running batch task with its history and planned share. */
export interface PlannedTask {
  readonly view: BatchTaskView;
  readonly worker: WorkerView;
  readonly history: TaskHistory;
  share: number;
}

/** Returns the tasks of a view, except those beyond the limit of the policy's memory. */
export function plannedTasks(
  view: InterferenceView,
  memory: PolicyMemory,
  now: Instant,
): PlannedTask[] {
  const tasks: PlannedTask[] = [];
  for (const worker of view.workers) {
    for (const task of worker.tasks) {
      const history = taskHistory(memory, task.task, task.share, now);
      if (history === undefined) {
        continue;
      }
      if (task.share < 1) {
        history.throttledSince ??= now;
      } else {
        history.throttledSince = undefined;
      }
      tasks.push({ view: task, worker, history, share: task.share });
    }
  }
  return tasks;
}

/** Recommends throttling where objectives are at risk, and releases where they are safe. */
export function adviseThrottling(
  predicted: Forecast,
  memory: PolicyMemory,
  tasks: readonly PlannedTask[],
  settings: PolicySettings,
  now: Instant,
): ThrottleAction[] {
  const actions = new Map<PlannedTask, ThrottleAction>();
  for (const service of predicted.services.values()) {
    if (predictedBurn(service) > settings.burnThreshold) {
      cutShares(predicted, memory, service, tasks, actions, settings, now);
    }
  }
  raiseShares(predicted, tasks, actions, settings, now);
  return [...actions.values()];
}

function cutShares(
  predicted: Forecast,
  memory: PolicyMemory,
  service: ServiceForecast,
  tasks: readonly PlannedTask[],
  actions: Map<PlannedTask, ThrottleAction>,
  settings: PolicySettings,
  now: Instant,
): void {
  const workers = new Set(service.backends.map(backend => backend.worker.name));
  const candidates = tasks.filter(
    task => workers.has(task.worker.name) && canCut(memory, task, now),
  );
  const cuts = new Map<PlannedTask, Cut | undefined>();
  const minGain = MIN_GAIN * (1 - service.view.target) * service.totalRate;
  for (let i = 0; i < MAX_CUTS_PER_ROUND; i++) {
    if (predictedBurn(service) <= settings.targetBurn) {
      return;
    }
    const best = bestCut(predicted, service, candidates, cuts, minGain);
    if (best === undefined) {
      return;
    }
    applyShare(predicted, best.task, best.share, CUT_DEVIATIONS);
    actions.set(best.task, throttle(best.task, 'objective_at_risk'));
    const { history, worker } = best.task;
    recordChange(history, now);
    history.throttledSince ??= now;
    memory.lastCutAt.set(worker.name, now);
    for (const task of candidates) {
      if (task.worker === worker) {
        cuts.delete(task);
      }
    }
  }
}

function canCut(
  memory: PolicyMemory,
  task: PlannedTask,
  now: Instant,
): boolean {
  const lastCutAt = memory.lastCutAt.get(task.worker.name) ?? -Infinity;
  const isNew = task.view.startedAt > lastCutAt;
  return (
    (isNew || now - lastCutAt >= SETTLE_MS) && canDecrease(task.history, now)
  );
}

/** A candidate cut and its gain; cached until a task on its worker is cut. */
interface Cut {
  readonly task: PlannedTask;
  readonly share: number;
  readonly gain: number;
  readonly ratio: number;
}

function bestCut(
  predicted: Forecast,
  service: ServiceForecast,
  tasks: readonly PlannedTask[],
  cuts: Map<PlannedTask, Cut | undefined>,
  minGain: number,
): Cut | undefined {
  let best: Cut | undefined;
  for (const task of tasks) {
    if (!cuts.has(task)) {
      cuts.set(task, nextCut(predicted, service, task));
    }
    const cut = cuts.get(task);
    if (cut === undefined || cut.gain < minGain) {
      continue;
    }
    if (cut.ratio > (best?.ratio ?? 0)) {
      best = cut;
    }
  }
  return best;
}

function nextCut(
  predicted: Forecast,
  service: ServiceForecast,
  task: PlannedTask,
): Cut | undefined {
  const share = THROTTLE_LEVELS.find(level => level < task.share);
  if (share === undefined) {
    return undefined;
  }
  const gain = gainOf(predicted, service, task, share);
  const cost = task.view.cores * (task.share - share);
  return cost > 0 ? { task, share, gain, ratio: gain / cost } : undefined;
}

function gainOf(
  predicted: Forecast,
  service: ServiceForecast,
  task: PlannedTask,
  share: number,
): number {
  const change = useChange(task, share);
  let gain = 0;
  for (const backend of predicted.byWorker.get(task.worker.name) ?? []) {
    if (backend.service === service) {
      const { batchClass } = task.view;
      const level = levelChange(
        predicted,
        backend,
        batchClass,
        change,
        CUT_DEVIATIONS,
      );
      gain -= badRateChange(backend, level);
    }
  }
  return gain;
}

function useChange(task: PlannedTask, share: number): number {
  return (task.view.cores * (share - task.share)) / task.worker.cores;
}

function applyShare(
  predicted: Forecast,
  task: PlannedTask,
  share: number,
  deviations: number,
): void {
  const change = useChange(task, share);
  const { batchClass } = task.view;
  for (const backend of predicted.byWorker.get(task.worker.name) ?? []) {
    applyLevel(
      backend,
      levelChange(predicted, backend, batchClass, change, deviations),
    );
  }
  task.share = share;
}

function throttle(
  task: PlannedTask,
  reason: 'objective_at_risk' | 'objective_safe',
): ThrottleAction {
  const { view, worker, share } = task;
  const { task: id, attempt } = view;
  return {
    kind: 'throttle',
    task: id,
    attempt,
    worker: worker.name,
    share,
    reason,
  };
}

function raiseShares(
  predicted: Forecast,
  tasks: readonly PlannedTask[],
  actions: Map<PlannedTask, ThrottleAction>,
  settings: PolicySettings,
  now: Instant,
): void {
  const throttled = tasks.filter(task => task.share < 1);
  const ready = throttled.filter(
    task => !actions.has(task) && canIncrease(task.history, now),
  );
  const costs = new Map(
    ready.map(task => [task, budgetCostPerCore(predicted, task)]),
  );
  ready.sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
  let remaining = Math.max(
    MIN_RAISES,
    Math.floor(RAISED_FRACTION * throttled.length),
  );
  for (const task of ready) {
    const share = THROTTLE_LEVELS.find(
      level => level > task.share && isSafe(predicted, task, level, settings),
    );
    if (share === undefined) {
      continue;
    }
    applyShare(predicted, task, share, settings.safetyDeviations);
    actions.set(task, throttle(task, 'objective_safe'));
    recordChange(task.history, now);
    remaining -= 1;
    if (remaining === 0) {
      return;
    }
  }
}

/** Returns the burn per regained core if a task were no longer throttled. */
function budgetCostPerCore(predicted: Forecast, task: PlannedTask): number {
  const change = useChange(task, 1);
  let cost = 0;
  for (const backend of predicted.byWorker.get(task.worker.name) ?? []) {
    const { batchClass } = task.view;
    const level = levelChange(predicted, backend, batchClass, change, 0);
    const bad = badRateChange(backend, level);
    cost +=
      predictedBurn(backend.service, bad) - predictedBurn(backend.service);
  }
  return cost / (task.view.cores * (1 - task.share));
}

function isSafe(
  predicted: Forecast,
  task: PlannedTask,
  share: number,
  settings: PolicySettings,
): boolean {
  const change = useChange(task, share);
  const { batchClass } = task.view;
  const backends = predicted.byWorker.get(task.worker.name) ?? [];
  return backends.every(backend => {
    const level = levelChange(
      predicted,
      backend,
      batchClass,
      change,
      settings.safetyDeviations,
    );
    const bad = badRateChange(backend, level);
    return (
      bad === 0 || predictedBurn(backend.service, bad) <= settings.targetBurn
    );
  });
}
