/*
 * A task that crashes its workers where entries of crashed workers expire later than their leases, as with a
 * heartbeat interval of more than a third of the lease. Such a worker does not answer and is still registered
 * when its runs are abandoned, as one that is only out of reach.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  CRASHING_JOB,
  crashingJob,
  deploymentWithNeighbours,
  MAX_CRASHES,
  OBSERVATION_MS,
  SEEDS,
} from './crashing-deployment.fixture.test.js';

/** Three heartbeat intervals of 2 s. */
const ENTRY_LIFETIME_MS = 6_000;
const WORKER_RESTART_MS = 9_000;

test('a task that crashes its workers is abandoned although their entries expire late', async () => {
  const broken: string[] = [];
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, WORKER_RESTART_MS);
    const { fleet, history } = site;
    const crash = fleet.crash.bind(fleet);
    fleet.crash = machine => {
      fleet.freezeEntry(machine, ENTRY_LIFETIME_MS);
      crash(machine);
    };
    const { steps, script } = crashingJob(10);
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.advance(OBSERVATION_MS);
    const crashes = history.workersCrashedBy(CRASHING_JOB);
    if (crashes > MAX_CRASHES) {
      broken.push(`seed ${seed}: ${crashes} workers lost`);
    }
  }
  assert.deepEqual(broken, []);
});
