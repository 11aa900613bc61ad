/**
 * Guards against a malformed registry entry that ends the leader and each of its successors. Other
 * workers have to keep working. What runs on a worker whose entry can no longer be read keeps
 * running; the worker gets nothing new until its entry can be read again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from './simulation.fixture.test.js';

const LONG_RUN = { runMs: 8_000, failures: 0 };

/** Starts two workers; the entry of the second can't be read while `foreign` returns true. */
function deploymentOfTwoWorkers(foreign: () => boolean): Simulation {
  const site = new Simulation(1);
  site.history.faults = new FaultTimes();
  const feed = site.fleet.feed();
  site.fleet.feed = () => ({
    refresh: async () => {
      const read = await feed.refresh();
      if (read.kind !== 'value' || !foreign()) {
        return read;
      }
      const [first, second] = read.value.workers;
      const id = second?.id ?? '';
      const unreadable = [{ id, reason: 'no address' }];
      return {
        kind: 'value',
        value: { workers: first ? [first] : [], unreadable },
      };
    },
  });
  ['w1', 'w2'].forEach(name => {
    site.addWorker(name);
  });
  ['h1', 'h2'].forEach(name => site.startHost(name));
  return site;
}

test('a run on a worker whose entry cannot be read completes', async () => {
  let foreign = false;
  const site = deploymentOfTwoWorkers(() => foreign);
  const id = '00000000000000e1';
  void site.submit(id, [{ tasks: 2, after: [], maxPerWorker: 1 }], LONG_RUN);
  await site.time.advance(4_000);
  foreign = true;
  await site.time.advance(9_000);
  assert.ok(site.history.isDone(id));
  assert.deepEqual(site.history.check(), []);
});

test('a worker whose entry cannot be read gets no new runs', async () => {
  let foreign = true;
  const site = deploymentOfTwoWorkers(() => foreign);
  const id = '00000000000000e2';
  const spread = [{ tasks: 2, after: [], maxPerWorker: 1 }];
  void site.submit(id, spread, LONG_RUN);
  await site.time.advance(6_000);
  assert.equal(site.history.countActiveRuns(id), 1);
  foreign = false;
  await site.time.advance(1_000);
  assert.equal(site.history.countActiveRuns(id), 2);
});
