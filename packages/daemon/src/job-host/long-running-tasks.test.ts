/*
 * Seen: on a fleet of 350 workers lasting tasks that had failed, or whose workers were lost, did not
 * run again for 11 to 40 s under load, though there was room for them by the count of their users. How:
 * tasks that end are placed before those that last, and take each place that comes free for as long as
 * more of them wait. Cause: the order knows of no wait that is too long for a task that has run before.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

const LASTING = '00000000000000c1';

test('a lasting task whose run has ended does not wait behind tasks that end', async () => {
  const site = new Simulation(1);
  site.addWorker('w1');
  ['h1', 'h2'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  // Its run ends by itself after 2 s, which a lasting task may do at any time.
  const once = { tasks: 1, after: [], lasting: true };
  void site.submit(LASTING, [once], { runMs: 2_000, failures: 0 });
  await site.time.advance(1_000);
  assert.equal(site.history.runningOf(LASTING), 1);
  // Four places, and always some tasks that wait for one.
  for (let number = 1; number <= 40; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    void site.submit(id, [{ tasks: 4, after: [] }], {
      runMs: 900,
      failures: 0,
    });
  }
  await site.time.advance(2_000);
  assert.equal(site.history.runningOf(LASTING), 0);
  const endBy = site.time.clock() + 6_000;
  while (site.history.runningOf(LASTING) === 0) {
    assert.ok(site.time.clock() < endBy, 'it does not run again in 6 s');
    await site.time.advance(50);
  }
});
