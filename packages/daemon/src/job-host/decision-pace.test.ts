/*
 * Guards against limits that suit one machine: with fixed ones a leader that was slowed five times read reports
 * for seconds and made one round a second, until another host claimed, which then began no more than a fixed
 * number of starts at a time while hundreds of tasks had waited.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { DecisionPace } from './decision-pace.js';
import { StageWaits } from './stage-waits.js';

/** A saturated leader whose rounds take a given time. */
class PacedLeader {
  now = 0;
  saturated = true;
  readonly pace = new DecisionPace({
    clock: () => this.now,
    isSaturated: () => this.saturated,
    waits: new StageWaits(),
  });

  /** Makes rounds of `ms` until the average has followed. */
  round(ms: Millis): void {
    for (let count = 0; count < 20; count += 1) {
      this.pace.begin();
      this.now += ms;
      this.pace.end();
    }
  }
}

test('the slower rounds are, the fewer starts are in flight, and some always', () => {
  const leader = new PacedLeader();
  const starts = [50, 125, 250, 1_000, 100_000].map(ms => {
    leader.round(ms);
    return leader.pace.maxStarts;
  });
  assert.deepEqual(starts, [200, 200, 100, 25, 8]);
});

test('the slower rounds are, the less often workers are polled, and every 2 s at the least', () => {
  const leader = new PacedLeader();
  const intervals = [50, 250, 1_000].map(ms => {
    leader.round(ms);
    return leader.pace.pollIntervalMs(246, false);
  });
  assert.deepEqual(intervals, [274, 547, 2_000]);
});

test('workers with urgent tasks are polled at once only while rounds are in time', () => {
  const leader = new PacedLeader();
  leader.round(125);
  assert.equal(leader.pace.pollIntervalMs(246, true), 0);
  leader.round(300);
  assert.ok(leader.pace.pollIntervalMs(246, true) > 500);
});

// A leader that is slowed learns it in the middle of a round, and the next one may be a second away.
test('a round that is not finished counts as soon as it is late', () => {
  const leader = new PacedLeader();
  leader.round(50);
  leader.pace.begin();
  leader.now += 1_000;
  assert.equal(leader.pace.maxStarts, 25);
});

test('nothing is limited while the host has time to spare', () => {
  const leader = new PacedLeader();
  leader.round(1_000);
  leader.saturated = false;
  assert.equal(leader.pace.maxStarts, Infinity);
  assert.equal(leader.pace.pollIntervalMs(246, false), 0);
});

test('a report tells the rounds since the last one, and the limits in force', () => {
  const leader = new PacedLeader();
  leader.round(250);
  const limits = { maxStarts: 100, pollIntervalMs: 547 };
  assert.deepEqual(leader.pace.takeReport(246), {
    rounds: 20,
    longestRoundMs: 250,
    ...limits,
  });
  const later = leader.pace.takeReport(246);
  assert.deepEqual(later, { rounds: 0, longestRoundMs: 0, ...limits });
  leader.saturated = false;
  assert.equal(leader.pace.takeReport(246).maxStarts, null);
});
