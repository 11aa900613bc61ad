import assert from 'node:assert/strict';
import { test } from 'node:test';

import { AdaptiveReadSize } from './adaptive-read-size.js';

test('a read that fails asks for less the next time, down to a bound', () => {
  const portion = new AdaptiveReadSize();
  const first = portion.bytes;
  portion.noteFailure();
  assert.equal(portion.bytes, first / 2);
  for (let tries = 0; tries < 10; tries += 1) {
    portion.noteFailure();
  }
  assert.equal(portion.bytes, 65_536);
});

test('quick answers let reads grow, slow ones shrink them', () => {
  const portion = new AdaptiveReadSize();
  for (let reads = 0; reads < 10; reads += 1) {
    portion.noteAnswer(50, portion.bytes);
  }
  assert.equal(portion.bytes, 1_048_576);
  portion.noteAnswer(500, 1_048_576);
  assert.equal(portion.bytes, 1_048_576);
  portion.noteAnswer(900, 1_048_576);
  assert.equal(portion.bytes, 524_288);
});

test('an answer without a record asks for more: the next record may be large', () => {
  const portion = new AdaptiveReadSize();
  portion.noteFailure();
  const before = portion.bytes;
  portion.noteAnswer(900, 0);
  assert.equal(portion.bytes, 2 * before);
});

test('small answers tell nothing of how much a link carries', () => {
  const portion = new AdaptiveReadSize();
  const before = portion.bytes;
  portion.noteAnswer(5, 200);
  assert.equal(portion.bytes, before);
});
