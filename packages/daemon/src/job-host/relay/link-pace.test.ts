import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime, type VirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { LinkPacer } from './link-pace.js';

/** Ten bytes a millisecond. */
const BYTES_PER_S = 10_000;

/** How long starts of `bytes` that come together wait for their turns; undefined for those that have none. */
async function turnsOf(
  pace: LinkPacer,
  time: VirtualTime,
  count: number,
  bytes: number,
): Promise<(number | undefined)[]> {
  const cameAt = time.clock();
  const turns = Array.from({ length: count }, async () => {
    const hasTurn = await pace.admit(bytes);
    return hasTurn ? Math.round(time.clock() - cameAt) : undefined;
  });
  await time.advance(5_000);
  return Promise.all(turns);
}

test('starts have their turns as the link carries them, a few at once', async () => {
  const time = createVirtualTime();
  const pace = new LinkPacer(testContext(time), BYTES_PER_S);
  const turns = await turnsOf(pace, time, 9, 1_000);
  assert.deepEqual(turns, [0, 0, 0, 0, 0, 0, 100, 200, 300]);
});

// Sent all the same, they would hold up looks and appends until workers seem to be silent.
test('starts that would wait for too long have no turn', async () => {
  const time = createVirtualTime();
  const pace = new LinkPacer(testContext(time), BYTES_PER_S);
  const turns = await turnsOf(pace, time, 20, 1_000);
  assert.equal(turns.filter(turn => turn !== undefined).length, 16);
  assert.ok(turns.every(turn => turn === undefined || turn <= 1_000));
});

test('few starts are under way on a slow link, and any number on one without a limit', async () => {
  const time = createVirtualTime();
  const ctx = testContext(time);
  const slow = new LinkPacer(ctx, BYTES_PER_S);
  await turnsOf(slow, time, 8, 1_000);
  assert.equal(slow.maxStarts, 8);
  assert.equal(new LinkPacer(ctx, 1_000).maxStarts, 4);
  assert.equal(new LinkPacer(ctx, 1_000_000).maxStarts, 666);
  const free = new LinkPacer(ctx, Infinity);
  assert.equal(free.maxStarts, Infinity);
  assert.deepEqual(await turnsOf(free, time, 2, 1e9), [0, 0]);
  assert.ok(!free.hasWaitingStarts);
});
