import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { seededRandom } from '../core/random.js';
import { createDedupeWindow } from './dedupe.js';
import { createSnapshotAssembler, snapshotRecords } from './snapshot.js';

test('a snapshot is assembled from its chunks in any order', () => {
  fc.assert(
    fc.property(
      fc.string({ maxLength: 200 }),
      fc.integer({ min: 1, max: 50 }),
      fc.nat(),
      (text, chunkChars, seed) => {
        const random = seededRandom(seed);
        const snapshot = { offset: 7, text, hash: 'h' };
        const records = snapshotRecords(snapshot, chunkChars);
        const shuffled = records
          .map(record => ({ record, rank: random() }))
          .sort((a, b) => a.rank - b.rank)
          .map(({ record }) => record);
        const assembler = createSnapshotAssembler();
        const last = shuffled.pop();
        assert.ok(last);
        for (const record of shuffled) {
          assert.equal(assembler.add(record), undefined);
        }
        assert.deepEqual(assembler.add(last), snapshot);
      },
    ),
    { seed: 3, numRuns: 100 },
  );
});

test('incomplete and malformed snapshots are not returned', () => {
  const assembler = createSnapshotAssembler();
  const chunks = snapshotRecords({ offset: 1, text: 'abcd', hash: 'h' }, 2);
  const [first] = chunks;
  assert.ok(first);
  assert.equal(assembler.add(first), undefined);
  assert.equal(assembler.add(first), undefined);
  assert.equal(assembler.add({ ...first, body: { offset: 'x' } }), undefined);
  assert.equal(assembler.newest(), 1);
});

test('the dedupe window is bounded and the same after a restore', () => {
  const window = createDedupeWindow([], 3);
  assert.deepEqual(
    ['a', 'b', 'a', 'c', 'd', 'a'].map(id => window.addIfNew(id)),
    [true, true, false, true, true, true],
  );
  const restored = createDedupeWindow(window.ids(), 3);
  assert.deepEqual(restored.ids(), ['c', 'd', 'a']);
});
