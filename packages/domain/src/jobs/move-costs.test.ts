import assert from 'node:assert/strict';
import { test } from 'node:test';

import { usableMoveCosts } from './move-costs.js';

const COSTS = { stopMs: 200, restoreMs: 100 };

function queues(...targets: number[]): { targetLatencyMs: number }[] {
  return targets.map(targetLatencyMs => ({ targetLatencyMs }));
}

test('moves are used if a stop takes no longer than the shortest target', () => {
  assert.equal(usableMoveCosts(COSTS, queues(1_000, 200)), COSTS);
});

test('moves are not used if a stop takes longer than the shortest target', () => {
  assert.equal(usableMoveCosts(COSTS, queues(1_000, 199)), undefined);
});

// Guards against moves being switched on by queues that have no target, such as routes that nobody uses.
test('queues without a target do not count', () => {
  assert.equal(usableMoveCosts(COSTS, queues(0, 0)), undefined);
  assert.equal(usableMoveCosts(COSTS, queues(0, 300)), COSTS);
});

test('moves are not used on a platform that does not tell their costs', () => {
  assert.equal(usableMoveCosts(undefined, queues(1_000)), undefined);
});

// Guards against a leader of 1,000 workers that falls behind because placing by the forecast takes its time.
test('moves are not used in fleets that take all of a leader as it is', () => {
  assert.equal(usableMoveCosts(COSTS, queues(1_000), 500), COSTS);
  assert.equal(usableMoveCosts(COSTS, queues(1_000), 501), undefined);
});
