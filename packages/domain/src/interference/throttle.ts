/** Throttling of batch tasks, and their release. */
import type { Instant } from '../core/time.js';
import {
  applyLevel,
  badRateChange,
  levelChange,
  spending,
  type Forecast,
  type ServiceForecast,
} from './forecast.js';
import {
  mayLower,
  mayRaise,
  noteChange,
  taskMemory,
  type PolicyMemory,
  type TaskMemory,
} from './memory.js';
import { THROTTLE_LEVELS, type PolicySettings } from './settings.js';
import type {
  BatchTaskView,
  InterferenceView,
  ThrottleAction,
  WorkerView,
} from './view.js';

/** Time for the effect of a cut to show on its worker. */
const SETTLE_MS = 4_000;

/** Deviations by which a class is suspected when the objective is at risk. */
const SUSPICION = 0.5;

/** Least gain of a cut, as a share of the error budget. */
const LEAST_GAIN = 0.003;

const MAX_CUTS_PER_ROUND = 64;

/** Tasks raised in one round: at least some, else a share of the tasks throttled. */
const LEAST_RAISES = 1;
const RAISED_SHARE = 0.05;

/** A running batch task as the policy plans for it. */
export interface PlannedTask {
  readonly view: BatchTaskView;
  readonly worker: WorkerView;
  readonly known: TaskMemory;
  share: number;
}

/** Lists the tasks of a view that the policy can remember. */
export function plannedTasks(
  view: InterferenceView,
  memory: PolicyMemory,
  now: Instant,
): PlannedTask[] {
  const tasks: PlannedTask[] = [];
  for (const worker of view.workers) {
    for (const task of worker.tasks) {
      const known = taskMemory(memory, task.task, task.share, now);
      if (known === undefined) {
        continue;
      }
      if (task.share < 1) {
        known.throttledSince ??= now;
      } else {
        known.throttledSince = undefined;
      }
      tasks.push({ view: task, worker, known, share: task.share });
    }
  }
  return tasks;
}

/** Advises throttling where objectives are at risk, and releases where they are safe. */
export function adviseThrottling(
  predicted: Forecast,
  memory: PolicyMemory,
  tasks: readonly PlannedTask[],
  settings: PolicySettings,
  now: Instant,
): ThrottleAction[] {
  const touched = new Map<PlannedTask, ThrottleAction>();
  for (const service of predicted.services.values()) {
    if (spending(service) > settings.actAbove) {
      cutFor(predicted, memory, service, tasks, touched, settings, now);
    }
  }
  raiseSafe(predicted, tasks, touched, settings, now);
  return [...touched.values()];
}

function cutFor(
  predicted: Forecast,
  memory: PolicyMemory,
  service: ServiceForecast,
  tasks: readonly PlannedTask[],
  touched: Map<PlannedTask, ThrottleAction>,
  settings: PolicySettings,
  now: Instant,
): void {
  const workers = new Set(service.nodes.map(node => node.worker.name));
  const beside = tasks.filter(
    task => workers.has(task.worker.name) && mayCut(memory, task, now),
  );
  const cuts = new Map<PlannedTask, Cut | undefined>();
  const least = LEAST_GAIN * (1 - service.view.target) * service.totalRate;
  for (let i = 0; i < MAX_CUTS_PER_ROUND; i++) {
    if (spending(service) <= settings.aimFor) {
      return;
    }
    const best = bestCut(predicted, service, beside, cuts, least);
    if (best === undefined) {
      return;
    }
    applyShare(predicted, best.task, best.share, SUSPICION);
    touched.set(best.task, throttle(best.task, 'objective_at_risk'));
    const { known, worker } = best.task;
    noteChange(known, now);
    known.throttledSince ??= now;
    memory.settledAt.set(worker.name, now);
    for (const task of beside) {
      if (task.worker === worker) {
        cuts.delete(task);
      }
    }
  }
}

function mayCut(
  memory: PolicyMemory,
  task: PlannedTask,
  now: Instant,
): boolean {
  const settledAt = memory.settledAt.get(task.worker.name) ?? -Infinity;
  const isNew = task.view.startedAt > settledAt;
  return (isNew || now - settledAt >= SETTLE_MS) && mayLower(task.known, now);
}

/** A further cut of a task and what it would gain; kept until something changes on its worker. */
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
  least: number,
): Cut | undefined {
  let best: Cut | undefined;
  for (const task of tasks) {
    if (!cuts.has(task)) {
      cuts.set(task, nextCut(predicted, service, task));
    }
    const cut = cuts.get(task);
    if (cut === undefined || cut.gain < least) {
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
  const change = usedChange(task, share);
  let gain = 0;
  for (const node of predicted.byWorker.get(task.worker.name) ?? []) {
    if (node.service === service) {
      const { batchClass } = task.view;
      const level = levelChange(predicted, node, batchClass, change, SUSPICION);
      gain -= badRateChange(node, level);
    }
  }
  return gain;
}

function usedChange(task: PlannedTask, share: number): number {
  return (task.view.cores * (share - task.share)) / task.worker.cores;
}

function applyShare(
  predicted: Forecast,
  task: PlannedTask,
  share: number,
  deviations: number,
): void {
  const change = usedChange(task, share);
  const { batchClass } = task.view;
  for (const node of predicted.byWorker.get(task.worker.name) ?? []) {
    applyLevel(
      node,
      levelChange(predicted, node, batchClass, change, deviations),
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

function raiseSafe(
  predicted: Forecast,
  tasks: readonly PlannedTask[],
  touched: Map<PlannedTask, ThrottleAction>,
  settings: PolicySettings,
  now: Instant,
): void {
  const throttled = tasks.filter(task => task.share < 1);
  const ready = throttled.filter(
    task => !touched.has(task) && mayRaise(task.known, now),
  );
  const harms = new Map(ready.map(task => [task, harmOf(predicted, task)]));
  ready.sort((a, b) => (harms.get(a) ?? 0) - (harms.get(b) ?? 0));
  let left = Math.max(
    LEAST_RAISES,
    Math.floor(RAISED_SHARE * throttled.length),
  );
  for (const task of ready) {
    const share = THROTTLE_LEVELS.find(
      level => level > task.share && isSafe(predicted, task, level, settings),
    );
    if (share === undefined) {
      continue;
    }
    applyShare(predicted, task, share, settings.caution);
    touched.set(task, throttle(task, 'objective_safe'));
    noteChange(task.known, now);
    left -= 1;
    if (left === 0) {
      return;
    }
  }
}

/** Error budget that a task would spend by core when no longer throttled. */
function harmOf(predicted: Forecast, task: PlannedTask): number {
  const change = usedChange(task, 1);
  let harm = 0;
  for (const node of predicted.byWorker.get(task.worker.name) ?? []) {
    const { batchClass } = task.view;
    const level = levelChange(predicted, node, batchClass, change, 0);
    const bad = badRateChange(node, level);
    harm += spending(node.service, bad) - spending(node.service);
  }
  return harm / (task.view.cores * (1 - task.share));
}

function isSafe(
  predicted: Forecast,
  task: PlannedTask,
  share: number,
  settings: PolicySettings,
): boolean {
  const change = usedChange(task, share);
  const { batchClass } = task.view;
  const nodes = predicted.byWorker.get(task.worker.name) ?? [];
  return nodes.every(node => {
    const level = levelChange(
      predicted,
      node,
      batchClass,
      change,
      settings.caution,
    );
    const bad = badRateChange(node, level);
    return bad === 0 || spending(node.service, bad) <= settings.aimFor;
  });
}
