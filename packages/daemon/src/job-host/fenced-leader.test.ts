/*
 * Seen: a leader that had lost the log went on to call each of 490 workers five times a second for 8 s after
 * another host led, more than 1,000 calls a second, each of which was refused. Cause: a worker's refusal for a
 * higher fence was logged and the look repeated; only the log told a leader that it was replaced.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3'];

test('a leader whose fence a worker refuses leads no more', async () => {
  for (const seed of [1, 2, 3]) {
    const site = new Simulation(seed);
    ['w1', 'w2'].forEach(name => {
      site.addWorker(name);
    });
    HOSTS.forEach(name => site.startHost(name));
    const job = '00000000000000f7';
    const lasting = { tasks: 2, after: [], lasting: true };
    void site.submit(job, [lasting], { runMs: 10_000_000, failures: 0 });
    await site.time.advance(3_500);
    const first = site.leader();
    site.log.hostModes.set(first, 'silent');
    await site.time.until(() => site.leader() !== first, 5_000);
    await site.time.advance(1_000);
    assert.equal(site.hosts.get(first)?.host.gauges.epoch(), 0);
    site.log.hostModes.clear();
    await site.time.advance(10_000);
    assert.equal(site.history.runningOf(job), 2);
    assert.deepEqual(site.history.check(), []);
  }
});
