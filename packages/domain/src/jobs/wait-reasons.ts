/**
 * Why tasks wait. They are placed tentatively in scheduling order, each within what the earlier ones leave, so
 * that one free place is not counted for all tasks that would fit there.
 */
import { WorkerChooser } from './choose-worker.js';
import { placeGang } from './gang.js';
import { waitingTasks, type Step, type Task } from './job.js';
import {
  obstacleAt,
  OBSTACLES,
  type Obstacle,
  type PlacementInput,
  type PlanWorker,
} from './placement.js';
import {
  placementInputOf,
  reserveForLargeTasks,
  type PlanInput,
} from './plan.js';
import { SizeClassShares } from './size-class-shares.js';
import { TrialLoads } from './trial-loads.js';

/**
 * Why a task waits.
 * - `kept`: it would fit on a worker that is kept for larger tasks.
 * - Any other obstacle: what it lacks on the worker that passed the most checks of `OBSTACLES`.
 * - `evacuated`: it would have a place if no zone were evacuated.
 * - `disturbance`: wherever it fits it would be slowed or would disturb a serving task.
 * - `turn`: there is capacity for it beside all tasks that go before it, and the next round may start it.
 * - `log_unavailable`: there is such capacity, but nothing may start because the log does not answer.
 * - `no_worker`: no worker is usable.
 * - `unexamined`: more tasks wait than one snapshot places.
 */
export type WaitReason =
  | Obstacle
  | 'evacuated'
  | 'disturbance'
  | 'turn'
  | 'log_unavailable'
  | 'no_worker'
  | 'unexamined';

/** Number of tasks by the reason why they wait. */
export type WaitingByReason = Readonly<Partial<Record<WaitReason, number>>>;

/** Input for explaining why tasks wait. */
export interface WaitInput {
  readonly plan: PlanInput;
  /** Workers that could be assigned tasks if their zones were not evacuated. */
  readonly evacuated: readonly PlanWorker[];
  /** Whether nothing may start now because the log does not answer. */
  readonly isLogUnavailable: boolean;
}

/** Most workers ranked for one explanation, which bounds its cost for large fleets and many waiting steps. */
const MAX_RANKED_WORKERS = 8_000;

/** Returns the number of waiting tasks of each step by reason; `ordered` are the steps in scheduling order. */
export function explainWaits(
  input: WaitInput,
  ordered: readonly Step[],
): Map<Step, WaitingByReason> {
  const placement = placementInputOf(input.plan);
  reserveForLargeTasks(placement, input.plan.state, ordered);
  const trial = new WaitTrial(input, placement);
  return new Map(ordered.map(step => [step, trial.explain(step)]));
}

/** A step without a place; later steps of its kind that ask for as much or more have none either. */
interface FullStep {
  readonly step: Step;
  readonly reason: WaitReason;
}

class WaitTrial {
  private readonly loads: TrialLoads;
  private readonly fullByKind = new Map<string, FullStep[]>();
  private rankedWorkers = 0;

  constructor(
    private readonly input: WaitInput,
    placement: PlacementInput,
  ) {
    this.loads = new TrialLoads(placement);
  }

  explain(step: Step): WaitingByReason {
    const tasks = waitingTasks(step);
    const knownReason = this.knownReasonOf(step);
    if (knownReason !== undefined) {
      return { [knownReason]: tasks.length };
    }
    if (this.rankedWorkers >= MAX_RANKED_WORKERS) {
      return { unexamined: tasks.length };
    }
    const { isLogUnavailable, evacuated } = this.input;
    const { placement } = this.loads;
    const counts: Partial<Record<WaitReason, number>> = {};
    const placed = this.place(step, tasks, placement);
    addCount(counts, isLogUnavailable ? 'log_unavailable' : 'turn', placed);
    const others = tasks.slice(placed);
    const placedInEvacuated = this.place(step, others, {
      ...placement,
      workers: evacuated,
    });
    addCount(counts, 'evacuated', placedInEvacuated);
    const unplaced = others.slice(placedInEvacuated);
    const [task] = unplaced;
    if (task !== undefined) {
      addCount(counts, this.reasonWithoutPlace(task), unplaced.length);
    }
    return counts;
  }

