import assert from 'node:assert/strict';
import { test } from 'node:test';

import { JournalTime } from './journal-time.js';

test('journal time is the sum of the times that leaders report to have led', () => {
  const time = new JournalTime();
  time.noteClaim(1);
  time.noteLeadTime(1, 1_000);
  time.noteLeadTime(1, 2_500);
  time.noteClaim(2);
  assert.equal(time.previousLeaderUntil, 2_500);
  time.noteLeadTime(2, 400);
  assert.equal(time.now, 2_900);
});

test('records of an earlier leader, repeated records and records without a time add nothing', () => {
  const time = new JournalTime();
  time.noteClaim(2);
  time.noteLeadTime(2, 1_000);
  time.noteLeadTime(1, 9_000);
  time.noteLeadTime(2, 1_000);
  time.noteLeadTime(2, 500);
  time.noteLeadTime(2, undefined);
  assert.equal(time.now, 1_000);
});

test('the time of a leader whose claim is not in the log counts from its first record', () => {
  const time = new JournalTime();
  time.noteLeadTime(7, 60_000);
  assert.equal(time.now, 0);
  time.noteLeadTime(7, 61_000);
  assert.equal(time.now, 1_000);
});

test('the time of a moment is unknown until the next record of a leader', () => {
  const time = new JournalTime();
  time.noteClaim(1);
  time.noteLeadTime(1, 1_000);
  const { currentMoment } = time;
  assert.equal(currentMoment.nextRecordSlow, Infinity);
  // The log was unavailable for eight seconds.
  time.noteLeadTime(1, 9_000);
  assert.equal(currentMoment.nextRecordSlow, 9_000);
});

test('the age of a moment is bounded by the silences since then', () => {
  const time = new JournalTime();
  time.noteClaim(1);
  time.noteLeadTime(1, 0);
  time.noteLeadTime(1, 1_000);
  const { currentMoment } = time;
  time.noteLeadTime(1, 1_400);
  time.noteLeadTime(1, 3_000);
  time.noteClaim(2);
  assert.deepEqual(time.spanBeforeLeader(currentMoment), {
    from: 1_600,
    to: Infinity,
  });
  time.noteLeadTime(2, 0, { from: 1_200, to: 2_000 });
  assert.deepEqual(time.spanBeforeLeader(currentMoment), {
    from: 2_800,
    to: 4_000,
  });
  time.noteLeadTime(2, 5_000, { from: 1_200, to: 2_000 });
  assert.deepEqual(time.spanBeforeLeader(currentMoment), {
    from: 2_800,
    to: 4_000,
  });
  time.noteClaim(3);
  time.noteLeadTime(3, 0, { from: 100, to: 300 });
  assert.deepEqual(time.spanBeforeLeader(currentMoment), {
    from: 7_900,
    to: 9_300,
  });
});

test('moments before a silence of unknown length have no upper bound on their age', () => {
  const time = new JournalTime();
  time.noteClaim(1);
  time.noteLeadTime(1, 1_000);
  const { currentMoment: early } = time;
  time.noteLeadTime(1, 1_400);
  time.noteClaim(2);
  time.noteLeadTime(2, 0);
  const { currentMoment: late } = time;
  time.noteLeadTime(2, 500);
  time.noteClaim(3);
  time.noteLeadTime(3, 0, { from: 100, to: 300 });
  assert.deepEqual(time.spanBeforeLeader(early), { from: 600, to: Infinity });
  assert.deepEqual(time.spanBeforeLeader(late), { from: 100, to: 800 });
});
