/*
 * Guards against jobs that are accepted although the leader can't start them: a leader with little processor
 * time had accepted a backlog of minutes, and most of its jobs never began.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  latenessOf,
  StartRate,
  startDelaysOf,
  type StartDelays,
} from './start-delay.js';
import { stateOf, testJob } from './test-support.js';

const DELAYS: StartDelays = [
  [0, 1_000],
  [2, 9_000],
];

/** Returns the rate of a leader that starts a task each 100 ms and could start more in each round. */
function limitedRate(untilMs: number): StartRate {
  const rate = new StartRate();
  for (let now = 0; now <= untilMs; now += 100) {
    rate.noteRound(now, true);
    rate.noteStarted(now);
  }
  return rate;
}

test('the rate of starts is known only while it is limited for a while', () => {
  assert.equal(limitedRate(500).perSecond(500), undefined);
  const rate = limitedRate(10_000);
  assert.equal(Math.round(rate.perSecond(10_000) ?? 0), 10);
  rate.noteRound(10_100, false);
  assert.equal(rate.perSecond(10_200), undefined);
});

test('a leader that starts nothing has a rate, too', () => {
  const rate = new StartRate();
  rate.noteRound(0, true);
  assert.equal(rate.perSecond(2_000), 0.5);
});

test('delays count waiting tasks of the same and of higher priorities', () => {
  const steps = [{ tasks: 30 }, { tasks: 10, after: [0] }];
  const state = stateOf(
    testJob('urgent', [{ tasks: 20 }]),
    testJob('other', steps, { priority: 2 }),
    testJob('long-running', [{ tasks: 50, lasting: true }]),
  );
  assert.deepEqual(startDelaysOf(state.openJobs, 10), [
    [0, 2_000],
    [2, 6_000],
  ]);
  assert.deepEqual(startDelaysOf(state.openJobs, undefined), []);
});

test('a job is late if it would begin after its objective', () => {
  const steps = [{ estimateMs: 2_000 }, { estimateMs: 1_000, after: [0] }];
  const objectiveMs = 2 * 3_000 + 500;
  const late = testJob('a', steps, { priority: 2 });
  assert.equal(latenessOf(late, DELAYS), 9_000 - objectiveMs);
  assert.equal(latenessOf(testJob('a', steps, { priority: 1 }), DELAYS), 0);
  assert.equal(latenessOf(late, []), 0);
  const lasting = [{ lasting: true }];
  assert.equal(latenessOf(testJob('a', lasting, { priority: 2 }), DELAYS), 0);
});
