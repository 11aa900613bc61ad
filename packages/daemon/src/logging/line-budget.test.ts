import assert from 'node:assert/strict';
import { test } from 'node:test';

import { LineBudget } from './line-budget.js';

/** Offers `count` lines at `now` and returns how many are allowed. */
function countAllowed(
  budget: LineBudget,
  msg: string,
  count: number,
  now: number,
): number {
  let allowed = 0;
  for (let line = 0; line < count; line += 1) {
    allowed += Number(budget.allows(msg, now));
  }
  return allowed;
}

function createBudget(): LineBudget {
  return new LineBudget(10, msg => msg.startsWith('daemon:'));
}

test('each message has its own limit per second', () => {
  const budget = createBudget();
  assert.equal(countAllowed(budget, 'a', 25, 0), 10);
  assert.equal(countAllowed(budget, 'b', 5, 0), 5);
  assert.equal(countAllowed(budget, 'a', 25, 999), 0);
  assert.equal(countAllowed(budget, 'a', 25, 1_000), 10);
});

test('suppressed lines are reported once', () => {
  const budget = createBudget();
  countAllowed(budget, 'a', 25, 0);
  assert.deepEqual([...budget.takeSuppressed()], [['a', 15]]);
  assert.deepEqual([...budget.takeSuppressed()], []);
});

test('unlimited messages are never suppressed', () => {
  const budget = createBudget();
  assert.equal(countAllowed(budget, 'daemon: starts', 1_000, 0), 1_000);
  assert.equal(budget.takeSuppressed().size, 0);
});
