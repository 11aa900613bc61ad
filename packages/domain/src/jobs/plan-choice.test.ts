import assert from 'node:assert/strict';
import { test } from 'node:test';

import { seededRandom } from '../core/random.js';
import type { Random } from '../core/time.js';
import { isFinished } from './job.js';
import { workerRuns, type JobsState, type WorkerRuns } from './jobs-state.js';
import { orderedCandidates } from './order.js';
import { findWorker, planStarts, type PlanInput } from './plan.js';
import type { StepSpec } from './spec.js';
import {
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const SERVING = { lasting: true, tailTargetMs: 50, image: 's' };
const FILLER = { filler: true, image: 'f' };
const LARGE = { cpuMilli: 1_200, memoryMiB: 1_000, accelerators: 0 };
/** Tail latencies in milliseconds by worker: one that leaves little to fillers, and a low one. */
const TAILS_MS = [
  ['near', 30],
  ['far', 10],
] as const;
/** Number of reports before a filler starts, and after it. */
const REPORT_COUNT = 6;
/** Tail latency that shows that a filler disturbs, and leaves headroom for a harmless one. */
const DISTURBED_TAIL_MS = 24;
const SEEDS = 40;
const WORKERS = 12;

function randomInt(random: Random, below: number): number {
  return Math.floor(random() * below);
}

function randomStep(random: Random): Partial<StepSpec> {
  const size = {
    cpuMilli: 200 * (1 + randomInt(random, 8)),
    memoryMiB: 300 * (1 + randomInt(random, 8)),
    accelerators: 0,
  };
  const tasks = 1 + randomInt(random, 4);
  switch (randomInt(random, 3)) {
    case 0:
      return { tasks, size, filler: true, image: `f${randomInt(random, 3)}` };
    case 1: {
      const image = `s${randomInt(random, 3)}`;
      return { tasks, size, lasting: true, tailTargetMs: 50, image };
    }
    default:
      return { tasks, size, maxPerWorker: 1 + randomInt(random, 3) };
  }
}

/** Sets readings as if fillers of the first image disturbed serving tasks and others did not. */
function setReadings({ runs }: WorkerRuns, random: Random): void {
  const all = [...runs.values()];
  const disturbed = all.some(({ task }) => task.step.spec.image === 'f0');
  for (const { task, progress } of all) {
    if (progress !== undefined) {
      const { tailTargetMs, size } = task.step.spec;
      const tail = (disturbed ? 35 : 10) * (1 + random());
      progress.reading = tailTargetMs === undefined ? size.cpuMilli : tail;
    }
  }
}

/** Creates jobs of all kinds, some of them running, and reports from which pressures are learned. */
function createBusyRound(random: Random): PlanInput {
  const jobs = Array.from({ length: 40 }, (_, at) =>
    testJob(`j${at}`, [randomStep(random)]),
  );
  const state = stateOf(...jobs);
  const workers = Array.from({ length: WORKERS }, (_, at) =>
    testWorker(`w${at}`, `r${at % 3}`),
  );
  const input = planInput(state, workers);
  for (let at = 0; at < 20; at += 1) {
    startOn(
      state,
      taskOf(state, `j${at}`, 0, 0),
      `w${randomInt(random, WORKERS)}`,
    );
  }
  for (let report = 1; report <= 4; report += 1) {
    for (const { info } of workers) {
      const load = workerRuns(state, info.id);
      setReadings(load, random);
      input.interference.learnFromReport(
        load,
        info.capacity.cpuMilli,
        500 * report,
      );
    }
  }
  return input;
}

function waitingThatFit(state: JobsState, input: PlanInput): string[] {
  return orderedCandidates(state.openJobs, input.times, input.time)
    .filter(({ step }) => !isFinished(step.occurrence.job))
    .flatMap(({ step }) => step.tasks.filter(task => task.status === 'waiting'))
    .filter(task => findWorker(input, task) !== undefined)
    .map(task => `${task.step.occurrence.job.spec.id}.${task.index}`);
}

test('a round leaves no task waiting that fits on a worker', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const input = createBusyRound(seededRandom(seed));
    planStarts(input, decision => {
      applyDecision(input.state, decision);
    });
    assert.deepEqual(waitingThatFit(input.state, input), [], `seed ${seed}`);
  }
});

