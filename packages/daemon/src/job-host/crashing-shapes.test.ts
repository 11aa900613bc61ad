/*
 * A task that crashes every worker that starts it, in many variations. The original failure is described in
 * crashing-tasks.test.ts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  SEEDS,
  OBSERVATION_MS,
  MAX_CRASHES,
  WORKER_RESTART_MS,
  LONG_WORKER_RESTART_MS,
  SHORT_TASKS_JOB,
  CRASHING_JOB,
  crashingJob,
  freezeLeaders,
  killLeaders,
  NEIGHBOUR_JOB,
  NEIGHBOUR_TASKS,
  deploymentWithNeighbours,
  type CrashingJob,
} from './crashing-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

/** Downtime of a worker that restarts immediately after a crash. */
const SHORT_DOWNTIME_MS = 30;

interface Variation {
  readonly name: string;
  readonly crasher: CrashingJob;
  readonly workerRestartMs?: number;
  /** Number of tasks of the job that crash their workers. */
  readonly crashingTasks?: number;
  readonly runBeside?: (site: Simulation) => void;
}

const VARIATIONS: readonly Variation[] = [
  { name: 'plain', crasher: crashingJob(10) },
  {
    name: 'workers stay down for long',
    crasher: crashingJob(10),
    workerRestartMs: LONG_WORKER_RESTART_MS,
  },
  {
    name: 'leaders are killed',
    crasher: crashingJob(10),
    runBeside: site => void killLeaders(site, 5_000),
  },
  {
    name: 'leaders freeze',
    crasher: crashingJob(10),
    runBeside: site => void freezeLeaders(site, 10_000, 3_000),
  },
  {
    name: 'six in one step',
    crasher: crashingJob(10, { tasks: 6 }),
    crashingTasks: 6,
  },
  { name: 'before the start is answered', crasher: crashingJob(0) },
  { name: 'long after the start', crasher: crashingJob(4_000) },
  { name: 'long-running', crasher: crashingJob(900, { lasting: true }) },
  {
    name: 'speculative copies',
    crasher: crashingJob(10, { speculative: true }),
  },
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
    name: 'among many short tasks',
    crasher: crashingJob(10),
    runBeside: site => {
      const steps = [{ tasks: 80, after: [] }];
      void site.submit(SHORT_TASKS_JOB, steps, { runMs: 2_000, failures: 0 });
    },
  },
];

async function runVariation(
  variation: Variation,
  seed: number,
  keepsIds = false,
): Promise<string[]> {
  const site = await deploymentWithNeighbours(
    seed,
    variation.workerRestartMs ?? WORKER_RESTART_MS,
    keepsIds,
  );
  variation.runBeside?.(site);
  const { steps, script } = variation.crasher;
  void site.submit(CRASHING_JOB, steps, script);
  await site.time.advance(OBSERVATION_MS);
  const { history } = site;
  const found = history
    .check()
    .map(({ guarantee, detail }) => `${guarantee} ${detail.slice(0, 120)}`);
  const crashes = history.workersCrashedBy(CRASHING_JOB);
  if (crashes > MAX_CRASHES * (variation.crashingTasks ?? 1)) {
    found.push(`${crashes} workers lost`);
  }
  // The job is shown as failed in the end, and is removed later.
  const statuses = history
    .reportedStates(CRASHING_JOB)
    .filter(status => status !== 'no_such_job');
  if (statuses.at(-1) !== 'failed') {
    found.push(`shown as ${statuses.join(', ')}`);
  }
  if (history.countActiveRuns(NEIGHBOUR_JOB) !== NEIGHBOUR_TASKS) {
    found.push(
      `${history.countActiveRuns(NEIGHBOUR_JOB)} long-running tasks run`,
    );
  }
  if (history.jobs.has(SHORT_TASKS_JOB) && !history.isDone(SHORT_TASKS_JOB)) {
    found.push('the short tasks are not done');
  }
  return found.map(line => `${variation.name}, seed ${seed}: ${line}`);
}

test('a task that crashes its workers is abandoned', async () => {
  const broken: string[] = [];
  for (const variation of VARIATIONS) {
    for (const seed of SEEDS) {
      broken.push(...(await runVariation(variation, seed)));
    }
  }
  assert.deepEqual(broken, []);
});

// Losses are counted per incarnation: a worker that restarts under its id can be lost again.
test('a task that crashes its workers is abandoned if these restart under their ids', async () => {
  const broken: string[] = [];
  for (const variation of VARIATIONS) {
    broken.push(...(await runVariation(variation, 4, true)));
    for (const seed of SEEDS) {
      const restartsAtOnce = {
        ...variation,
        workerRestartMs: SHORT_DOWNTIME_MS,
      };
      broken.push(...(await runVariation(restartsAtOnce, seed, true)));
    }
  }
  assert.deepEqual(broken, []);
});
