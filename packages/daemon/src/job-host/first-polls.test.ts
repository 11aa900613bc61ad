/*
 * Guards against a takeover with thousands of workers: their first polls were sent all at once, and the answers
 * were read only after their timeouts, so that sound workers counted as unresponsive and lost what ran there.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FirstPolls } from './first-polls.js';

test('a hundred first polls are in flight at the most, and all are sent in order', async () => {
  const polls = new FirstPolls();
  const sent: number[] = [];
  let inFlight = 0;
  let mostInFlight = 0;
  const poll = (at: number): Promise<void> =>
    polls.admit(async () => {
      sent.push(at);
      inFlight += 1;
      mostInFlight = Math.max(mostInFlight, inFlight);
      await Promise.resolve();
      inFlight -= 1;
    });
  const all = Array.from({ length: 3_100 }, (_, at) => at);
  await Promise.all(all.map(poll));
  assert.equal(mostInFlight, 100);
  assert.deepEqual(sent, all);
});

test('a poll that fails makes room for the next one', async () => {
  const polls = new FirstPolls();
  const all = Array.from({ length: 250 }, () =>
    polls.admit(() => Promise.reject(new Error('lost'))),
  );
  const results = await Promise.allSettled(all);
  assert.equal(results.length, 250);
});
