import assert from 'node:assert/strict';
import { test } from 'node:test';

import { incarnationOf, startTimeOf, workerIdOf } from './incarnation.js';

test('an incarnation tells its worker and its start', () => {
  const name = incarnationOf('i-1', 1_700);
  assert.equal(workerIdOf(name), 'i-1');
  assert.equal(startTimeOf(name), 1_700);
  assert.notEqual(name, incarnationOf('i-1', 1_701));
});

test('without a start the id of the worker is the name', () => {
  assert.equal(incarnationOf('i-1', undefined), 'i-1');
  assert.equal(workerIdOf('i-1'), 'i-1');
  assert.equal(startTimeOf('i-1'), undefined);
});

test('an id that looks like no incarnation is left whole', () => {
  for (const id of ['a@b', 'a@', 'a@-1', 'a@0.5', '@']) {
    assert.equal(workerIdOf(id), id);
    assert.equal(workerIdOf(incarnationOf(id, 5)), id);
  }
});
