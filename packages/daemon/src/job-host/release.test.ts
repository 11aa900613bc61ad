/*
 * Guards against long-running tasks that move off a leaving worker to one that leaves next in the same
 * release, also after the leader has changed or while it can't read the registry.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000f1';
const LONG_RUNNING = { tasks: 4, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };
const OLD_WORKERS = ['w1', 'w2', 'w3', 'w4'];

function addVersioned(site: Simulation, name: string, version: string): void {
  site.addWorker(name, [], undefined, version);
}

/**
 * Replaces w4, which runs nothing, by n1 of version 2. All four tasks are then on w1, and without a preference
 * they would move to w2, which precedes n1 among equally suitable workers.
 */
async function deploymentInRelease(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  OLD_WORKERS.forEach(name => {
    addVersioned(site, name, '1');
  });
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  void site.submit(ID, [LONG_RUNNING], ENDLESS);
  await site.time.advance(3_500);
  assert.equal(site.fleet.at('w1')?.activeRuns, 4);
  site.fleet.announceLeave('w4');
  await site.time.advance(3_000);
  site.fleet.crash('w4');
  addVersioned(site, 'n1', '2');
  await site.time.advance(1_500);
  return site;
}

function assertMovedTo(site: Simulation, worker: string): void {
  assert.equal(site.fleet.at(worker)?.activeRuns, 4);
  assert.equal(site.history.countActiveRuns(ID), 4);
  assert.deepEqual(site.history.check(), []);
}

test('long-running tasks move to the newest version while a release is under way', async () => {
  const site = await deploymentInRelease(1);
  site.fleet.announceLeave('w1');
  await site.time.advance(3_000);
  assertMovedTo(site, 'n1');
});

test('a new leader that finds a release under way knows the newest version', async () => {
  const site = await deploymentInRelease(2);
  site.kill(site.leader());
  site.fleet.announceLeave('w1');
  await site.time.advance(5_000);
  assertMovedTo(site, 'n1');
});

test('a new leader that takes over between two departures knows the newest version', async () => {
  const site = await deploymentInRelease(3);
  site.kill(site.leader());
  await site.time.advance(4_000);
  site.fleet.announceLeave('w1');
  await site.time.advance(3_000);
  assertMovedTo(site, 'n1');
});

test('tasks move to the newest version although the registry has become unavailable', async () => {
  const site = await deploymentInRelease(4);
  site.fleet.announceLeave('w1');
  await site.time.advance(450);
  site.fleet.registryUnavailable = true;
  await site.time.advance(2_500);
  assertMovedTo(site, 'n1');
});

test('tasks follow a rollback to the version of workers that were not replaced', async () => {
  const site = await deploymentInRelease(5);
  addVersioned(site, 'n2', '2');
  addVersioned(site, 'n3', '2');
  // Without the first workers, n2 precedes w5 among equally suitable workers.
  ['w1', 'w2', 'w3'].forEach(name => {
    site.fleet.announceLeave(name);
  });
  await site.time.advance(3_000);
  ['w2', 'w3'].forEach(name => {
    site.fleet.crash(name);
  });
  assertMovedTo(site, 'n1');
  addVersioned(site, 'w5', '1');
  await site.time.advance(12_000);
  site.fleet.crash('w1');
  await site.time.advance(12_000);
  site.fleet.announceLeave('n3');
  await site.time.advance(3_000);
  site.fleet.crash('n3');
  addVersioned(site, 'w6', '1');
  await site.time.advance(1_000);
  site.fleet.announceLeave('n1');
  await site.time.advance(3_000);
  assertMovedTo(site, 'w5');
});
