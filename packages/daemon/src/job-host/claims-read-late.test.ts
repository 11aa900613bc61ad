/*
 * Guards against leases that count as expired too early after a claim. The claim's writer last read
 * the journal before it sent the claim. By the time the claim is in the journal, the former
 * leader may have written more, other leaders may have led (a host whose claim was refused skips
 * epochs), and a copy that starts with a trimmed journal does not know which leader reached a
 * worker.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { encodeRecord, type JournalRecord } from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import {
  claim,
  endsFromBeginning,
  heartbeat,
} from './lease-records.fixture.test.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';
import { MAX_LEASE_AFTER_LAST_RECORD_MS, TASK_LEASE_MS } from './timing.js';

const HELD_MS = Math.ceil(MAX_LEASE_AFTER_LAST_RECORD_MS);

test('a worker that was reached after the claimer last read does not count as silent', () => {
  const [claimer, reader] = [endsFromBeginning(), endsFromBeginning()];
  const silent = heartbeat(1, { epochs: [[1, 7_703]], workers: [['w', 500]] });
  for (const ends of [claimer, reader]) {
    ends.applyRecord(claim(1), 1, 100);
    ends.applyRecord(silent, 1, 1_000);
  }
  const delayedClaim = claim(2);
  // Meanwhile the leader records that the worker answers again, and extends its lease.
  for (const ends of [claimer, reader]) {
    ends.applyRecord({ kind: 'reached', worker: 'w' }, 1, 1_450);
    ends.applyRecord(delayedClaim, 2, 1_500);
    const end = ends.leaseEndFor('w', 1);
    assert.ok(end >= 1_450 + TASK_LEASE_MS, `ended at ${end}`);
  }
});

test('a leader that wrote after the claimer last read has given leases since then', () => {
  const reader = endsFromBeginning();
  reader.applyRecord(claim(1), 1, 100);
  // The leader was cut off for 1.3 s: the claim was sent then and is carried out 2 s later.
  const delayedClaim = claim(2);
  reader.applyRecord(
    heartbeat(1, { epochs: [[1, HELD_MS]], workers: [] }),
    1,
    3_300,
  );
  reader.applyRecord(delayedClaim, 2, 3_400);
  const end = reader.leaseEndFor('w', 1);
  assert.ok(end >= 3_300 + MAX_LEASE_AFTER_LAST_RECORD_MS, `ended at ${end}`);
});

test('a leader unknown to the claimer may have given leases', () => {
  const reader = endsFromBeginning();
  reader.applyRecord(claim(1), 1, 100);
  // A host whose claim was refused skips epochs.
  const delayedClaim = claim(5);
  reader.applyRecord(claim(2), 2, 1_410);
  reader.applyRecord({ kind: 'reached', worker: 'w' }, 2, 1_500);
  reader.applyRecord(delayedClaim, 5, 1_600);
  const end = reader.leaseEndFor('w', 2);
  assert.ok(end >= 1_500 + TASK_LEASE_MS, `ended at ${end}`);
});

test('a host that missed records does not know of all leaders', () => {
  const ends = endsFromBeginning();
  ends.applyRecord(claim(3), 3, 100);
  // This host followed the summary meanwhile. The records of leader 4 are no longer kept, and
  // leader 5 hands over nothing.
  ends.noteGap();
  ends.applyRecord(claim(5), 5, 90_000);
  const end = ends.leaseEndFor('w', 4);
  assert.ok(end >= 90_000 + TASK_LEASE_MS, `ended at ${end}`);
});

/**
 * Returns a restatement of a job with a task running on `worker`; without it a claim would drop the
 * record of who reached the worker.
 */
function restateOfRun(worker: string): JournalRecord {
  const task = { tasks: 1, after: [], lasting: true };
  const spec = jobOf('00000000000000e1', [task], { runMs: 1, failures: 0 });
  const row = ['running', 1, 0, [], '', [[1, worker]]] as const;
  const steps = [{ tasks: [row], failedGangRuns: [] }];
  return {
    kind: 'restate',
    image: {
      spec,
      acceptedAtWall: 0,
      remaining: 1,
      cancelled: false,
      failed: false,
      begun: true,
      occurrences: [[0, steps]],
    },
  };
}

/** Returns a copy that reads `records` at intervals from a journal without its first records. */
async function replicaOfTrimmedJournal(
  records: readonly JournalRecord[],
  apartMs: Millis,
): Promise<{ replica: Replica; now: () => number }> {
  const time = createVirtualTime();
  const { clock, schedule } = time;
  const log = new MemoryJobLog({ clock, schedule, random: () => 0.5 });
  const port = log.connect('h');
  const settle = async <T>(call: Promise<T>): Promise<T> => {
    await time.advance(apartMs);
    return call;
  };
  await settle(port.append('journal', [encodeRecord(claim(5))]));
  log.trimJournalAndInbox(1);
  const replica = new Replica(testContext(time), port);
  for (const record of records) {
    await settle(port.append('journal', [encodeRecord(record)]));
    await settle(replica.refresh('inbox'));
    await settle(replica.refresh('journal'));
  }
  return { replica, now: clock };
}

test('a worker whose records were dropped has a lease although epochs were skipped', async () => {
  const heartbeatRecord = heartbeat(5, { epochs: [[5, HELD_MS]], workers: [] });
  const { replica, now } = await replicaOfTrimmedJournal(
    [heartbeatRecord, claim(13)],
    50,
  );
  const leftMs = replica.earlierLeaseEnd('w') - now();
  assert.ok(leftMs > TASK_LEASE_MS, `leftMs ${leftMs}`);
});

test('a worker that was reached before the first record of its leader has a lease', async () => {
  const heartbeatRecord = heartbeat(5, { epochs: [[5, HELD_MS]], workers: [] });
  const { replica, now } = await replicaOfTrimmedJournal(
    [
      { kind: 'reached', worker: 'w' },
      heartbeatRecord,
      restateOfRun('w'),
      claim(6),
    ],
    50,
  );
  const leftMs = replica.earlierLeaseEnd('w') - now();
  assert.ok(leftMs > TASK_LEASE_MS, `leftMs ${leftMs}`);
});
