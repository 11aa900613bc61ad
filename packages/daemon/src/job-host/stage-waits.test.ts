import assert from 'node:assert/strict';
import { test } from 'node:test';

import { StageWaits } from './stage-waits.js';

test('waits are told by stage, and only once', () => {
  const waits = new StageWaits();
  waits.note('read', 10);
  waits.note('read', 30);
  waits.note('send', 5.4);
  assert.deepEqual(waits.take(), {
    read: { count: 2, meanMs: 20, longestMs: 30 },
    send: { count: 1, meanMs: 5, longestMs: 5 },
  });
  assert.deepEqual(waits.take(), {});
});
