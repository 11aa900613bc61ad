import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from './context.fixture.test.js';
import { keepRunning } from './keep-running.js';

test('a loop that fails is restarted, with increasing delays', async () => {
  const time = createVirtualTime();
  const start = time.clock();
  const startedAt: number[] = [];
  void keepRunning(testContext(time), 'test', () => {
    startedAt.push(time.clock() - start);
    return Promise.reject(new Error('planned'));
  });
  await time.advance(1_600);
  assert.deepEqual(startedAt, [0, 100, 300, 700, 1_500]);
});

test('a loop that returns is not restarted', async () => {
  const time = createVirtualTime();
  let runs = 0;
  await keepRunning(testContext(time), 'test', () => {
    runs += 1;
    return Promise.resolve();
  });
  assert.equal(runs, 1);
});
