/*
 * Guards against long-running tasks that are lost with a worker that announced its departure. Two such tasks
 * started again only 21 and 24 s after their workers had left, both at the same moment, despite free
 * capacity. Leaders were killed one after the other meanwhile. Nothing moved tasks off a leaving worker: they
 * were lost with it, and their runs were abandoned only once a lease had certainly expired, a wait that each
 * new leader restarted with its own claim. Both tasks started 9.2 s after the last claim, which is the
 * longest lease of an earlier leader. The wait now counts from the claim that followed the last leader which
 * reached the worker, and the first test ends within it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000f1';
const LONG_RUNNING = { tasks: 4, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };

async function deploymentWithLongRunningJob(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  for (const name of ['w1', 'w2', 'w3']) {
    site.addWorker(name);
  }
  for (const name of ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']) {
    site.startHost(name);
  }
  void site.submit(ID, [LONG_RUNNING], ENDLESS);
  await site.time.advance(3_500);
  assert.equal(site.history.countActiveRuns(ID), 4);
  return site;
}

/** Advances until all four tasks run; fails if that takes longer than `withinMs`. */
async function assertAllRun(site: Simulation, withinMs: Millis): Promise<void> {
  const endBy = site.time.clock() + withinMs;
  while (site.history.countActiveRuns(ID) < 4) {
    assert.ok(site.time.clock() < endBy, 'a long-running task does not run');
    await site.time.advance(50);
  }
  assert.deepEqual(site.history.check(), []);
}

test('long-running tasks of lost workers run again however often leaders change', async () => {
  const site = await deploymentWithLongRunningJob(1);
  // All four are on w1: the first of equal workers is filled first.
  site.fleet.crash('w1');
  for (let change = 0; change < 5; change += 1) {
    site.kill(site.leader());
    await site.time.advance(2_200);
  }
  // 9.2 s after the first claim, which came 1.4 s after the first kill.
  await assertAllRun(site, 500);
});

test('killed hosts that restart do not restart the wait for lost workers', async () => {
  const site = await deploymentWithLongRunningJob(6);
  ['h4', 'h5', 'h6'].forEach(name => {
    site.kill(name);
  });
  const crashedAt = site.time.clock();
  site.fleet.crash('w1');
  for (let change = 0; change < 5; change += 1) {
    const name = site.leader();
    site.kill(name);
    await site.time.advance(300);
    site.startHost(name);
    await site.time.advance(1_900);
  }
  // 9.2 s after the first claim, plus one second by which reports of claims may be old.
  await assertAllRun(site, crashedAt + 12_500 - site.time.clock());
});

test('long-running tasks move off a worker that is about to leave', async () => {
  const site = await deploymentWithLongRunningJob(2);
  site.fleet.announceLeave('w1');
  await site.time.advance(2_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader moves long-running tasks off a worker that is about to leave', async () => {
  const site = await deploymentWithLongRunningJob(3);
  site.kill(site.leader());
  site.fleet.announceLeave('w1');
  await site.time.advance(4_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('long-running tasks stay on a worker that is about to leave while no other has capacity', async () => {
  const site = await deploymentWithLongRunningJob(4);
  for (const name of ['w2', 'w3']) {
    site.fleet.crash(name);
  }
  site.fleet.announceLeave('w1');
  await site.time.advance(6_000);
  assert.equal(site.history.countActiveRuns(ID), 4);
});

test('only as many long-running tasks move off a worker as there is capacity elsewhere', async () => {
  const site = await deploymentWithLongRunningJob(5);
  site.fleet.crash('w3');
  const other = '00000000000000f2';
  void site.submit(other, [{ ...LONG_RUNNING, tasks: 2 }], ENDLESS);
  await site.time.advance(2_000);
  assert.equal(site.history.countActiveRuns(other), 2);
  site.fleet.announceLeave('w1');
  await site.time.advance(1_500);
  for (let at = 0; at < 4_000; at += 50) {
    assert.equal(site.history.countActiveRuns(ID), 4);
    await site.time.advance(50);
  }
  site.fleet.crash('w1');
  assert.equal(site.history.countActiveRuns(ID), 2);
});

for (let delay = 0; delay <= 480; delay += 80) {
  test(`a job submitted ${delay} ms after a worker announces its departure takes no capacity from its tasks`, async () => {
    const site = await deploymentWithLongRunningJob(7);
    site.fleet.crash('w3');
    site.fleet.announceLeave('w1');
    await site.time.advance(delay);
    const other = '00000000000000f3';
    void site.submit(other, [{ ...LONG_RUNNING, lasting: false }], ENDLESS);
    await site.time.advance(5_000);
    assert.equal(site.history.countActiveRuns(ID), 4);
  });
}

/** Fills the remaining capacity of the workers with short tasks for at least 10 s. */
async function saturateWithShortTasks(site: Simulation): Promise<void> {
  const step = { tasks: 120, after: [] };
  void site.submit('00000000000000f4', [step], { runMs: 700, failures: 0 });
  await site.time.advance(2_000);
}

test('long-running tasks move off a worker while short tasks compete for each free place', async () => {
  const site = await deploymentWithLongRunningJob(8);
  await saturateWithShortTasks(site);
  site.fleet.announceLeave('w1');
  await site.time.advance(3_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader moves long-running tasks off while short tasks compete for each place', async () => {
  const site = await deploymentWithLongRunningJob(9);
  await saturateWithShortTasks(site);
  site.fleet.announceLeave('w1');
  site.kill(site.leader());
  await site.time.advance(5_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('newer long-running tasks take no capacity from those that have to move', async () => {
  const site = await deploymentWithLongRunningJob(10);
  ['w2', 'w3'].forEach(name => {
    site.fleet.crash(name);
  });
  const other = '00000000000000f5';
  void site.submit(other, [LONG_RUNNING], ENDLESS);
  site.fleet.announceLeave('w1');
  await site.time.advance(1_500);
  site.addWorker('w4');
  await site.time.advance(2_500);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader soon moves tasks off a worker that it finds about to leave', async () => {
  const site = await deploymentWithLongRunningJob(11);
  await saturateWithShortTasks(site);
  const former = site.leader();
  site.fleet.announceLeave('w1');
  site.kill(former);
  while (site.leader() === former) {
    await site.time.advance(50);
  }
  await site.time.advance(1_400);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('tasks of the worker that announced its departure first move first', async () => {
  const site = await deploymentWithLongRunningJob(12);
  const other = '00000000000000f6';
  site.fleet.crash('w3');
  void site.submit(other, [LONG_RUNNING], ENDLESS);
  await site.time.advance(1_000);
  assert.equal(site.history.countActiveRuns(other), 4);
  // Those of `other` are on the second worker, which leaves first.
  site.fleet.announceLeave('w2');
  await site.time.advance(900);
  site.fleet.announceLeave('w1');
  await site.time.advance(900);
  site.addWorker('w4');
  await site.time.advance(2_000);
  site.fleet.crash('w2');
  assert.equal(site.history.countActiveRuns(other), 4);
});
