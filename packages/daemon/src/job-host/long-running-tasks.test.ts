/*
 * Guards against long-running tasks that wait for short ones. On a fleet of 350 workers, long-running tasks
 * that had failed, or whose workers were lost, did not run again for 11 to 40 s under load, although there
 * was capacity for them by the count of their users. Tasks that end are placed before long-running ones, and
 * take each place that becomes free as long as more of them wait. This order of placement did not limit the
 * wait of a task that has run before.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

const LONG_RUNNING_JOB = '00000000000000c1';

test('a long-running task whose run has ended does not wait behind tasks that end', async () => {
  const site = new Simulation(1);
  site.addWorker('w1');
  ['h1', 'h2'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  // Its run ends by itself after 2 s, which a long-running task may do at any time.
  const once = { tasks: 1, after: [], lasting: true };
  void site.submit(LONG_RUNNING_JOB, [once], { runMs: 2_000, failures: 0 });
  await site.time.advance(1_000);
  assert.equal(site.history.countActiveRuns(LONG_RUNNING_JOB), 1);
  // Four places, and always some tasks waiting for one.
  for (let number = 1; number <= 40; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    void site.submit(id, [{ tasks: 4, after: [] }], {
      runMs: 900,
      failures: 0,
    });
  }
  await site.time.advance(2_000);
  assert.equal(site.history.countActiveRuns(LONG_RUNNING_JOB), 0);
  const endBy = site.time.clock() + 6_000;
  while (site.history.countActiveRuns(LONG_RUNNING_JOB) === 0) {
    assert.ok(site.time.clock() < endBy, 'it does not run again in 6 s');
    await site.time.advance(50);
  }
});
