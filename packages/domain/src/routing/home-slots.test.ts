import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { homeSlotsOf } from './home-slots.js';

test('every slot is dealt once, evenly, whatever the order of the lists', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 30 }),
      fc.integer({ min: 1, max: 12 }),
      (hostCount, serverCount, slots) => {
        const hosts = Array.from({ length: hostCount }, (_, i) => `e${i}`);
        const servers = Array.from({ length: serverCount }, (_, i) => `s${i}`);
        const shares = hosts.map(host =>
          homeSlotsOf(host, hosts.toReversed(), servers.toReversed(), slots),
        );
        for (const server of servers) {
          const dealt = shares.map(share => share.get(server) ?? 0);
          assert.equal(sum(dealt), slots);
          assert.ok(Math.max(...dealt) - Math.min(...dealt) <= 1);
        }
        const totals = shares.map(share => sum([...share.values()]));
        assert.ok(Math.max(...totals) - Math.min(...totals) <= 1);
      },
    ),
    { seed: 4, numRuns: 100 },
  );
});

test('an entry host that is not on the list has no slots', () => {
  assert.equal(homeSlotsOf('e9', ['e1'], ['s1'], 8).size, 0);
});

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
