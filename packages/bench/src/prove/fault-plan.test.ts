import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '@paddlewind/domain';

import { drawFaults } from './fault-plan.js';

test('a seed always draws the same faults, another seed others', () => {
  const draw = (seed: number) => drawFaults(seededRandom(seed), 30);
  assert.deepEqual(draw(1), draw(1));
  assert.notDeepEqual(draw(1), draw(2));
});

test('faults are in order, within the run, and of every kind in half a minute', () => {
  for (let seed = 0; seed < 20; seed++) {
    const faults = drawFaults(seededRandom(seed), 30);
    const instants = faults.map(fault => fault.at);
    assert.deepEqual(
      instants,
      instants.toSorted((a, b) => a - b),
    );
    assert.ok(instants.every(at => at < 30_000));
    assert.equal(new Set(faults.map(fault => fault.kind)).size, 16);
  }
});
