import assert from 'node:assert/strict';
import test from 'node:test';

import { assignShards, type ShardMember } from './assignment.js';

const ZONES = ['olympia', 'tacoma', 'salem'];

const SHARDS = Array.from({ length: 60 }, (_, i) => ({
  name: `shard-${i}`,
  availabilityZone: ZONES[i % ZONES.length] ?? '',
}));

function members(count: number): ShardMember[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `entry-${i}`,
    availabilityZone: ZONES[i % ZONES.length] ?? '',
  }));
}

function countMoved(
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): number {
  return [...before].filter(([shard, id]) => after.get(shard) !== id).length;
}

test('shards are assigned within their availability zone and the load bound', () => {
  const all = members(9);
  const assigned = assignShards(SHARDS, all);
  const counts = new Map<string, number>();
  for (const shard of SHARDS) {
    const id = assigned.get(shard.name) ?? '';
    const owner = all.find(member => member.id === id);
    assert.equal(owner?.availabilityZone, shard.availabilityZone);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.ok(Math.max(...counts.values()) <= Math.ceil((20 / 3) * 1.25));
});

test('the shards of a zone without members are assigned to other zones', () => {
  const only = members(9).filter(m => m.availabilityZone !== 'salem');
  assert.equal(assignShards(SHARDS, only).size, SHARDS.length);
});

test('no shard is assigned without members', () => {
  assert.equal(assignShards(SHARDS, []).size, 0);
});

test('a join or leave moves few shards', () => {
  const before = assignShards(SHARDS, members(9));
  const joined = assignShards(SHARDS, members(10));
  const left = assignShards(SHARDS, members(8));
  assert.ok(
    countMoved(before, joined) <= 10,
    `join moved ${countMoved(before, joined)}`,
  );
  assert.ok(
    countMoved(before, left) <= 12,
    `leave moved ${countMoved(before, left)}`,
  );
});
