import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '@paddlewind/domain';

import { ARMS, drawFaults, type Arm } from './fault-plan.js';

const SECONDS = 300;

function kindsOf(arm: Arm): Set<string> {
  const faults = drawFaults(seededRandom(1), arm, SECONDS);
  return new Set(faults.map(({ kind }) => kind));
}

test('a seed draws the same faults each time', () => {
  for (const arm of ARMS) {
    assert.deepEqual(
      drawFaults(seededRandom(7), arm, SECONDS),
      drawFaults(seededRandom(7), arm, SECONDS),
    );
  }
});

test('only arms with crashes crash workers', () => {
  const crashes = ['crash_worker', 'crash_series'];
  const found = ARMS.map(arm => [
    arm,
    crashes.filter(kind => kindsOf(arm).has(kind)),
  ]);
  assert.deepEqual(found, [
    ['no_crash', []],
    ['single', ['crash_worker']],
    ['series', ['crash_series']],
    ['series_and_leaders', ['crash_series']],
    ['all', crashes],
  ]);
});

test('the arm of all faults has every kind of the other arms', () => {
  const all = kindsOf('all');
  for (const arm of ARMS) {
    assert.deepEqual(
      [...kindsOf(arm)].filter(kind => !all.has(kind)),
      [],
    );
  }
});
