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

test('a host tells how long ago it learnt of the newest claims', () => {
  const times = new ClaimTimes();
  times.note(3, 100);
  times.note(5, 400);
  assert.deepEqual(times.ages(1_000), [
    [5, 600],
    [3, 900],
  ]);
});

test('ages are told of eight claims at most, the newest ones', () => {
  const times = new ClaimTimes();
  for (let epoch = 1; epoch <= 20; epoch += 1) {
    times.note(epoch, epoch * 10);
  }
  const told = times.ages(1_000).map(([epoch]) => epoch);
  assert.deepEqual(told, [20, 19, 18, 17, 16, 15, 14, 13]);
});

test('ages are whole milliseconds, never more than the true age', () => {
  const times = new ClaimTimes();
  times.note(3, 100.3);
  assert.deepEqual(times.ages(1_000), [[3, 899]]);
});

test('a host that starts anew takes over the ages of another', () => {
  const [old, anew] = [new ClaimTimes(), new ClaimTimes()];
  old.note(3, 100);
  old.note(5, 400);
  anew.note(5, 10_000);
  anew.noteAges(old.ages(1_000), 1_000);
  assert.equal(anew.supersededAt(2), 100);
  assert.equal(anew.supersededAt(3), 400);
});

test('a claim is never taken to be earlier than another host learnt of it', () => {
  const [old, anew] = [new ClaimTimes(), new ClaimTimes()];
  old.note(3, 100.7);
  for (const told of [1_000, 777.7, 500]) {
    // It arrives at once, or later.
    for (const way of [20, 0]) {
      anew.noteAges(old.ages(told), told + way);
      assert.ok(anew.supersededAt(2) >= 100.7, String(anew.supersededAt(2)));
    }
  }
});

test('what a host has known for longer than another tells holds', () => {
  const times = new ClaimTimes();
  times.note(3, 100);
  times.noteAges([[3, 50]], 1_000);
  assert.equal(times.supersededAt(2), 100);
});

test('claims that others tell of are forgotten like those that were read', () => {
  const times = new ClaimTimes();
  for (let epoch = 1; epoch <= 100; epoch += 1) {
    times.noteAges([[epoch, 1_000 - epoch * 10]], 1_000);
  }
  assert.equal(times.supersededAt(1), 370);
});
