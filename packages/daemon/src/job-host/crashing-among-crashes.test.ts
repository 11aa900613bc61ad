/*
 * Guards against a task that costs more workers because others crash as well: doubtful losses count only
 * beyond chance, and where workers are lost all the time five are not always beyond it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  crashingJob,
  CRASHING_JOB,
  deploymentWithNeighbours,
  MAX_CRASHES,
  WORKERS,
} from './crashing-deployment.fixture.test.js';

const SUBMIT_AT_MS = 34_000;
const SPAN_MS = 90_000;
const SEEDS = [1, 4, 7, 10];

/** Returns the workers lost under a crashing task while a random worker crashes each 1.2 to 3.2 s. */
async function crashesAmongOthers(seed: number): Promise<number> {
  const site = await deploymentWithNeighbours(seed);
  const { fleet, history, random, time } = site;
  const endsAt = time.clock() + SPAN_MS;
  let isSubmitted = false;
  while (time.clock() < endsAt) {
    if (!isSubmitted && time.clock() > SUBMIT_AT_MS) {
      isSubmitted = true;
      const { steps, script } = crashingJob(10);
      void site.submit(CRASHING_JOB, steps, script);
    }
    const name = WORKERS[Math.floor(random() * WORKERS.length)] ?? '';
    if (fleet.at(name) !== undefined) {
      fleet.crash(name);
      fleet.onCrash(name);
    }
    await time.advance(1_200 + random() * 2_000);
  }
  assert.ok(history.reportedStates(CRASHING_JOB).includes('failed'));
  return history.workersCrashedBy(CRASHING_JOB);
}

test('a task that crashes its workers costs five at the most although others crash at random', async () => {
  for (const seed of SEEDS) {
    const crashes = await crashesAmongOthers(seed);
    assert.ok(crashes <= MAX_CRASHES, `seed ${seed}: ${crashes} workers`);
  }
});
