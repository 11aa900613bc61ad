/** Simulated steps for tests of run times: what callers estimate, and how long the tasks really take. */
import { seededRandom } from '../index.js';
import type { Run, Step } from './job.js';
import type { RunTimeDistributions } from './run-time-distributions.js';
import type { AverageRunTimes } from './run-times.js';
import { startOn, stateOf, taskOf, testJob } from './test-support.js';

/** How run times vary; standard deviations are those of logarithms. */
export interface RunTimeLoad {
  readonly seed: number;
  readonly tasks: number;
  /** Between the steps of an image. */
  readonly stepSigma: number;
  readonly taskSigma: number;
  readonly estimateSigma: number;
  /** Share of the steps that take seven times as long, which callers don't foresee. */
  readonly tailShare: number;
}

/** Checks of the boat hire. */
export const BOAT_HIRE = {
  seed: 1,
  tasks: 10,
  stepSigma: 0.5,
  taskSigma: 0.15,
  estimateSigma: 0.2,
  tailShare: 0,
} as const satisfies RunTimeLoad;

/** Batch work of the transcription. */
export const TRANSCRIPTION = {
  seed: 1,
  tasks: 20,
  stepSigma: 0.5,
  taskSigma: 0.3,
  estimateSigma: 0.5,
  tailShare: 0.03,
} as const satisfies RunTimeLoad;

const TAIL_FACTOR = 7;
/** Mean run times of three images, as of checks and batch work of both deployments. */
const IMAGE_MEANS_MS = [640, 1_400, 2_200];

/** A step whose tasks all started at time 0, and the time that each will take. */
export interface SimulatedStep {
  readonly step: Step;
  readonly runs: readonly Run[];
  /** In the order of the runs: the shortest first. */
  readonly runTimes: readonly number[];
  readonly isTail: boolean;
}

/** Draws `count` steps. */
export function* drawSteps(
  load: RunTimeLoad,
  count: number,
): Iterable<SimulatedStep> {
  const random = seededRandom(load.seed);
  const factor = (sigma: number): number => {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    return Math.exp(sigma * radius * Math.cos(2 * Math.PI * random()));
  };
  for (let number = 0; number < count; number += 1) {
    const image = Math.floor(random() * IMAGE_MEANS_MS.length);
    const usualMs = (IMAGE_MEANS_MS[image] ?? 0) * factor(load.stepSigma);
    const isTail = random() < load.tailShare;
    const meanMs = usualMs * (isTail ? TAIL_FACTOR : 1);
    const runTimes = Array.from(
      { length: load.tasks },
      () => meanMs * factor(load.taskSigma),
    ).sort((a, b) => a - b);
    const estimateMs = usualMs * factor(load.estimateSigma);
    yield startStep(`i${image}`, estimateMs, runTimes, isTail);
  }
}

function startStep(
  image: string,
  estimateMs: number,
  runTimes: readonly number[],
  isTail: boolean,
): SimulatedStep {
  const tasks = runTimes.length;
  const state = stateOf(testJob('j', [{ tasks, estimateMs, image }]));
  const runs = runTimes.map((_, index) =>
    startOn(state, taskOf(state, 'j', 0, index), `w${index}`),
  );
  const { step } = taskOf(state, 'j', 0, 0);
  for (const { progress } of runs) {
    if (progress !== undefined) {
      progress.confirmed = true;
    }
  }
  return { step, runs, runTimes, isTail };
}

/** Models that learn from the same runs. */
export interface Models {
  readonly averages: AverageRunTimes;
  readonly distributions: RunTimeDistributions;
}

/** Completes the first `count` runs of a step that have not ended, and lets the models learn from them. */
export function completeRuns(
  { averages, distributions }: Models,
  { step, runs, runTimes }: SimulatedStep,
  count: number,
): void {
  runs.slice(0, count).forEach((run, at) => {
    const now = runTimes[at] ?? 0;
    if (run.task.status !== 'running') {
      return;
    }
    averages.recordRun(step, now);
    distributions.recordRun(step, now, { run, now });
    run.task.status = 'done';
    run.task.runs.length = 0;
    step.remaining -= 1;
  });
}
