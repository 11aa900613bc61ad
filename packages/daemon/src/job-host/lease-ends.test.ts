import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN, type Instant } from '@paddlewind/domain';
import type { LeaseHandover, JournalRecord } from '@paddlewind/domain/jobs';

import { LeaseEnds } from './lease-ends.js';
import {
  MAX_LEASE_AFTER_LAST_RECORD_MS,
  LONGEST_HELD_UNTOLD_MS,
} from './timing.js';

/** How long a leader says that its leases hold after each of its records. */
const HELD_MS = Math.ceil(MAX_LEASE_AFTER_LAST_RECORD_MS);
const NOBODY: LeaseHandover = { epochs: [], workers: [] };
const LEARNT: JournalRecord = {
  kind: 'learnt',
  learnt: { runTimes: [], pressures: [], lowTails: [] },
} as unknown as JournalRecord;

function claim(epoch: number): JournalRecord {
  return { kind: 'claim', epoch, host: 'h', nonce: 0 };
}

function heartbeat(epoch: number, handed?: LeaseHandover): JournalRecord {
  const leader = {
    epoch,
    host: 'h',
    nonce: 0,
    address: 'h',
    ledForMs: undefined,
    silence: UNKNOWN_SPAN,
  };
  return { kind: 'heartbeat', ...leader, handed, standbys: undefined };
}

/** A host reads that another one leads: its claim, and its first heartbeat with what it hands on. */
function noteLeader(
  ends: LeaseEnds,
  epoch: number,
  now: Instant,
  { epochs, workers }: LeaseHandover = NOBODY,
): void {
  const own = [epoch, HELD_MS] as const;
  ends.applyRecord(claim(epoch), epoch, now);
  const handed = { epochs: [...epochs, own], workers };
  ends.applyRecord(heartbeat(epoch, handed), epoch, now);
}

/** What a host knows that has read the journal from its beginning. */
function endsFromBeginning(): LeaseEnds {
  const ends = new LeaseEnds();
  ends.noteBeginning();
  return ends;
}

test('leases of a leader end a time after its last record', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  ends.applyRecord(LEARNT, 1, 900);
  noteLeader(ends, 2, 2_400, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 900 + HELD_MS);
});

test('leases of the newest leader have no end', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  assert.equal(ends.endFor('w', 1), Infinity);
});

test('leases of a leader that releases the lead end with the last that it gave', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  ends.applyRecord({ kind: 'release', heldMs: 5_200 }, 1, 1_000);
  ends.applyRecord(LEARNT, 1, 1_400);
  noteLeader(ends, 2, 1_500, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 6_200);
});

test('a release that says no time ends nothing sooner', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  ends.applyRecord({ kind: 'release', heldMs: undefined }, 1, 1_000);
  ends.applyRecord(LEARNT, 1, 1_400);
  noteLeader(ends, 2, 1_500, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 1_400 + HELD_MS);
});

test('a host that starts anew takes over what is left', () => {
  const [old, anew] = [endsFromBeginning(), new LeaseEnds()];
  noteLeader(old, 1, 100.7);
  noteLeader(old, 2, 2_000, { epochs: [[1, 9_000]], workers: [] });
  const handed = old.leasesToHandOver(2, HELD_MS, 3_000);
  assert.ok(handed);
  anew.applyRecord(claim(1), 1, 10_000);
  anew.applyRecord(claim(2), 2, 10_000);
  anew.applyRecord(heartbeat(2, handed), 2, 10_000);
  const left = 100.7 + HELD_MS - 3_000;
  const end = anew.endFor('w', 1);
  assert.ok(end >= 10_000 + left && end < 10_001 + left, String(end));
});

