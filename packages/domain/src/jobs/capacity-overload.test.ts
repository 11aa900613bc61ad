/*
 * Guards against an overloaded deployment that accepts far more than it can serve, or refuses what it could. The
 * load is three times the capacity in both queues for a minute: that is what bursts and evacuations leave of the
 * boat hire's capacity (docs/hard-load.md), whose rates, run times and terms are used here with fewer and
 * larger tasks. Each of 29 hosts decides by a forecast that is one second old.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  AdmissionTrial,
  type Submitted,
} from './capacity-overload.fixture.test.js';

const HOSTS = 29;
const SECONDS = 60;

/** Rounding of the forecast in force. */
const ROUNDING_MS = 1;
/** Time after which the backlog has grown to what hosts allow. */
const STEADY_FROM_MS = 25_000;

const trial = new AdmissionTrial({
  hosts: HOSTS,
  admitsByCapacity: true,
  seed: 7,
});
trial.run(SECONDS);
const accepted = trial.submitted.filter(each => each.refusal === undefined);
const refused = trial.submitted.filter(each => each.refusal !== undefined);

function isSteady({ at }: Submitted): boolean {
  return at >= STEADY_FROM_MS && at < (SECONDS - 1) * 1_000;
}

function inQueue(queue: string): (each: Submitted) => boolean {
  return ({ job }) => job.terms.queue === queue;
}

function workOf(jobs: readonly Submitted[]): number {
  return jobs.reduce((sum, { work }) => sum + work, 0);
}

test('no job is accepted that would end without value by the forecast in force', () => {
  const tooLate = accepted.filter(
    each => each.forecastMs > each.usefulMs + ROUNDING_MS,
  );
  assert.equal(tooLate.length, 0);
  assert.ok(refused.length > accepted.length);
});

test('few refused jobs would have been of value', () => {
  const useful = refused.filter(each => each.servedMs <= each.usefulMs);
  const share = useful.length / refused.length;
  assert.ok(share < 0.1, `${share} of the refused jobs`);
});

// Only the error of the rate and the age of the forecast let hosts accept a job that ends too late.
test('no accepted job would end much after it has lost its value', () => {
  for (const queue of ['checks', 'batch']) {
    const steady = accepted.filter(isSteady).filter(inQueue(queue));
    const ratios = steady.map(each => each.servedMs / each.usefulMs);
    const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
    assert.ok(mean < 1.2, `${queue}: ${mean} on average`);
  }
});

// Each host has an old forecast and could accept jobs for the whole capacity.
test('the accepted work stays near the capacity', () => {
  for (const queue of ['checks', 'batch']) {
    const steady = accepted.filter(isSteady).filter(inQueue(queue));
    const perSecond = workOf(steady) / (SECONDS - 1 - STEADY_FROM_MS / 1_000);
    const ratio = perSecond / trial.capacityOf(queue);
    assert.ok(ratio > 0.85 && ratio < 1.15, `${queue}: ${ratio}`);
  }
});

test('large and small jobs of both queues are refused alike', () => {
  const steady = trial.submitted.filter(isSteady);
  const shares = ['checks', 'batch'].map(queue => {
    const all = steady.filter(inQueue(queue)).sort((a, b) => b.tasks - a.tasks);
    const tenth = Math.round(all.length / 10);
    const acceptedOf = (jobs: readonly Submitted[]): number =>
      jobs.filter(each => each.refusal === undefined).length / jobs.length;
    const whole = acceptedOf(all);
    const groups = [all.slice(0, tenth), all.slice(tenth, 3 * tenth)];
    for (const group of groups) {
      const share = acceptedOf(group) / whole;
      assert.ok(share > 0.6, `${queue}: ${share} of the queue's share`);
    }
    return whole;
  });
  const [checks = 0, batch = 0] = shares;
  assert.ok(checks / batch > 0.75 && checks / batch < 1.25, shares.join());
});

test('where jobs are not admitted by capacity, all are accepted and most end without value', () => {
  const off = new AdmissionTrial({
    hosts: HOSTS,
    admitsByCapacity: false,
    seed: 7,
  });
  off.run(30);
  assert.ok(off.submitted.every(each => each.refusal === undefined));
  const late = off.submitted.filter(({ at }) => at >= 20_000);
  const lost = late.filter(each => each.servedMs > each.usefulMs);
  assert.ok(lost.length > late.length / 2);
});

test('a leader whose forecast is lost refuses nothing after 3 s', () => {
  const lost = new AdmissionTrial({
    hosts: HOSTS,
    admitsByCapacity: true,
    seed: 3,
  });
  lost.run(15);
  lost.losesForecasts = true;
  const before = lost.submitted.length;
  lost.run(20);
  const later = lost.submitted.slice(before).filter(({ at }) => at >= 18_000);
  assert.ok(later.every(each => each.refusal === undefined));
});
