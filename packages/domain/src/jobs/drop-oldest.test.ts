/* Guards against sets of remembered jobs and queues that grow without bound, or forget the newest entry. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { dropOldest } from './drop-oldest.js';

test('the entries that were added first are dropped beyond the maximum', () => {
  const map = new Map([
    ['b', 1],
    ['a', 2],
    ['c', 3],
  ]);
  dropOldest(map, 2);
  assert.deepEqual([...map.keys()], ['a', 'c']);
  const set = new Set(['b', 'a', 'c']);
  dropOldest(set, 1);
  assert.deepEqual([...set], ['c']);
});

test('nothing is dropped up to the maximum', () => {
  const set = new Set(['a', 'b']);
  dropOldest(set, 2);
  assert.equal(set.size, 2);
});
