import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime, type VirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { LinkPacer } from './link-pacer.js';

/** Ten bytes a millisecond. */
const BYTES_PER_S = 10_000;

/**
 * Returns how long simultaneous starts of `bytes` wait for their turns; undefined for starts that
 * are not admitted.
 */
async function waitsOf(
  pacer: LinkPacer,
  time: VirtualTime,
  count: number,
  bytes: number,
): Promise<(number | undefined)[]> {
  const requestedAt = time.clock();
  const waits = Array.from({ length: count }, async () => {
    const hasTurn = await pacer.admit(bytes);
    return hasTurn ? Math.round(time.clock() - requestedAt) : undefined;
  });
  await time.advance(5_000);
  return Promise.all(waits);
}

test('starts are admitted at the pace of the link after an initial burst', async () => {
  const time = createVirtualTime();
  const pacer = new LinkPacer(testContext(time), BYTES_PER_S);
  const waits = await waitsOf(pacer, time, 9, 1_000);
  assert.deepEqual(waits, [0, 0, 0, 0, 0, 0, 100, 200, 300]);
});

// If sent, they would delay polls and appends until workers seem silent.
test('starts that would wait too long are not admitted', async () => {
  const time = createVirtualTime();
  const pacer = new LinkPacer(testContext(time), BYTES_PER_S);
  const waits = await waitsOf(pacer, time, 20, 1_000);
  assert.equal(waits.filter(wait => wait !== undefined).length, 16);
  assert.ok(waits.every(wait => wait === undefined || wait <= 1_000));
});

test('few starts are in flight on a slow link, any number on an unlimited one', async () => {
  const time = createVirtualTime();
  const ctx = testContext(time);
  const slow = new LinkPacer(ctx, BYTES_PER_S);
  await waitsOf(slow, time, 8, 1_000);
  assert.equal(slow.maxStarts, 8);
  assert.equal(new LinkPacer(ctx, 1_000).maxStarts, 4);
  assert.equal(new LinkPacer(ctx, 1_000_000).maxStarts, 666);
  const free = new LinkPacer(ctx, Infinity);
  assert.equal(free.maxStarts, Infinity);
  assert.deepEqual(await waitsOf(free, time, 2, 1e9), [0, 0]);
  assert.ok(!free.hasWaitingStarts);
});