test('what a host has known for longer than another tells holds', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  noteLeader(ends, 2, 200, { epochs: [[1, 20_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 100 + HELD_MS);
});

test('what is told is never too early, however late it is read', () => {
  for (const told of [1_000, 777.7, 2_500.3]) {
    for (const way of [0, 0.4, 20]) {
      const [old, anew] = [endsFromBeginning(), new LeaseEnds()];
      noteLeader(old, 1, 100.7);
      noteLeader(old, 2, 500.2, { epochs: [[1, 9_000]], workers: [] });
      anew.applyRecord(
        heartbeat(2, old.leasesToHandOver(2, HELD_MS, told)),
        2,
        told + way,
      );
      assert.ok(anew.endFor('w', 1) >= old.endFor('w', 1));
    }
  }
});

test('leaders that are not told of have no lease that holds', () => {
  const ends = new LeaseEnds();
  noteLeader(ends, 7, 1_000, { epochs: [[6, 3_000]], workers: [] });
  assert.equal(ends.endFor('w', 6), 4_000);
  assert.ok(ends.endFor('w', 5) <= 1_000);
});

test('a host that does not know of all leaders hands nothing on', () => {
  const ends = new LeaseEnds();
  assert.equal(ends.leasesToHandOver(8, 0, 0), undefined);
  ends.applyRecord(claim(7), 7, 1_000);
  assert.equal(ends.leasesToHandOver(8, 0, 1_000), undefined);
  assert.equal(ends.endFor('w', 6), 1_000 + LONGEST_HELD_UNTOLD_MS);
  assert.ok(ends.leasesToHandOver(8, 0, 1_000 + LONGEST_HELD_UNTOLD_MS));
});

test('leases of a leader that says nothing of them hold the longest', () => {
  const ends = endsFromBeginning();
  ends.applyRecord(claim(1), 1, 100);
  noteLeader(ends, 2, 200, { epochs: [[1, 20_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 100 + LONGEST_HELD_UNTOLD_MS);
});

test('a leader that hands nothing on leaves what is known of earlier ones', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  ends.applyRecord(claim(2), 2, 200);
  assert.equal(ends.endFor('w', 1), 100 + HELD_MS);
});

test('the lease of a silent worker ends when the leader says, whoever leads next', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [[1, 7_700]], workers }), 1, 1_000);
  noteLeader(ends, 2, 2_000, { epochs: [[1, 7_700]], workers });
  assert.equal(ends.endFor('w', 1), 4_000);
  assert.equal(ends.endFor('v', 1), 8_700);
});

test('a worker that was reached since is silent no more', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [], workers }), 1, 1_000);
  ends.applyRecord({ kind: 'reached', worker: 'w' }, 1, 1_500);
  noteLeader(ends, 2, 1_600, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 1_500 + HELD_MS);
});

test('a worker that the leader does not name any more answers it', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  const workers = [['w', 3_000]] as const;
  ends.applyRecord(heartbeat(1, { epochs: [], workers }), 1, 1_000);
  ends.applyRecord(heartbeat(1, NOBODY), 1, 2_000);
  noteLeader(ends, 2, 2_100, { epochs: [[1, 9_000]], workers: [] });
  assert.equal(ends.endFor('w', 1), 2_000 + HELD_MS);
});

test('a host that reads the journal once more knows what it knew', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  noteLeader(ends, 2, 200, { epochs: [[1, 7_700]], workers: [] });
  noteLeader(ends, 3, 300, { epochs: [[2, 9_700]], workers: [] });
  noteLeader(ends, 1, 9_000);
  noteLeader(ends, 2, 9_000);
  assert.equal(ends.endFor('w', 2), 200 + HELD_MS);
  assert.ok(ends.endFor('w', 1) <= 300);
});

test('ends are told in whole milliseconds, never less than there is', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100.3);
  const left = ends.leasesToHandOver(2, HELD_MS, 1_000)?.epochs[0]?.[1] ?? 0;
  assert.ok(Number.isInteger(left));
  assert.ok(left >= 100.3 + HELD_MS - 1_000);
});

test('leases that have ended are told no more', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  const handed = ends.leasesToHandOver(2, HELD_MS, 100 + HELD_MS);
  assert.deepEqual(handed, { epochs: [[2, HELD_MS]], workers: [] });
});

test('the lease of a silent worker that has ended is told on', () => {
  const ends = endsFromBeginning();
  noteLeader(ends, 1, 100);
  const handed: LeaseHandover = { epochs: [[1, 7_700]], workers: [['w', 500]] };
  ends.applyRecord(heartbeat(1, handed), 1, 1_000);
  const claimed = ends.leasesToHandOver(2, HELD_MS, 3_000);
  assert.deepEqual(claimed?.workers, [['w', 0]]);
  noteLeader(ends, 2, 3_000, claimed);
  assert.equal(ends.endFor('w', 1), 1_500);
});
