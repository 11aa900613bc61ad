/* Guards against jobs that are accepted although they can't end in time to be of any value, and the reverse. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { NO_LIMITS, refusalOf, type AdmissionLimits } from './admission.js';
import { evenSpread } from './return-times.js';
import { CapacityAdmission } from './capacity-admission.js';
import { FORECAST_VALID_MS, type CapacityRow } from './capacity-rows.js';
import type { JobSpec, QueueTerms, StepSpec } from './spec.js';
import { testJob } from './test-support.js';

/** Ten seconds at the fastest rate. */
const ROW: CapacityRow = {
  service: 'main',
  kind: 'filler',
  priority: 2,
  backlog: 120_000,
  rate: 10_000,
  errorPercent: 20,
  hosts: 29,
};

function limitsOf(...rooms: CapacityRow[]): AdmissionLimits {
  return { ...NO_LIMITS, rooms, roomsUntil: FORECAST_VALID_MS };
}

/** A job of fillers with an objective of 2.5 s: it has to begin within 6.5 s to be of value. */
function fillerJob(
  id: string,
  step: Partial<StepSpec> = {},
  terms: Partial<QueueTerms> = {},
): JobSpec {
  const steps = [{ filler: true, estimateMs: 1_000, ...step }];
  return testJob(id, steps, { priority: 2, ...terms });
}

test('a job is refused if it would end after three times its objective at the fastest rate', () => {
  const refusal = refusalOf(fillerJob('a'), limitsOf(ROW), 500);
  assert.ok(refusal?.why === 'no_room');
  assert.equal(refusal.retryAfterMs, 3_500);
  const { waitMs, added, ageMs, backlog } = refusal.forecast;
  assert.deepEqual(
    { waitMs, added, ageMs, backlog },
    { waitMs: 10_000, added: 0, ageMs: 500, backlog: 120_000 },
  );
  const enough = { ...ROW, backlog: 6_500 * 12 };
  assert.equal(refusalOf(fillerJob('a'), limitsOf(enough), 0), undefined);
  const unsure = { ...ROW, errorPercent: 90 };
  assert.equal(refusalOf(fillerJob('a'), limitsOf(unsure), 0), undefined);
});

test('a job waits for its own kind of capacity and for what goes before it', () => {
  const limits = limitsOf(ROW);
  const why = (job: JobSpec): unknown => refusalOf(job, limits, 0)?.why;
  assert.equal(why(fillerJob('a')), 'no_room');
  assert.equal(why(fillerJob('a', {}, { priority: 3 })), 'no_room');
  assert.equal(why(fillerJob('a', {}, { priority: 1 })), undefined);
  assert.equal(why(fillerJob('a', {}, { service: 'b' })), undefined);
  assert.equal(why(fillerJob('a', { filler: false })), undefined);
  assert.equal(why(fillerJob('a', { lasting: true })), undefined);
  const repetition = { times: 2, firstAtWall: 0, everyMs: 1 };
  assert.equal(why({ ...fillerJob('a'), repetition }), undefined);
});

test('a job of several kinds of steps is refused if one of them alone makes it so', () => {
  const steps = [{}, { filler: true, estimateMs: 100 }];
  const plain: CapacityRow = { ...ROW, kind: 'plain', backlog: 1 };
  const limits = limitsOf(plain, ROW);
  const refusal = refusalOf(testJob('a', steps, { priority: 2 }), limits, 0);
  assert.ok(refusal?.why === 'no_room');
  assert.equal(refusal.forecast.kind, 'filler');
  assert.equal(refusalOf(testJob('a', [{}]), limits, 0), undefined);
});

test('a forecast refuses nothing after 3 s, and neither does a host without one', () => {
  const admission = new CapacityAdmission();
  const limits = limitsOf(ROW);
  const whyAt = (now: number): unknown =>
    admission.refusalOf(fillerJob('a'), limits, now)?.why;
  assert.equal(whyAt(2_999), 'no_room');
  assert.equal(whyAt(3_000), undefined);
  assert.equal(admission.refusalOf(fillerJob('a'), NO_LIMITS, 0), undefined);
});

