import assert from 'node:assert/strict';
import test from 'node:test';

import {
  applyLeaseRecord,
  createLeaseState,
  leaseExpiresAt,
  type LeaseState,
} from './leases.js';
import {
  decodeLeaseRecord,
  leaseEnvelope,
  type LeaseRecord,
} from './records.js';
import { exportLeases, importLeases } from './snapshot.js';

const A = { owner: 'a', incarnation: '1' };
const B = { owner: 'b', incarnation: '1' };
const LEASE = { leaseMs: 10_000 };
const MARGIN = { drift: 0.001, marginMs: 500 };

function claim(by: typeof A, epoch: number, seen: number): LeaseRecord {
  return { kind: 'claim', shard: 's', epoch, ...by, ...LEASE, seen };
}

function renew(by: typeof A): LeaseRecord {
  return { kind: 'renew', ...by, ...LEASE };
}

function release(by: typeof A, epoch: number): LeaseRecord {
  return { kind: 'release', shard: 's', epoch, ...by };
}

function apply(
  state: LeaseState,
  records: readonly LeaseRecord[],
  from = 0,
): string[] {
  return records.map((record, i) => {
    const at = { offset: from + i, index: 0 };
    const verdict = applyLeaseRecord(state, record, at, 100 * (from + i));
    return verdict.kind === 'void' ? verdict.reason : verdict.kind;
  });
}

test('the first of two racing claims wins', () => {
  const state = createLeaseState();
  const verdicts = apply(state, [claim(A, 1, 0), claim(B, 1, 0)]);
  assert.deepEqual(verdicts, ['claimed', 'stale_epoch']);
  assert.equal(state.shards.get('s')?.holder?.owner, 'a');
});

test('a claim is void if the claimer has not read the latest renewal', () => {
  const state = createLeaseState();
  const verdicts = apply(state, [
    claim(A, 1, 0),
    renew(A),
    claim(B, 2, 1),
    claim(B, 2, 2),
  ]);
  assert.deepEqual(verdicts, [
    'claimed',
    'renewed',
    'renewed_meanwhile',
    'claimed',
  ]);
});

test('a released shard may be claimed at once, even by a claimer that has not read the release', () => {
  const state = createLeaseState();
  const verdicts = apply(state, [
    claim(A, 1, 0),
    release(A, 1),
    claim(B, 2, 0),
  ]);
  assert.deepEqual(verdicts, ['claimed', 'released', 'claimed']);
});

test('a superseded owner cannot renew, release or claim again with an old epoch', () => {
  const state = createLeaseState();
  apply(state, [claim(A, 1, 0), claim(B, 2, 1)]);
  const late = [renew(A), release(A, 1), release(A, 2), claim(A, 2, 9)];
  assert.deepEqual(apply(state, late, 2), [
    'not_holder',
    'not_holder',
    'not_holder',
    'stale_epoch',
  ]);
  assert.equal(state.shards.get('s')?.epoch, 2);
});

test('a restarted process is not the holder of its earlier leases', () => {
  const state = createLeaseState();
  const restarted = { owner: 'a', incarnation: '2' };
  const verdicts = apply(state, [claim(A, 1, 0), renew(restarted)]);
  assert.deepEqual(verdicts, ['claimed', 'not_holder']);
});

test('a lease expires for an observer its duration, drift and margin after the renewal was read', () => {
  const state = createLeaseState();
  apply(state, [claim(A, 1, 0), renew(A)]);
  const lease = state.shards.get('s');
  assert.ok(lease);
  assert.equal(leaseExpiresAt(lease, MARGIN), 100 + 10_010 + 500);
});

test('a state restored from a snapshot gives the same verdicts and restarts all waits', () => {
  const state = createLeaseState();
  apply(state, [claim(A, 1, 0), renew(A)]);
  const text = JSON.stringify(exportLeases(state));
  const restored = importLeases(JSON.parse(text), 7_000).unwrapOr(undefined);
  assert.ok(restored);
  assert.equal(restored.shards.get('s')?.observedAt, 7_000);
  const next = [claim(B, 2, 1), claim(B, 2, 2)];
  assert.deepEqual(apply(restored, next, 2), apply(state, next, 2));
});

test('records are decoded from their envelopes and malformed ones are rejected', () => {
  const record = claim(A, 1, 0);
  const back = decodeLeaseRecord(leaseEnvelope('x', record));
  assert.deepEqual(back.unwrapOr(undefined), record);
  for (const body of [undefined, {}, { shard: 's', epoch: 0 }]) {
    const bad = decodeLeaseRecord({ id: 'x', kind: 'claim', body });
    assert.equal(bad.isErr && bad.error.kind, 'invalid');
  }
});
