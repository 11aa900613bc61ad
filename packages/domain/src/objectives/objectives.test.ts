import assert from 'node:assert/strict';
import test from 'node:test';

import * as fc from 'fast-check';

import { ALERT_RULES, alertThreshold, firingAlerts } from './alerts.js';
import { budgetSpent, burnRate } from './burn.js';
import { createObjectiveLedger } from './ledger.js';
import { outcomeOf } from './outcome.js';
import { BURN_WINDOWS_MS, createWindowCounter } from './window-counter.js';

const HOUR_MS = 3_600_000;
const OBJECTIVE = { target: 0.999, latencyMs: 100, periodDays: 28 };

test('window counts match a list of events to within one bucket', () => {
  const gaps = fc.array(fc.integer({ min: 0, max: 4 * HOUR_MS }), {
    maxLength: 200,
  });
  const check = (steps: number[]) => {
    const counter = createWindowCounter(1, 0);
    const events: number[] = [];
    let now = 0;
    for (const step of steps) {
      now += step;
      events.push(now);
      counter.add(0, now);
    }
    for (const windowMs of BURN_WINDOWS_MS) {
      const bucketMs = windowMs <= HOUR_MS ? 10_000 : 600_000;
      const within = (ms: number) => events.filter(at => now - at < ms).length;
      const [sum = 0] = counter.sum(windowMs, now);
      assert.ok(sum >= within(windowMs - bucketMs));
      assert.ok(sum <= within(windowMs + bucketMs));
    }
  };
  fc.assert(fc.property(gaps, check), { seed: 7, numRuns: 100 });
});

test('counts expire after their window', () => {
  const counter = createWindowCounter(2, 0);
  counter.add(1, 1_000);
  assert.deepEqual(counter.sum(HOUR_MS, 2_000), [0, 1]);
  assert.deepEqual(counter.sum(HOUR_MS, 2 * HOUR_MS), [0, 0]);
  assert.deepEqual(counter.sum(6 * HOUR_MS, 2 * HOUR_MS), [0, 1]);
  assert.deepEqual(counter.sum(6 * HOUR_MS, 10_000 * HOUR_MS), [0, 0]);
});

test('classifies requests by how they ended and how long they took', () => {
  const answered = (status: number) => ({ kind: 'answered' as const, status });
  assert.equal(outcomeOf(answered(200), 100, 100), 'good');
  assert.equal(outcomeOf(answered(404), 10, 100), 'good');
  assert.equal(outcomeOf(answered(200), 101, 100), 'slow');
  assert.equal(outcomeOf(answered(500), 1, 100), 'failed');
  const refused = (error: 'overloaded' | 'invalid') =>
    outcomeOf({ kind: 'refused', error }, 1, 100);
  assert.equal(refused('overloaded'), 'failed');
  assert.equal(refused('invalid'), undefined);
  assert.equal(outcomeOf({ kind: 'broken_off' }, 1, 100), 'failed');
  assert.equal(outcomeOf({ kind: 'canceled' }, 1, 100), undefined);
  assert.equal(outcomeOf({ kind: 'canceled' }, 200, 100), 'slow');
});

test('the burn rate is 1 when the budget lasts exactly the period', () => {
  const counts = { requests: 10_000, failed: 6, slow: 4 };
  assert.ok(Math.abs(burnRate(counts, 0.999) - 1) < 1e-9);
  assert.equal(burnRate({ requests: 0, failed: 0, slow: 0 }, 0.999), 0);
  const weekMs = 7 * 24 * HOUR_MS;
  assert.equal(budgetSpent(1, weekMs, OBJECTIVE), 0.25);
});

test('an alert requires burn in both windows and enough bad requests', () => {
  const [fast] = ALERT_RULES;
  assert.ok(fast !== undefined);
  assert.ok(Math.abs(alertThreshold(fast, OBJECTIVE) - 13.44) < 1e-9);
  const burning = { requests: 1_000, failed: 20, slow: 0 };
  const calm = { requests: 1_000, failed: 0, slow: 0 };
  const countsOver = (shortBurns: boolean) => (windowMs: number) =>
    windowMs >= HOUR_MS || shortBurns ? burning : calm;
  assert.ok(firingAlerts(OBJECTIVE, countsOver(true)).has('fast'));
  const past = firingAlerts(OBJECTIVE, ms =>
    ms === 72 * HOUR_MS ? burning : calm,
  );
  assert.equal(past.size, 0);
  const few = { requests: 10, failed: 1, slow: 0 };
  assert.equal(firingAlerts(OBJECTIVE, () => few).size, 0);
});

test('the ledger counts by zone and batch job in bounded memory', () => {
  const ledger = createObjectiveLedger();
  const record = (neighbours: string[] | undefined, zone = 'salem') => {
    const outcome = neighbours?.length === 0 ? 'good' : 'slow';
    ledger.record({ service: 's', zone, outcome, neighbours }, 1_000);
  };
  record([]);
  record(['batch-a', 'batch-a', 'batch-b']);
  record(undefined, 'yakima');
  const counts = (key: Parameters<typeof ledger.counts>[1]) =>
    ledger.counts('s', key, HOUR_MS, 2_000);
  assert.deepEqual(counts({ kind: 'all' }), {
    requests: 3,
    failed: 0,
    slow: 2,
  });
  assert.equal(counts({ kind: 'zone', zone: 'salem' }).requests, 2);
  assert.equal(counts({ kind: 'neighbour', job: 'batch-a' }).slow, 1);
  assert.equal(counts({ kind: 'without_batch' }).requests, 1);
  for (let job = 0; job < 100; job++) {
    record([`other-${job}`]);
  }
  const series = ledger.series('s');
  assert.equal(series.filter(key => key.kind === 'neighbour').length, 32);
  ledger.retain(new Set());
  assert.deepEqual(ledger.services(), []);
});
