import assert from 'node:assert/strict';
import { test } from 'node:test';

import { AdaptiveReadSize } from './adaptive-read-size.js';

test('a failed read shrinks the next one, down to a minimum', () => {
  const readSize = new AdaptiveReadSize();
  const first = readSize.bytes;
  readSize.noteFailure();
  assert.equal(readSize.bytes, first / 2);
  for (let attempt = 0; attempt < 10; attempt += 1) {
    readSize.noteFailure();
  }
  assert.equal(readSize.bytes, 65_536);
});

test('fast answers let reads grow, slow ones shrink them', () => {
  const readSize = new AdaptiveReadSize();
  for (let reads = 0; reads < 10; reads += 1) {
    readSize.noteAnswer(50, readSize.bytes);
  }
  assert.equal(readSize.bytes, 1_048_576);
  readSize.noteAnswer(500, 1_048_576);
  assert.equal(readSize.bytes, 1_048_576);
  readSize.noteAnswer(900, 1_048_576);
  assert.equal(readSize.bytes, 524_288);
});

test('an answer without a record enlarges the next read: the next record may be large', () => {
  const readSize = new AdaptiveReadSize();
  readSize.noteFailure();
  const before = readSize.bytes;
  readSize.noteAnswer(900, 0);
  assert.equal(readSize.bytes, 2 * before);
});

test('small answers say nothing about the speed of a link', () => {
  const readSize = new AdaptiveReadSize();
  const before = readSize.bytes;
  readSize.noteAnswer(5, 200);
  assert.equal(readSize.bytes, before);
});
