import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { applyInbox, applyJournal } from './fold.js';
import { emptyJobsState } from './jobs-state.js';
import { decodeInbox, decodeJournal } from './record-rows.js';

function bytesOf(row: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(row));
}

test('records of another version are told from known ones', () => {
  const rows = [null, 7, {}, [], ['audit', 1], ['submit', { id: 'x' }]];
  for (const row of rows) {
    assert.equal(decodeInbox(bytesOf(row)), undefined, JSON.stringify(row));
    assert.equal(decodeJournal(bytesOf(row)), undefined, JSON.stringify(row));
  }
  assert.equal(decodeJournal(bytesOf(['restate', { spec: {} }])), undefined);
  assert.equal(decodeJournal(new Uint8Array([0xff, 0])), undefined);
});

test('whatever a record holds, it is folded or passed over', () => {
  const tags = ['submit', 'cancel', 'claim', 'reached', 'b', 's', 'e', 'x'];
  const row = fc.tuple(fc.constantFrom(...tags), fc.jsonValue());
  fc.assert(
    fc.property(row, found => {
      const state = emptyJobsState();
      const asked = decodeInbox(bytesOf(found));
      const decided = decodeJournal(bytesOf(found));
      if (asked !== undefined) {
        applyInbox(state, asked);
      }
      if (decided !== undefined) {
        applyJournal(state, decided);
      }
    }),
    { seed: 1, numRuns: 2_000 },
  );
});
