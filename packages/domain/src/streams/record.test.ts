import assert from 'node:assert/strict';
import test from 'node:test';

import { RECORD_FORMAT, decodeBatch, encodeBatch } from './record.js';

test('a batch is the same after encoding and decoding', () => {
  const records = [{ id: 'a', kind: 'claim', body: { epoch: 1 } }];
  const decoded = decodeBatch(encodeBatch(records)).unwrapOr(undefined);
  assert.deepEqual(decoded?.records, records);
});

test('malformed payloads are invalid', () => {
  for (const payload of [
    '',
    '{',
    '[]',
    '{"format":1}',
    '{"format":1,"records":[{}]}',
  ]) {
    const decoded = decodeBatch(payload);
    assert.equal(decoded.isErr && decoded.error.kind, 'invalid', payload);
  }
});

test('a newer format is unsupported, not malformed', () => {
  const decoded = decodeBatch(
    JSON.stringify({ format: RECORD_FORMAT + 1, records: [] }),
  );
  assert.equal(decoded.isErr && decoded.error.kind, 'unsupported_record');
});
