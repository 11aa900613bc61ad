/*
 * Seen: two lasting tasks whose workers had left, as announced, 21 and 24 s before began again both
 * at the same moment, with room for them all the while. How: hosts that led were killed one after
 * the other meanwhile. Cause: nothing moved the tasks off a worker that had said that it leaves; they
 * died with it, and their runs were given up only once a lease had certainly lapsed, a wait that
 * each new leader began anew with its own claim. Proof: both began 9.2 s after the last claim, which
 * is the longest lease of an earlier leader; the wait is counted from the claim that followed the last
 * leader which reached the worker, and the first test ends within it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000f1';
const LASTING = { tasks: 4, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };

async function siteWithLastingJob(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  for (const name of ['w1', 'w2', 'w3']) {
    site.addWorker(name);
  }
  for (const name of ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']) {
    site.startHost(name);
  }
  void site.submit(ID, [LASTING], ENDLESS);
  await site.time.advance(3_500);
  assert.equal(site.history.runningOf(ID), 4);
  return site;
}

/** Advances until all four tasks run; fails when that takes longer than `withinMs`. */
async function assertAllRun(site: Simulation, withinMs: Millis): Promise<void> {
  const endBy = site.time.clock() + withinMs;
  while (site.history.runningOf(ID) < 4) {
    assert.ok(site.time.clock() < endBy, 'a lasting task does not run');
    await site.time.advance(50);
  }
  assert.deepEqual(site.history.check(), []);
}

test('lasting tasks of lost workers run again however often leaders change', async () => {
  const site = await siteWithLastingJob(1);
  // All four are there: the first of equal workers is filled first.
  site.fleet.crash('w1');
  for (let change = 0; change < 5; change += 1) {
    site.kill(site.leader());
    await site.time.advance(2_200);
  }
  // 9.2 s after the first claim, which came 1.4 s after the first kill.
  await assertAllRun(site, 500);
});

test('killed hosts that start again do not begin the wait for lost workers anew', async () => {
  const site = await siteWithLastingJob(6);
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
  // 9.2 s after the first claim, and the second by which what is told of claims may be old.
  await assertAllRun(site, crashedAt + 12_500 - site.time.clock());
});

test('lasting tasks move off a worker that is about to leave', async () => {
  const site = await siteWithLastingJob(2);
  site.fleet.announceLeave('w1');
  await site.time.advance(2_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader moves lasting tasks off a worker that is about to leave', async () => {
  const site = await siteWithLastingJob(3);
  site.kill(site.leader());
  site.fleet.announceLeave('w1');
  await site.time.advance(4_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('lasting tasks stay on a worker that is about to leave while no other has room', async () => {
  const site = await siteWithLastingJob(4);
  for (const name of ['w2', 'w3']) {
    site.fleet.crash(name);
  }
  site.fleet.announceLeave('w1');
  await site.time.advance(6_000);
  assert.equal(site.history.runningOf(ID), 4);
});

test('only as many lasting tasks move off a worker as have room elsewhere', async () => {
  const site = await siteWithLastingJob(5);
  site.fleet.crash('w3');
  const other = '00000000000000f2';
  void site.submit(other, [{ ...LASTING, tasks: 2 }], ENDLESS);
  await site.time.advance(2_000);
  assert.equal(site.history.runningOf(other), 2);
  site.fleet.announceLeave('w1');
  await site.time.advance(1_500);
  for (let at = 0; at < 4_000; at += 50) {
    assert.equal(site.history.runningOf(ID), 4);
    await site.time.advance(50);
  }
  site.fleet.crash('w1');
  assert.equal(site.history.runningOf(ID), 2);
});

for (let delay = 0; delay <= 480; delay += 80) {
  test(`a job that comes ${delay} ms after a worker says that it leaves takes no room from its tasks`, async () => {
    const site = await siteWithLastingJob(7);
    site.fleet.crash('w3');
    site.fleet.announceLeave('w1');
    await site.time.advance(delay);
    const other = '00000000000000f3';
    void site.submit(other, [{ ...LASTING, lasting: false }], ENDLESS);
    await site.time.advance(5_000);
    assert.equal(site.history.runningOf(ID), 4);
  });
}

/** Fills all room that is left on the workers with tasks that end soon, for 10 s and more. */
async function pressWithTasksThatEnd(site: Simulation): Promise<void> {
  const step = { tasks: 120, after: [] };
  void site.submit('00000000000000f4', [step], { runMs: 700, failures: 0 });
  await site.time.advance(2_000);
}

test('lasting tasks move off a worker while tasks that end want each place that comes free', async () => {
  const site = await siteWithLastingJob(8);
  await pressWithTasksThatEnd(site);
  site.fleet.announceLeave('w1');
  await site.time.advance(3_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader moves lasting tasks off while tasks that end want each place', async () => {
  const site = await siteWithLastingJob(9);
  await pressWithTasksThatEnd(site);
  site.fleet.announceLeave('w1');
  site.kill(site.leader());
  await site.time.advance(5_000);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('lasting tasks that come later take no room from those that have to move', async () => {
  const site = await siteWithLastingJob(10);
  ['w2', 'w3'].forEach(name => {
    site.fleet.crash(name);
  });
  const other = '00000000000000f5';
  void site.submit(other, [LASTING], ENDLESS);
  site.fleet.announceLeave('w1');
  await site.time.advance(1_500);
  site.addWorker('w4');
  await site.time.advance(2_500);
  site.fleet.crash('w1');
  await assertAllRun(site, 50);
});

test('a new leader moves tasks soon off a worker that it finds about to leave', async () => {
  const site = await siteWithLastingJob(11);
  await pressWithTasksThatEnd(site);
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

test('tasks of the worker that first said that it leaves move first', async () => {
  const site = await siteWithLastingJob(12);
  const other = '00000000000000f6';
  site.fleet.crash('w3');
  void site.submit(other, [LASTING], ENDLESS);
  await site.time.advance(1_000);
  assert.equal(site.history.runningOf(other), 4);
  // Those of `other` are on the second worker, which leaves first.
  site.fleet.announceLeave('w2');
  await site.time.advance(900);
  site.fleet.announceLeave('w1');
  await site.time.advance(900);
  site.addWorker('w4');
  await site.time.advance(2_000);
  site.fleet.crash('w2');
  assert.equal(site.history.runningOf(other), 4);
});
