/**
 * A simulated deployment with four long-running tasks on worker w1 and capacity for them on two
 * others.
 */
import assert from 'node:assert/strict';

import type { Millis } from '@paddlewind/domain';

import { Simulation } from './simulation.fixture.test.js';

/** The job with the long-running tasks. */
export const LONG_RUNNING_JOB = '00000000000000e1';

/** Number of its tasks. */
export const LONG_RUNNING_TASKS = 4;

/** Longest lease that the workers accept: twice the lease that leaders give. */
const MAX_LEASE_MS = 10_000;

/**
 * Starts a deployment of `hosts`. After `settleMs` all four tasks run on w1, since the first of
 * several equal workers is filled first.
 */
export async function deploymentWithLongRunningJob(
  seed: number,
  hosts: readonly string[],
  settleMs: Millis = 3_500,
): Promise<Simulation> {
  const site = new Simulation(seed, { maxLeaseMs: MAX_LEASE_MS });
  for (const name of ['w1', 'w2', 'w3']) {
    site.addWorker(name);
  }
  for (const name of hosts) {
    site.startHost(name);
  }
  const step = { tasks: LONG_RUNNING_TASKS, after: [], lasting: true };
  const script = { runMs: 10_000_000, failures: 0 };
  void site.submit(LONG_RUNNING_JOB, [step], script);
  await site.time.advance(settleMs);
  assert.equal(
    site.history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
  );
  return site;
}
