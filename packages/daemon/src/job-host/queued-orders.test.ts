/*
 * Guards against sending starts that are no longer wanted. On a fleet of 350 workers a task started 4.1 s
 * after the cancellation of its job was confirmed, where 4 s are allowed, and tasks whose end had been
 * acknowledged started again a second later. A leader without spare processor time sends its orders late,
 * since each waits for the answer to the one before it, and a start was checked against the job's state only
 * when it was recorded. One slow worker has the same effect with an otherwise idle leader; both faults are
 * gone with the check at the moment of sending.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation, type TestStep } from './simulation.fixture.test.js';

const ID = '00000000000000d1';
/** Below the timeout of an order, so that the worker counts as answering. */
const SLOW_MS = 450;

/** Returns a simulated deployment of two hosts and two workers, one of which is slow to answer orders. */
async function deploymentWithSlowWorker(
  seed: number,
  slow: 'w1' | 'w2',
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  site.addWorker('w2');
  site.startHost('h1');
  site.startHost('h2');
  await site.time.advance(2_500);
  site.fleet.orderDelays.set(slow, SLOW_MS);
  return site;
}

const SMALL = { cpuMilli: 200, memoryMiB: 10, accelerators: 0 };
const MANY: TestStep = { tasks: 40, after: [], size: SMALL };

test('a queued start is not sent once its job is cancelled', async () => {
  const site = await deploymentWithSlowWorker(1, 'w1');
  void site.submit(ID, [MANY], { runMs: 20_000, failures: 0 });
  await site.time.advance(600);
  void site.cancel(ID);
  await site.time.advance(20_000);
  assert.deepEqual(site.history.check(), []);
});

test('stops do not wait behind starts', async () => {
  const site = await deploymentWithSlowWorker(4, 'w1');
  const other = '00000000000000d2';
  const few = { ...MANY, tasks: 5 };
  site.fleet.orderDelays.clear();
  void site.submit(other, [few], { runMs: 60_000, failures: 0 });
  await site.time.advance(1_000);
  assert.equal(site.history.countActiveRuns(other), 5);
  site.fleet.orderDelays.set('w1', SLOW_MS);
  void site.submit(ID, [MANY], { runMs: 60_000, failures: 0 });
  await site.time.advance(300);
  void site.cancel(other);
  await site.time.advance(3_900);
  assert.equal(site.history.countActiveRuns(other), 0);
});

test('a queued start is not sent while cancellations cannot be read', async () => {
  const site = await deploymentWithSlowWorker(2, 'w1');
  void site.submit(ID, [MANY], { runMs: 20_000, failures: 0 });
  await site.time.advance(200);
  site.log.streamModes.set('inbox', 'unreadable');
  // The read that is already waiting would still return the cancellation.
  await site.time.advance(800);
  const other = [...site.hosts].find(([name]) => name !== site.leader())?.[1];
  const asked = other?.host.service.cancel(ID, site.time.clock() + 3_000);
  await site.time.advance(10);
  assert.deepEqual(await asked, { kind: 'recorded' });
  const job = site.history.jobs.get(ID);
  assert.ok(job);
  job.cancelledAt = site.time.clock();
  await site.time.advance(20_000);
  assert.deepEqual(site.history.check(), []);
});

test('a start is not sent while the leader cannot read which workers are leaving', async () => {
  const site = new Simulation(6);
  site.addWorker('w1');
  site.startHost('h1');
  await site.time.advance(2_500);
  site.fleet.registryUnavailable = true;
  site.fleet.announceLeave('w1');
  await site.time.advance(5_000);
  void site.submit(ID, [{ ...MANY, tasks: 1 }], { runMs: 100, failures: 0 });
  await site.time.advance(1_000);
  assert.equal(site.history.countActiveRuns(ID), 0);
});

test('starts do not wait for a slow worker while another has capacity', async () => {
  const site = await deploymentWithSlowWorker(7, 'w1');
  const longRunning = { ...MANY, tasks: 18, lasting: true };
  void site.submit(ID, [longRunning], { runMs: 10_000_000, failures: 0 });
  await site.time.advance(6_000);
  assert.equal(site.history.countActiveRuns(ID), 18);
});

for (const stops of [0, 1, 5]) {
  test(`starts behind ${stops} stops to an unreachable worker go elsewhere`, async () => {
    const site = await deploymentWithSlowWorker(8, 'w1');
    const other = '00000000000000d3';
    site.fleet.orderDelays.clear();
    const first = Math.max(1, stops);
    const long = { runMs: 60_000, failures: 0 };
    void site.submit(other, [{ ...MANY, tasks: first }], long);
    await site.time.advance(1_000);
    assert.equal(site.history.countActiveRuns(other), first);
    site.fleet.orderDelays.set('w1', SLOW_MS);
    void site.submit(ID, [{ ...MANY, tasks: 10 }], long);
    await site.time.advance(600);
    if (stops > 0) {
      void site.cancel(other);
    }
    await site.time.advance(100);
    for (const host of site.hosts.keys()) {
      site.fleet.brokenLinks.add(`${host}>w1`);
    }
    await site.time.advance(4_000);
    // All but one, whose order got no answer.
    assert.ok(site.history.countActiveRuns(ID) >= 9);
  });
}

test('a queued speculative copy is not sent once its task is done', async () => {
  // The tasks fill the first worker, so that their copies go to the slow one.
  const site = await deploymentWithSlowWorker(3, 'w2');
  const steps = [{ ...MANY, tasks: 20, speculative: true, estimateMs: 400 }];
  void site.submit(ID, steps, { runMs: 2_600, failures: 0 });
  await site.time.advance(30_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(ID));
});

/** Submits several kinds of jobs until `endAt`, and cancels some of them; returns the others. */
async function submitMixedJobs(
  site: Simulation,
  endAt: number,
): Promise<string[]> {
  const kept: string[] = [];
  for (let number = 1; site.time.clock() < endAt; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    const speculative = number % 3 === 0;
    const steps = [{ ...MANY, tasks: 6, speculative, estimateMs: 100 }];
    const submitted = site.submit(id, steps, { runMs: 400, failures: 0 });
    if (number % 4 === 0) {
      void submitted.then(() => site.cancel(id));
    } else {
      kept.push(id);
    }
    await site.time.advance(300);
  }
  return kept;
}

for (const eventMs of [30, 45, 60]) {
  test(`a leader that takes ${eventMs} ms for each event keeps all guarantees`, async () => {
    const site = new Simulation(5);
    ['w1', 'w2', 'w3'].forEach(name => {
      site.addWorker(name);
    });
    ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
    await site.time.advance(2_500);
    const slow = site.leader();
    site.slow(slow, eventMs);
    const kept = await submitMixedJobs(site, 20_000);
    site.slow(slow, 0);
    await site.time.advance(40_000);
    assert.deepEqual(site.history.check(), []);
    for (const id of kept) {
      assert.ok(site.history.isDone(id), id);
    }
  });
}
