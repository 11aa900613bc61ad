import assert from 'node:assert/strict';
import test from 'node:test';

import { decideOwnership, type OwnershipView } from './decide.js';
import { applyLeaseRecord, createLeaseState } from './leases.js';

const TIMING = {
  drift: 0,
  marginMs: 500,
  claimStepMs: 1_000,
  aliveGraceMs: 4_000,
  settleMs: 30_000,
};
const SHARD = { name: 's', availabilityZone: 'z' };

function heldBy(owner: string, readAt: number): OwnershipView['leases'] {
  const leases = createLeaseState();
  const by = { owner, incarnation: '1', leaseMs: 10_000 };
  const claim = {
    kind: 'claim',
    shard: 's',
    epoch: 1,
    ...by,
    seen: 0,
  } as const;
  applyLeaseRecord(leases, claim, { offset: 0, index: 0 }, readAt);
  return leases;
}

function view(self: string, change: Partial<OwnershipView>): OwnershipView {
  const members = ['a', 'b', 'c'].map(id => ({
    id,
    availabilityZone: 'z',
    liveSince: 0,
  }));
  return {
    self,
    incarnation: '1',
    shards: [SHARD],
    members,
    alive: new Set(['a', 'b', 'c']),
    leases: createLeaseState(),
    logGoodSince: 0,
    timing: TIMING,
    ...change,
  };
}

function claimers(change: Partial<OwnershipView>, now: number): string[] {
  return ['a', 'b', 'c'].filter(
    self => decideOwnership(view(self, change), now).length > 0,
  );
}

test('members may claim a free shard in order of preference', () => {
  assert.equal(claimers({}, 0).length, 1);
  assert.equal(claimers({}, 1_000).length, 2);
  assert.equal(claimers({}, 2_000).length, 3);
});

test('an expired lease is claimed after the margin, and later while its holder is alive', () => {
  const leases = heldBy('gone', 0);
  assert.equal(claimers({ leases }, 10_499).length, 0);
  assert.equal(claimers({ leases }, 10_500).length, 1);
  const alive = new Set(['gone']);
  assert.equal(claimers({ leases, alive }, 14_499).length, 0);
  assert.equal(claimers({ leases, alive }, 14_500).length, 1);
});

test('no shard is claimed during an outage of the log or within one lease after it', () => {
  const leases = heldBy('gone', 0);
  const inOutage = { leases, logGoodSince: Number.POSITIVE_INFINITY };
  assert.equal(claimers(inOutage, 1e9).length, 0);
  const after = { leases, logGoodSince: 60_000 };
  assert.equal(claimers(after, 70_499).length, 0);
  assert.equal(claimers(after, 70_500).length, 1);
});

test('a shard is handed over only after members and holder have been stable', () => {
  const [preferred = ''] = claimers({}, 0);
  const other = preferred === 'a' ? 'b' : 'a';
  const leases = heldBy(other, 5_000);
  const unsettled = decideOwnership(view(other, { leases }), 34_999);
  assert.deepEqual(unsettled, []);
  const settled = decideOwnership(view(other, { leases }), 35_000);
  assert.deepEqual(settled, [{ kind: 'release', shard: 's', epoch: 1 }]);
  assert.deepEqual(
    decideOwnership(view(preferred, { leases: heldBy(preferred, 0) }), 9_000),
    [],
  );
});
