import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { WorkerInfo } from '@paddlewind/domain/jobs';
import { FaultTimes, type GuaranteeName } from '@paddlewind/stand-ins/jobs';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000d1';
const ENDLESS = { runMs: 10_000_000, failures: 0 };
const SLOW = { runMs: 6_000, failures: 0 };
const WORKERS = ['w1', 'w2'];

/** Returns a fault-free simulated deployment whose hosts see the workers as modified by `distort`. */
function faultyDeployment(
  seed: number,
  distort: (info: WorkerInfo) => WorkerInfo = info => info,
): Simulation {
  const site = new Simulation(seed);
  site.history.faults = new FaultTimes();
  const feed = site.fleet.feed();
  site.fleet.feed = () => ({
    refresh: async () => {
      const read = await feed.refresh();
      if (read.kind !== 'value') {
        return read;
      }
      const workers = read.value.workers.map(distort);
      return { kind: 'value', value: { ...read.value, workers } };
    },
  });
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  return site;
}

function brokenGuarantees(site: Simulation): GuaranteeName[] {
  return [...new Set(site.history.check().map(({ guarantee }) => guarantee))];
}

test('a healthy deployment breaks no guarantee', async () => {
  const site = faultyDeployment(1);
  const steps = [{ tasks: 4, after: [], maxPerWorker: 2 }];
  void site.submit(ID, steps, SLOW);
  const gang = [{ tasks: 3, after: [], gang: true }];
  void site.submit('00000000000000d2', gang, { ...SLOW, gang: 3 });
  await site.time.advance(2_000);
  site.fleet.announceLeave('w1');
  await site.time.advance(20_000);
  assert.ok(site.history.isDone(ID));
  assert.ok(site.history.isDone('00000000000000d2'));
  assert.deepEqual(brokenGuarantees(site), []);
});

test('workers that carry out no stop are detected after a cancellation', async () => {
  const site = faultyDeployment(2);
  for (const name of WORKERS) {
    const found = site.fleet.at(name);
    assert.ok(found);
    found.stop = () => ({ kind: 'accepted', clock: found.clock });
  }
  void site.submit(ID, [{ tasks: 2, after: [] }], ENDLESS);
  await site.time.advance(3_000);
  void site.cancel(ID);
  await site.time.advance(8_000);
  assert.deepEqual(brokenGuarantees(site), ['ends_after_cancel']);
});

test('hosts that do not see that a worker is leaving are detected', async () => {
  const site = faultyDeployment(3, info => ({ ...info, leaving: false }));
  WORKERS.forEach(name => {
    site.fleet.announceLeave(name);
  });
  await site.time.advance(4_000);
  void site.submit(ID, [{ tasks: 1, after: [] }], SLOW);
  await site.time.advance(4_000);
  assert.deepEqual(brokenGuarantees(site), ['not_on_leaving']);
});

test('hosts that overestimate the size of workers are detected', async () => {
  const size = { cpuMilli: 64_000, memoryMiB: 64_000, accelerators: 0 };
  const site = faultyDeployment(4, info => ({ ...info, capacity: size }));
  void site.submit(ID, [{ tasks: 12, after: [] }], SLOW);
  await site.time.advance(4_000);
  assert.deepEqual(brokenGuarantees(site), ['within_room']);
});

test('hosts that see labels that do not exist are detected', async () => {
  const site = faultyDeployment(5, info => ({ ...info, labels: ['fast'] }));
  void site.submit(ID, [{ tasks: 1, after: [], label: 'fast' }], SLOW);
  await site.time.advance(4_000);
  assert.deepEqual(brokenGuarantees(site), ['right_worker']);
});

test('a worker that accepts starts without starting anything leaves a gang incomplete', async () => {
  const site = faultyDeployment(6);
  const found = site.fleet.at('w2');
  assert.ok(found);
  found.start = () => ({ kind: 'accepted', clock: found.clock });
  const steps = [{ tasks: 2, after: [], gang: true, maxPerWorker: 1 }];
  void site.submit(ID, steps, { ...SLOW, gang: 2 });
  await site.time.advance(8_000);
  assert.deepEqual(brokenGuarantees(site), ['gang_together']);
});

test('workers that refuse all starts leave long-running tasks without a run', async () => {
  const site = faultyDeployment(7);
  site.fleet.rejectsStarts = true;
  void site.submit(ID, [{ tasks: 1, after: [], lasting: true }], ENDLESS);
  await site.time.advance(12_000);
  assert.deepEqual(brokenGuarantees(site), ['lasting_runs']);
});
