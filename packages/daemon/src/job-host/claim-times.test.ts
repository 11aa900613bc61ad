import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ClaimTimes } from './claim-times.js';

test('an epoch is superseded when the next claim was first read', () => {
  const times = new ClaimTimes();
  times.note(3, 100);
  times.note(5, 200);
  times.note(5, 900);
  times.note(6, 1_000);
  assert.equal(times.supersededAt(3), 200);
  assert.equal(times.supersededAt(5), 1_000);
});

test('the newest epoch is not superseded', () => {
  const times = new ClaimTimes();
  times.note(3, 100);
  assert.equal(times.supersededAt(3), Infinity);
});

test('a claim that was forgotten counts from a later one', () => {
  const times = new ClaimTimes();
  for (let epoch = 1; epoch <= 100; epoch += 1) {
    times.note(epoch, epoch * 10);
  }
  assert.equal(times.supersededAt(1), 370);
});
