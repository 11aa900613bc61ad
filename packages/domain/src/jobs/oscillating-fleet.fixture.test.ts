/** Workers whose serving tasks oscillate with a shared period, and a model that has learned from their reports. */
import type { Instant, Millis } from '../core/time.js';
import type { LearnedEstimates } from './learned-estimates.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import type { PlanInput } from './plan.js';
import type { StepSpec } from './spec.js';
import {
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';
import { Interference } from './interference.js';

/** Costs of a move on the fleet. */
export const MOVE_COSTS = { stopMs: 200, restoreMs: 100 };

/** Period of the loads. */
export const PERIOD_MS: Millis = 10_000;
/** Time between the reports of a worker. */
const REPORT_MS: Millis = 250;
const MEAN = 0.5;
const SWING = 0.5;
const TARGET_MS = 50;
const FLOOR_MS = 10;

/** A filler that uses half of a worker, whose pressure is that of an unknown pair. */
export const FILLER: Partial<StepSpec> = {
  filler: true,
  image: 'f',
  estimateMs: 4_000,
  size: { cpuMilli: 2_000, memoryMiB: 10, accelerators: 0 },
};

/** By worker, the part of a period since its load last rose through its mean, at time 0. */
export type Phases = Readonly<Record<string, number>>;

/** Options of a fleet. */
export interface FleetOptions {
  /** Partial steps by job id; the fillers of the fleet. */
  readonly fillers?: Readonly<Record<string, Partial<StepSpec>>>;
  /** Workers without serving tasks. */
  readonly free?: readonly string[];
  /** How long the model learns. */
  readonly learnMs?: Millis;
  readonly earlier?: LearnedEstimates;
  readonly hasMoveCosts?: boolean;
}

/** Returns the load of a worker at a time, where the last report is at 0. */
export function loadAt(phase: number, time: Instant): number {
  return (
    MEAN * (1 + SWING * Math.sin(2 * Math.PI * (phase + time / PERIOD_MS)))
  );
}

/** Returns the input of a round on a fleet whose workers have reported for a while, the last time at 0. */
export function oscillatingFleet(
  phases: Phases,
  {
    fillers = { f: FILLER },
    free = [],
    learnMs = 25_000,
    earlier,
    hasMoveCosts = true,
  }: FleetOptions = {},
): PlanInput {
  const serving = { lasting: true, tailTargetMs: TARGET_MS, image: 's' };
  const state = stateOf(
    ...Object.keys(phases).map(worker => testJob(`s-${worker}`, [serving])),
    ...Object.entries(fillers).map(([id, step]) => testJob(id, [step])),
  );
  const names = [...Object.keys(phases), ...free];
  const interference = new Interference(
    earlier && { estimates: earlier, readAt: -learnMs },
  );
  interference.useForecast(hasMoveCosts);
  const input = planInput(
    state,
    names.map(name => testWorker(name)),
  );
  for (const worker of Object.keys(phases)) {
    startOn(state, taskOf(state, `s-${worker}`, 0, 0), worker);
  }
  for (let now = -learnMs; now <= 0; now += REPORT_MS) {
    reportAll(state, interference, phases, now);
  }
  return {
    ...input,
    interference,
    moveCosts: hasMoveCosts ? MOVE_COSTS : undefined,
  };
}

/** Feeds the model one report of each worker. */
function reportAll(
  state: JobsState,
  interference: Interference,
  phases: Phases,
  now: Instant,
): void {
  for (const [worker, phase] of Object.entries(phases)) {
    const load = workerRuns(state, worker);
    for (const { progress } of load.runs.values()) {
      if (progress !== undefined) {
        progress.reading = FLOOR_MS / (1 - loadAt(phase, now));
      }
    }
    interference.learnFromReport(load, 4_000, now);
  }
}
