import assert from 'node:assert/strict';
import { test } from 'node:test';

import { PartTimes } from './part-times.js';

test('work within a part counts once, for the inner part', () => {
  let now = 100;
  const times = new PartTimes(() => now);
  const pass = (span: number): void => {
    now += span;
  };
  pass(1_000);
  const found = times.measure('planning', () => {
    pass(20);
    times.measure('logging', () => {
      pass(5);
    });
    pass(3);
    return 'done';
  });
  pass(500);
  assert.equal(found, 'done');
  assert.equal(times.totalMs('planning'), 23);
  assert.equal(times.totalMs('logging'), 5);
  assert.equal(times.totalMs('reports'), 0);
});

test('a part that fails ends', () => {
  let now = 0;
  const times = new PartTimes(() => now);
  assert.throws(() =>
    times.measure('reports', () => {
      now += 7;
      throw new Error('no');
    }),
  );
  now += 100;
  times.measure('orders', () => undefined);
  assert.equal(times.totalMs('reports'), 7);
});
