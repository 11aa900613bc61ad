/*
 * Guards against a replaced leader that goes on calling workers. A leader that had lost the log called each
 * of 490 workers five times a second for 8 s after another host led: more than 1,000 calls a second, all of
 * them refused. A refusal for a higher fence was only logged and the poll repeated; only the log could depose
 * a leader.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3'];

test('a leader resigns when a worker refuses its fence', async () => {
  for (const seed of [1, 2, 3]) {
    const site = new Simulation(seed);
    ['w1', 'w2'].forEach(name => {
      site.addWorker(name);
    });
    HOSTS.forEach(name => site.startHost(name));
    const job = '00000000000000f7';
    const longRunning = { tasks: 2, after: [], lasting: true };
    void site.submit(job, [longRunning], { runMs: 10_000_000, failures: 0 });
    await site.time.advance(3_500);
    const first = site.leader();
    site.log.hostModes.set(first, 'silent');
    await site.time.until(() => site.leader() !== first, 5_000);
    await site.time.advance(1_000);
    assert.equal(site.hosts.get(first)?.host.gauges.epoch(), 0);
    site.log.hostModes.clear();
    await site.time.advance(10_000);
    assert.equal(site.history.countActiveRuns(job), 2);
    assert.deepEqual(site.history.check(), []);
  }
});