// Otherwise 29 hosts accept jobs for the same capacity until the next forecast.
test('what a host has accepted counts for all hosts until the next forecast', () => {
  const admission = new CapacityAdmission();
  const limits = limitsOf({ ...ROW, backlog: 0 });
  const jobOf = (at: number): JobSpec => fillerJob(`j${at}`, { tasks: 2 });
  let accepted = 0;
  while (admission.refusalOf(jobOf(accepted), limits, 0) === undefined) {
    admission.noteAccepted(jobOf(accepted), limits);
    accepted += 1;
  }
  // 6.5 s at 12 cores are 78 core-seconds, and each job is 2 at each of 29 hosts.
  assert.equal(accepted, 2);
  const next = limitsOf({ ...ROW, backlog: 0 });
  assert.equal(admission.refusalOf(jobOf(accepted), next, 0), undefined);
});

test('lower priorities accepted here are not counted before a job', () => {
  const admission = new CapacityAdmission();
  const limits = limitsOf({ ...ROW, backlog: 0, priority: 0 });
  for (let at = 0; at < 50; at += 1) {
    admission.noteAccepted(fillerJob(`j${at}`), limits);
  }
  const urgent = fillerJob('a', {}, { priority: 0 });
  assert.equal(admission.refusalOf(urgent, limits, 0), undefined);
  assert.equal(admission.refusalOf(fillerJob('b'), limits, 0)?.why, 'no_room');
});

// A refusal says that the job never runs, and this one may have been recorded.
test('a job of unknown outcome is not refused by capacity', () => {
  const admission = new CapacityAdmission();
  admission.noteOutcome('a', false);
  const limits = limitsOf(ROW);
  assert.equal(admission.refusalOf(fillerJob('a'), limits, 0), undefined);
  const late = { ...limits, startDelays: [[0, 60_000]] } as const;
  assert.equal(admission.refusalOf(fillerJob('a'), late, 0)?.why, 'too_late');
  for (let at = 0; at < 2_000; at += 1) {
    admission.noteOutcome(`j${at}`, false);
  }
  assert.equal(admission.refusalOf(fillerJob('a'), limits, 0)?.why, 'no_room');
});

// A caller that did not wait for the answer may come again while the append is under way.
test('a job that is being recorded is not refused by capacity, and it may be once that was refused', () => {
  const admission = new CapacityAdmission();
  const limits = limitsOf(ROW);
  const job = fillerJob('a');
  const why = (): unknown => admission.refusalOf(job, limits, 0)?.why;
  admission.noteAccepted(job, limits);
  admission.noteAccepted(job, limits);
  assert.equal(why(), undefined);
  admission.noteOutcome('a', true);
  assert.equal(why(), undefined);
  admission.noteOutcome('a', true);
  assert.equal(why(), 'no_room');
});

test('callers of a host return as fast as its part of the work is completed', () => {
  const admission = new CapacityAdmission();
  const limits = limitsOf(ROW);
  const returns = ['a', 'b', 'c'].map(id => {
    const job = fillerJob(id);
    const refusal = admission.refusalOf(job, limits, 0);
    assert.ok(refusal?.why === 'no_room');
    return admission.returnMs(job, refusal, 0, 1e9);
  });
  // 1 core-second of 10 a second, of which this host's callers have a 29th.
  assert.deepEqual(returns, [4_000, 7_000, 10_000]);
});

// Callers that all hosts refuse at once would otherwise return at once.
test('callers that 29 hosts refuse at once return at the rate of completions', () => {
  const limits = limitsOf(ROW);
  const arrivals: number[] = [];
  for (let host = 0; host < ROW.hosts; host += 1) {
    const admission = new CapacityAdmission(evenSpread(`host-${host}`));
    for (let at = 0; at < 5; at += 1) {
      const job = fillerJob(`${host}-${at}`);
      const refusal = admission.refusalOf(job, limits, 0);
      assert.ok(refusal?.why === 'no_room');
      arrivals.push(admission.returnMs(job, refusal, 0, 1e9) / 1_000);
    }
  }
  // 10 jobs of one core-second each are completed a second, and 145 return from 4 s on.
  const last = Math.max(...arrivals);
  assert.ok(last >= 17 && last <= 20, `the last after ${last} s`);
  for (let from = 4; from < 16; from += 3) {
    const within = arrivals.filter(each => each >= from && each < from + 3);
    assert.ok(within.length >= 20 && within.length <= 40);
  }
});
