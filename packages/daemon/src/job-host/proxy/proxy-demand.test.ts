import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ProxyDemand } from './proxy-demand.js';

const SATURATED = { isSaturated: true, busyPercent: 95 };
const BUSY = { isSaturated: false, busyPercent: 60 };
const RELAXED = { isSaturated: false, busyPercent: 10 };

test('others call workers only while a leader is saturated for a while', () => {
  const demand = new ProxyDemand();
  demand.update(SATURATED, 0);
  demand.update(BUSY, 200);
  demand.update(SATURATED, 400);
  demand.update(SATURATED, 600);
  assert.ok(!demand.isActive);
  demand.update(SATURATED, 800);
  assert.ok(demand.isActive);
});

// Without their help it would be saturated again at once, and all workers would be connected anew each time.
test('others go on until a leader has had time to spare for long', () => {
  const demand = new ProxyDemand();
  demand.update(SATURATED, 0);
  demand.update(SATURATED, 400);
  demand.update(RELAXED, 1_000);
  demand.update(BUSY, 10_000);
  demand.update(RELAXED, 11_000);
  demand.update(RELAXED, 20_000);
  assert.ok(demand.isActive);
  demand.update(RELAXED, 21_000);
  assert.ok(!demand.isActive);
});

test('others call workers for a new leader from the start if they did for the last one', () => {
  const demand = new ProxyDemand(true);
  demand.update(BUSY, 0);
  assert.ok(demand.isActive);
});
