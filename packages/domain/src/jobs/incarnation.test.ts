import assert from 'node:assert/strict';
import { test } from 'node:test';

import { incarnationOf, startTimeOf, workerIdOf } from './incarnation.js';

test('the name of an incarnation contains its worker id and start time', () => {
  const name = incarnationOf('i-1', 1_700);
  assert.equal(workerIdOf(name), 'i-1');
  assert.equal(startTimeOf(name), 1_700);
  assert.notEqual(name, incarnationOf('i-1', 1_701));
});

test('without a start time the name is the worker id', () => {
  assert.equal(incarnationOf('i-1', undefined), 'i-1');
  assert.equal(workerIdOf('i-1'), 'i-1');
  assert.equal(startTimeOf('i-1'), undefined);
});

test('a worker id that contains the separator is not truncated', () => {
  for (const id of ['a@b', 'a@', 'a@-1', 'a@0.5', '@']) {
    assert.equal(workerIdOf(id), id);
    assert.equal(workerIdOf(incarnationOf(id, 5)), id);
  }
});