  /** Places tasks of a step one after the other until one finds no place; returns how many were placed. */
  private place(
    step: Step,
    tasks: readonly Task[],
    placement: PlacementInput,
  ): number {
    if (tasks.length === 0 || placement.workers.length === 0) {
      return 0;
    }
    this.rankedWorkers += placement.workers.length;
    return step.spec.gang
      ? this.placeGang(step, tasks, placement)
      : this.placeTasks(tasks, placement);
  }

  private placeTasks(
    tasks: readonly Task[],
    placement: PlacementInput,
  ): number {
    const chooser = new WorkerChooser(placement);
    let placed = 0;
    for (const task of tasks) {
      const worker = chooser.choose(task)?.info.id;
      if (worker === undefined) {
        return placed;
      }
      this.loads.add(task, worker);
      chooser.noteStart(worker);
      placed += 1;
    }
    return placed;
  }

  private placeGang(
    step: Step,
    tasks: readonly Task[],
    placement: PlacementInput,
  ): number {
    const workers = placeGang(placement, step);
    if (workers === undefined) {
      return 0;
    }
    tasks.forEach((task, at) => {
      this.loads.add(task, workers[at] ?? '');
    });
    return tasks.length;
  }

  /** Returns the reason of an earlier step of the same kind that found no place for as little or less. */
  private knownReasonOf(step: Step): WaitReason | undefined {
    const { size } = step.spec;
    const full = this.fullByKind.get(kindOf(step)) ?? [];
    return full.find(
      ({ step: { spec: other } }) =>
        other.size.cpuMilli <= size.cpuMilli &&
        other.size.memoryMiB <= size.memoryMiB &&
        other.size.accelerators <= size.accelerators,
    )?.reason;
  }

  /** Returns why a task finds no place, and remembers it for later steps of its kind. */
  private reasonWithoutPlace(task: Task): WaitReason {
    const { step } = task;
    const reason = obstacleReasonOf(this.loads.placement, task);
    const holdsForLarger =
      reason !== 'kept' &&
      step.spec.maxPerWorker === undefined &&
      !step.spec.gang;
    if (holdsForLarger) {
      const kind = kindOf(step);
      const full = this.fullByKind.get(kind) ?? [];
      this.fullByKind.set(kind, [...full, { step, reason }]);
    }
    return reason;
  }
}

/** Returns what a task lacks that finds no place, where it comes nearest to one. */
function obstacleReasonOf(placement: PlacementInput, task: Task): WaitReason {
  const unreserved = { ...placement, shares: new SizeClassShares() };
  let furthest = -1;
  for (const worker of placement.workers) {
    const obstacle = obstacleAt(placement, worker, task);
    if (obstacle === undefined) {
      return 'disturbance';
    }
    if (
      obstacle === 'kept' &&
      obstacleAt(unreserved, worker, task) === undefined
    ) {
      return 'kept';
    }
    furthest = Math.max(furthest, OBSTACLES.indexOf(obstacle));
  }
  return OBSTACLES[furthest] ?? 'no_worker';
}

function addCount(
  counts: Partial<Record<WaitReason, number>>,
  reason: WaitReason,
  tasks: number,
): void {
  if (tasks > 0) {
    counts[reason] = (counts[reason] ?? 0) + tasks;
  }
}

/** Returns a key that is equal for steps that fit on the same workers, apart from their sizes. */
function kindOf({ spec, occurrence }: Step): string {
  const { terms, id } = occurrence.job.spec;
  const { filler, label, image } = spec;
  const adviceKey = terms.advice === undefined ? '' : id;
  return [terms.service, terms.priority, adviceKey, filler, label, image].join(
    '/',
  );
}
