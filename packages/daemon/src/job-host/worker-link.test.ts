import assert from 'node:assert/strict';
import { test } from 'node:test';

import { linkTo, OrderedRuns } from './orders.fixture.test.js';
import { SLOW_WORKER_MS } from './timing.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

test('a worker at which a start waited for too long rests', async () => {
  const site = new OrderedRuns(5);
  const link = await linkTo(site);
  assert.ok(link.usable);
  site.answerMs = SLOW_MS;
  for (let index = 0; index < 5; index += 1) {
    link.start(site.open(index), site.time.clock());
  }
  await site.time.until(() => site.ended.length > 0, 5_000);
  assert.ok(!link.usable);
  await site.time.advance(SLOW_WORKER_MS - 1);
  assert.ok(!link.usable);
  await site.time.advance(1);
  assert.ok(link.usable);
});

test('a worker that answers all starts in time does not rest', async () => {
  const site = new OrderedRuns(4);
  const link = await linkTo(site);
  site.answerMs = SLOW_MS;
  for (let index = 0; index < 4; index += 1) {
    link.start(site.open(index), site.time.clock());
  }
  for (let at = 0; at < 3_000; at += 50) {
    await site.time.advance(50);
    assert.ok(link.usable);
  }
  assert.deepEqual(site.ended, []);
});
