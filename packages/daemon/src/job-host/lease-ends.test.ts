import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Instant } from '@paddlewind/domain';
import type { LeaseHandover, JournalRecord } from '@paddlewind/domain/jobs';

import { LeaseEnds } from './lease-ends.js';
import {
  claim,
  endsFromBeginning,
  heartbeat,
} from './lease-records.fixture.test.js';
import {
  MAX_LEASE_AFTER_LAST_RECORD_MS,
  DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS,
} from './timing.js';

/** How long a leader reports that its leases hold after each of its records. */
const MAX_LEASE_MS = Math.ceil(MAX_LEASE_AFTER_LAST_RECORD_MS);
const NOBODY: LeaseHandover = { epochs: [], workers: [] };
const LEARNED: JournalRecord = {
  kind: 'learnt',
  learnt: { runTimes: [], pressures: [], lowTails: [] },
} as unknown as JournalRecord;

/** Applies the claim of another leader, and its first heartbeat with the leases that it hands over. */
function applyLeader(
  ends: LeaseEnds,
  epoch: number,
  now: Instant,
  { epochs, workers }: LeaseHandover = NOBODY,
): void {
  const own = [epoch, MAX_LEASE_MS] as const;
  ends.applyRecord(claim(epoch), epoch, now);
  const handed = { epochs: [...epochs, own], workers };
  ends.applyRecord(heartbeat(epoch, handed), epoch, now);
}

test('leases of a leader end a fixed time after its last record', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  ends.applyRecord(LEARNED, 1, 900);
  applyLeader(ends, 2, 2_400, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 900 + MAX_LEASE_MS);
});

test('leases of the newest leader have no end', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  assert.equal(ends.leaseEndFor('w', 1), Infinity);
});

test('leases of a leader that releases the lead end with those that it granted last', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  ends.applyRecord({ kind: 'release', heldMs: 5_200 }, 1, 1_000);
  ends.applyRecord(LEARNED, 1, 1_400);
  applyLeader(ends, 2, 1_500, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 6_200);
});

test('a release without a time ends no lease sooner', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  ends.applyRecord({ kind: 'release', heldMs: undefined }, 1, 1_000);
  ends.applyRecord(LEARNED, 1, 1_400);
  applyLeader(ends, 2, 1_500, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 1_400 + MAX_LEASE_MS);
});

test('a restarted host takes over the remaining times', () => {
  const [running, restarted] = [endsFromBeginning(), new LeaseEnds()];
  applyLeader(running, 1, 100.7);
  applyLeader(running, 2, 2_000, { epochs: [[1, 9_000]], workers: [] });
  const handed = running.leasesToHandOver(2, MAX_LEASE_MS, 3_000);
  assert.ok(handed);
  restarted.applyRecord(claim(1), 1, 10_000);
  restarted.applyRecord(claim(2), 2, 10_000);
  restarted.applyRecord(heartbeat(2, handed), 2, 10_000);
  const left = 100.7 + MAX_LEASE_MS - 3_000;
  const end = restarted.leaseEndFor('w', 1);
  assert.ok(end >= 10_000 + left && end < 10_001 + left, String(end));
});

