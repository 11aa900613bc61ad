import assert from 'node:assert/strict';
import { test } from 'node:test';

import { LineBudget } from './line-budget.js';

/** Offers `count` lines at `now` and returns how many go out. */
function offer(
  budget: LineBudget,
  msg: string,
  count: number,
  now: number,
): number {
  let admitted = 0;
  for (let line = 0; line < count; line += 1) {
    admitted += Number(budget.admits(msg, now));
  }
  return admitted;
}

function newBudget(): LineBudget {
  return new LineBudget(10, msg => msg.startsWith('daemon:'));
}

test('each message has its own budget a second', () => {
  const budget = newBudget();
  assert.equal(offer(budget, 'a', 25, 0), 10);
  assert.equal(offer(budget, 'b', 5, 0), 5);
  assert.equal(offer(budget, 'a', 25, 999), 0);
  assert.equal(offer(budget, 'a', 25, 1_000), 10);
});

test('what was left out is told once', () => {
  const budget = newBudget();
  offer(budget, 'a', 25, 0);
  assert.deepEqual([...budget.takeLeftOut()], [['a', 15]]);
  assert.deepEqual([...budget.takeLeftOut()], []);
});

test('some messages are never left out', () => {
  const budget = newBudget();
  assert.equal(offer(budget, 'daemon: starts', 1_000, 0), 1_000);
  assert.equal(budget.takeLeftOut().size, 0);
});