test('each start goes to the worker that a separate search would choose', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const input = createBusyRound(seededRandom(seed));
    planStarts(input, decision => {
      const separate = findWorker(input, decision.task);
      assert.equal(decision.worker, separate?.info.id, `seed ${seed}`);
      applyDecision(input.state, decision);
    });
  }
});

test('the chosen worker is preferred to each other one that fits', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const input = createBusyRound(seededRandom(seed));
    for (const { step } of orderedCandidates(
      input.state.openJobs,
      input.times,
      input.time,
    )) {
      const [task] = step.tasks.filter(({ status }) => status === 'waiting');
      if (task !== undefined) {
        const best = findWorker(input, task);
        const fitting = input.workers.filter(
          worker =>
            findWorker({ ...input, workers: [worker] }, task) !== undefined,
        );
        assert.equal(best === undefined, fitting.length === 0, `seed ${seed}`);
        const isPreferred = fitting.every(
          worker =>
            worker === best ||
            findWorker(
              { ...input, workers: twoWorkers(input, best, worker) },
              task,
            ) === best,
        );
        assert.ok(isPreferred, `seed ${seed}`);
      }
    }
  }
});

function twoWorkers(
  { workers }: PlanInput,
  a: PlanInput['workers'][number] | undefined,
  b: PlanInput['workers'][number],
): PlanInput['workers'] {
  return workers.filter(worker => worker === a || worker === b);
}

test('a worker where a filler is faster is preferred to one with more free capacity', () => {
  const input = planInput(
    stateOf(
      testJob('quiet', [SERVING]),
      testJob('loaded', [{ ...SERVING, size: LARGE }]),
      testJob('f', [FILLER]),
    ),
    [testWorker('near'), testWorker('far')],
  );
  const { state, interference } = input;
  startOn(state, taskOf(state, 'quiet', 0, 0), 'near');
  startOn(state, taskOf(state, 'loaded', 0, 0), 'far');
  for (const [worker, tail] of TAILS_MS) {
    const load = workerRuns(state, worker);
    for (const { progress } of load.runs.values()) {
      assert.ok(progress !== undefined);
      progress.reading = tail;
    }
    interference.learnFromReport(load, 4_000, 0);
  }
  const task = taskOf(state, 'f', 0, 0);
  assert.equal(findWorker(input, task)?.info.id, 'far');
});

test('a filler that fits nowhere does not keep one of another image from starting', () => {
  const input = planInput(
    stateOf(
      testJob('serves', [SERVING]),
      testJob('presses', [{ ...FILLER, tasks: 2 }]),
      testJob('mild', [{ ...FILLER, image: 'mild' }]),
    ),
    [testWorker('only')],
  );
  const { state, interference } = input;
  startOn(state, taskOf(state, 'serves', 0, 0), 'only');
  const load = workerRuns(state, 'only');
  for (let report = 1; report <= 2 * REPORT_COUNT; report += 1) {
    if (report === REPORT_COUNT) {
      startOn(state, taskOf(state, 'presses', 0, 0), 'only');
    }
    for (const { task, progress } of load.runs.values()) {
      assert.ok(progress !== undefined);
      const tail = report < REPORT_COUNT ? 12 : DISTURBED_TAIL_MS;
      progress.reading = task.step.spec.filler ? 1_000 : tail;
    }
    interference.learnFromReport(load, 4_000, 500 * report);
  }
  const started: string[] = [];
  planStarts(input, decision => {
    started.push(decision.task.step.occurrence.job.spec.id);
    applyDecision(state, decision);
  });
  assert.deepEqual(started, ['mild']);
});
