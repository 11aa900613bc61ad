import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';

import { LinkBudget } from './link-budget.js';

const BYTES_PER_S = 10_000;

test('a budget admits the bytes saved up in one second', async () => {
  const time = createVirtualTime();
  const budget = new LinkBudget(time.clock, BYTES_PER_S);
  const admitted = Array.from({ length: 12 }, () => budget.tryTake(1_000));
  assert.equal(admitted.filter(Boolean).length, 10);
  await time.advance(10_000);
  assert.ok(budget.tryTake(10_000));
  assert.ok(!budget.tryTake(1));
});

// Otherwise payloads would take their part of the link in each second of an overload, when it has
// nothing to spare.
test('a budget admits nothing during a sustained overload', async () => {
  const time = createVirtualTime();
  const budget = new LinkBudget(time.clock, BYTES_PER_S);
  let admitted = 0;
  for (let at = 0; at < 200; at += 1) {
    await time.advance(50);
    admitted += budget.tryTake(1_000) ? 1 : 0;
  }
  // The bytes saved up last for one second, in which twenty starts are attempted.
  assert.ok(admitted <= 20, `${admitted} of 200`);
});

test('a budget recovers soon after an overload', async () => {
  const time = createVirtualTime();
  const budget = new LinkBudget(time.clock, BYTES_PER_S);
  for (let at = 0; at < 100; at += 1) {
    budget.tryTake(1_000);
  }
  await time.advance(2_000);
  assert.ok(budget.tryTake(10_000));
});

test('an unlimited link carries everything', () => {
  const budget = new LinkBudget(createVirtualTime().clock, Infinity);
  assert.ok(budget.tryTake(1e12) && budget.tryTake(1e12));
  assert.ok(!budget.mayBeExceeded);
});
