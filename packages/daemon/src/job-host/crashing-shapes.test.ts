/*
 * Pattern: a task that brings down each worker that starts it, in all shapes. Seen and told of in
 * crashing-tasks.test.ts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  SEEDS,
  WATCHED_MS,
  MAX_CRASHES,
  REVIVAL_MS,
  LONG_REVIVAL_MS,
  SHORT_TASKS_JOB,
  CRASHING_JOB,
  crashingJob,
  freezeLeaders,
  killLeaders,
  NEIGHBOUR_JOB,
  NEIGHBOUR_TASKS,
  deploymentWithNeighbours,
  type Crasher,
} from './crashing-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

/** Time from a crash until a worker that starts again at once is back. */
const SHORT_REVIVAL_MS = 30;

interface Shape {
  readonly name: string;
  readonly crasher: Crasher;
  readonly revivalMs?: number;
  /** Tasks of the job that bring workers down. */
  readonly crashers?: number;
  readonly beside?: (site: Simulation) => void;
}

const SHAPES: readonly Shape[] = [
  { name: 'plain', crasher: crashingJob(10) },
  {
    name: 'workers are away for long',
    crasher: crashingJob(10),
    revivalMs: LONG_REVIVAL_MS,
  },
  {
    name: 'leaders are killed',
    crasher: crashingJob(10),
    beside: site => void killLeaders(site, 5_000),
  },
  {
    name: 'leaders freeze',
    crasher: crashingJob(10),
    beside: site => void freezeLeaders(site, 10_000, 3_000),
  },
  {
    name: 'six in one step',
    crasher: crashingJob(10, { tasks: 6 }),
    crashers: 6,
  },
  { name: 'before the start is answered', crasher: crashingJob(0) },
  { name: 'long after the start', crasher: crashingJob(4_000) },
  { name: 'lasting', crasher: crashingJob(900, { lasting: true }) },
  { name: 'copies', crasher: crashingJob(10, { speculative: true }) },
  {
    name: 'gang',
    crasher: {
      steps: [{ tasks: 3, after: [], gang: true }],
      script: {
        runMs: 6_000,
        failures: 0,
        gang: 3,
        crash: { afterMs: 10, index: 1 },
      },
    },
  },
  {
    name: 'in a crowd',
    crasher: crashingJob(10),
    beside: site => {
      const steps = [{ tasks: 80, after: [] }];
      void site.submit(SHORT_TASKS_JOB, steps, { runMs: 2_000, failures: 0 });
    },
  },
];

async function playShape(
  shape: Shape,
  seed: number,
  keepsIds = false,
): Promise<string[]> {
  const site = await deploymentWithNeighbours(
    seed,
    shape.revivalMs ?? REVIVAL_MS,
    keepsIds,
  );
  shape.beside?.(site);
  const { steps, script } = shape.crasher;
  void site.submit(CRASHING_JOB, steps, script);
  await site.time.advance(WATCHED_MS);
  const { history } = site;
  const found = history
    .check()
    .map(
      ({ guarantee: promise, detail }) => `${promise} ${detail.slice(0, 120)}`,
    );
  const crashes = history.workersCrashedBy(CRASHING_JOB);
  if (crashes > MAX_CRASHES * (shape.crashers ?? 1)) {
    found.push(`${crashes} workers lost`);
  }
  // In the end it is over, and later forgotten.
  const told = history
    .reportedStates(CRASHING_JOB)
    .filter(at => at !== 'no_such_job');
  if (told.at(-1) !== 'failed') {
    found.push(`shown as ${told.join(', ')}`);
  }
  if (history.runningOf(NEIGHBOUR_JOB) !== NEIGHBOUR_TASKS) {
    found.push(`${history.runningOf(NEIGHBOUR_JOB)} lasting tasks run`);
  }
  if (history.jobs.has(SHORT_TASKS_JOB) && !history.isDone(SHORT_TASKS_JOB)) {
    found.push('the crowd is not done');
  }
  return found.map(line => `${shape.name}, seed ${seed}: ${line}`);
}

test('a task that crashes its workers is given up', async () => {
  const broken: string[] = [];
  for (const shape of SHAPES) {
    for (const seed of SEEDS) {
      broken.push(...(await playShape(shape, seed)));
    }
  }
  assert.deepEqual(broken, []);
});

// Losses count by the start of a worker: one that has its id again is lost once more.
test('a task that crashes its workers is given up where these start again under their ids', async () => {
  const broken: string[] = [];
  for (const shape of SHAPES) {
    broken.push(...(await playShape(shape, 4, true)));
    for (const seed of SEEDS) {
      const atOnce = { ...shape, revivalMs: SHORT_REVIVAL_MS };
      broken.push(...(await playShape(atOnce, seed, true)));
    }
  }
  assert.deepEqual(broken, []);
});