test('a shorter remaining time that a host knows itself takes precedence', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  applyLeader(ends, 2, 200, { epochs: [[1, 20_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 100 + MAX_LEASE_MS);
});

test('reported ends are never too early, however late they are read', () => {
  for (const reportedAt of [1_000, 777.7, 2_500.3]) {
    for (const delayMs of [0, 0.4, 20]) {
      const [running, restarted] = [endsFromBeginning(), new LeaseEnds()];
      applyLeader(running, 1, 100.7);
      applyLeader(running, 2, 500.2, { epochs: [[1, 9_000]], workers: [] });
      restarted.applyRecord(
        heartbeat(2, running.leasesToHandOver(2, MAX_LEASE_MS, reportedAt)),
        2,
        reportedAt + delayMs,
      );
      assert.ok(restarted.leaseEndFor('w', 1) >= running.leaseEndFor('w', 1));
    }
  }
});

test('leases of leaders that are not reported have expired', () => {
  const ends = new LeaseEnds();
  applyLeader(ends, 7, 1_000, { epochs: [[6, 3_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 6), 4_000);
  assert.ok(ends.leaseEndFor('w', 5) <= 1_000);
});

test('a host that may not know all leaders hands nothing over', () => {
  const ends = new LeaseEnds();
  assert.equal(ends.leasesToHandOver(8, 0, 0), undefined);
  ends.applyRecord(claim(7), 7, 1_000);
  assert.equal(ends.leasesToHandOver(8, 0, 1_000), undefined);
  assert.equal(
    ends.leaseEndFor('w', 6),
    1_000 + DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS,
  );
  assert.ok(
    ends.leasesToHandOver(8, 0, 1_000 + DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS),
  );
});

test('leases of a leader that does not report them hold for the maximum time', () => {
  const ends = endsFromBeginning();
  ends.applyRecord(claim(1), 1, 100);
  applyLeader(ends, 2, 200, { epochs: [[1, 20_000]], workers: [] });
  assert.equal(
    ends.leaseEndFor('w', 1),
    100 + DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS,
  );
});

test('a leader that hands nothing over leaves the known ends of earlier ones', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  ends.applyRecord(claim(2), 2, 200);
  assert.equal(ends.leaseEndFor('w', 1), 100 + MAX_LEASE_MS);
});

test('the lease of an unresponsive worker ends as reported, whoever leads next', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [[1, 7_700]], workers }), 1, 1_000);
  applyLeader(ends, 2, 2_000, { epochs: [[1, 7_700]], workers });
  assert.equal(ends.leaseEndFor('w', 1), 4_000);
  assert.equal(ends.leaseEndFor('v', 1), 8_700);
});

test('a worker that was reached since is no longer unresponsive', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [], workers }), 1, 1_000);
  ends.applyRecord({ kind: 'reached', worker: 'w' }, 1, 1_500);
  applyLeader(ends, 2, 1_600, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 1_500 + MAX_LEASE_MS);
});

test('a worker that the leader no longer reports answers it', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [], workers }), 1, 1_000);
  ends.applyRecord(heartbeat(1, NOBODY), 1, 2_000);
  applyLeader(ends, 2, 2_100, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.leaseEndFor('w', 1), 2_000 + MAX_LEASE_MS);
});

test('reading the journal again changes nothing', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  applyLeader(ends, 2, 200, { epochs: [[1, 7_700]], workers: [] });
  applyLeader(ends, 3, 300, { epochs: [[2, 9_700]], workers: [] });
  applyLeader(ends, 1, 9_000);
  applyLeader(ends, 2, 9_000);
  assert.equal(ends.leaseEndFor('w', 2), 200 + MAX_LEASE_MS);
  assert.ok(ends.leaseEndFor('w', 1) <= 300);
});

test('ends are reported in whole milliseconds, never too early', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100.3);
  const left =
    ends.leasesToHandOver(2, MAX_LEASE_MS, 1_000)?.epochs[0]?.[1] ?? 0;
  assert.ok(Number.isInteger(left));
  assert.ok(left >= 100.3 + MAX_LEASE_MS - 1_000);
});

test('expired leases are no longer reported', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  const handed = ends.leasesToHandOver(2, MAX_LEASE_MS, 100 + MAX_LEASE_MS);
  assert.deepEqual(handed, { epochs: [[2, MAX_LEASE_MS]], workers: [] });
});

test('the expired lease of an unresponsive worker is still reported', () => {
  const ends = endsFromBeginning();
  applyLeader(ends, 1, 100);
  const handed: LeaseHandover = { epochs: [[1, 7_700]], workers: [['w', 500]] };
  ends.applyRecord(heartbeat(1, handed), 1, 1_000);
  const claimed = ends.leasesToHandOver(2, MAX_LEASE_MS, 3_000);
  assert.deepEqual(claimed?.workers, [['w', 0]]);
  applyLeader(ends, 2, 3_000, claimed);
  assert.equal(ends.leaseEndFor('w', 1), 1_500);
});
