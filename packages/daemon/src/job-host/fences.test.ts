import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Fences } from './fences.js';

test('each incarnation of a worker gets a higher fence', () => {
  const exhausted: string[] = [];
  const fences = new Fences(5, 7, worker => exhausted.push(worker));
  assert.equal(fences.next('w'), 5);
  assert.equal(fences.next('w'), 6);
  assert.equal(fences.next('v'), 5);
  assert.deepEqual(exhausted, []);
});

test('no fence exceeds that of the epoch, since higher ones belong to the next leader', () => {
  const exhausted: string[] = [];
  const fences = new Fences(5, 6, worker => exhausted.push(worker));
  assert.deepEqual(
    [1, 2, 3].map(() => fences.next('w')),
    [5, 6, 6],
  );
  assert.deepEqual(exhausted, ['w']);
});
