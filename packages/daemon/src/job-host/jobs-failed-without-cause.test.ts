/*
 * Guards against jobs that callers see as failed although none of their tasks failed or crashed a worker: many
 * workers are lost for other reasons, and the leader takes the task that ran on them for the cause.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { killLeaders } from './crashing-deployment.fixture.test.js';
import {
  crashInSeries,
  disconnectInSeries,
  disconnectStore,
  jobsSeenAsFailed,
  type BusyDeployment,
  type Faults,
} from './crashes-in-series.fixture.test.js';

const MOST_TOGETHER = {
  share: 0.6,
  everyMs: 3_000,
  rounds: 10,
  downtimeMs: 1_500,
};
const SOME_OFTEN = {
  share: 0.3,
  everyMs: 2_000,
  rounds: 15,
  downtimeMs: 1_500,
};
/** Cut off for a little longer than leases hold. */
const UNREACHABLE = { everyMs: 8_000, rounds: 8, downtimeMs: 6_300 };
const LEADER_KILL_INTERVAL_MS = 9_000;
const STORE_OUTAGE_MS = 3_000;
const STORE_OUTAGE_AFTER_MS = 13_000;

/** Returns the jobs seen as failed in each deployment where there are any. */
async function deploymentsWithFailedJobs(
  deployments: readonly BusyDeployment[],
  faults: Faults,
): Promise<string[]> {
  const found: string[] = [];
  for (const deployment of deployments) {
    const failed = await jobsSeenAsFailed(deployment, faults);
    if (failed.length > 0) {
      found.push(`seed ${deployment.seed}: ${failed.join(', ')}`);
    }
  }
  return found;
}

// Guards against noise that is told too low: it is averaged over a minute in which losses have only begun, and
// leaves out what was lost under any suspect, although all of these are healthy.
test('no job fails although most workers crash together each 3 s', async () => {
  const deployments = [
    { seed: 19, workers: 6 },
    { seed: 40, workers: 6 },
    { seed: 6, workers: 12 },
  ];
  const found = await deploymentsWithFailedJobs(deployments, (site, machines) =>
    crashInSeries(site, machines, MOST_TOGETHER),
  );
  assert.deepEqual(found, []);
});

// The same with fewer workers lost at a time, more often.
test('no job fails although a third of the workers crash each 2 s', async () => {
  const deployments = [
    { seed: 7, workers: 6 },
    { seed: 25, workers: 6 },
    { seed: 32, workers: 6 },
    { seed: 38, workers: 6 },
  ];
  const found = await deploymentsWithFailedJobs(deployments, (site, machines) =>
    crashInSeries(site, machines, SOME_OFTEN),
  );
  assert.deepEqual(found, []);
});

// Guards against three losses that decide while other workers that crashed with them are only known as silent.
test('no job fails after three losses that each came with those of other workers', async () => {
  const deployments = [{ seed: 16, workers: 6 }];
  const found = await deploymentsWithFailedJobs(deployments, (site, machines) =>
    crashInSeries(site, machines, SOME_OFTEN),
  );
  assert.deepEqual(found, []);
});

// The same under leaders that know the ages of the lost runs only roughly.
test('no job fails while workers crash, leaders are killed and the store is away', async () => {
  const deployments = [
    { seed: 25, workers: 6 },
    { seed: 31, workers: 6 },
  ];
  const found = await deploymentsWithFailedJobs(
    deployments,
    async (site, machines) => {
      void killLeaders(site, LEADER_KILL_INTERVAL_MS);
      site.time.schedule(STORE_OUTAGE_AFTER_MS, () => {
        disconnectStore(site, 'refusing', STORE_OUTAGE_MS);
      });
      await crashInSeries(site, machines, SOME_OFTEN);
    },
  );
  assert.deepEqual(found, []);
});

// Guards against losses that were no crashes: a worker that the leader can't reach has not crashed, and what is
// lost with it says nothing about its tasks.
test('no job fails although workers are out of reach, again and again', async () => {
  const arms = [
    { seeds: [1, 2, 5], workers: 6, share: 0.6 },
    { seeds: [8], workers: 12, share: 0.6 },
    { seeds: [1, 2], workers: 6, share: 1 },
  ];
  const found: string[] = [];
  for (const { seeds, workers, share } of arms) {
    const deployments = seeds.map(seed => ({ seed, workers }));
    found.push(
      ...(await deploymentsWithFailedJobs(deployments, (site, machines) =>
        disconnectInSeries(site, machines, { ...UNREACHABLE, share }),
      )),
    );
  }
  assert.deepEqual(found, []);
});
