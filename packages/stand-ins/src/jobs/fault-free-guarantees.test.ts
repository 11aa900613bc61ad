import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Story, task } from './history.fixture.test.js';

const ONE = { tasks: 1, after: [] };
const PAIR = { tasks: 2, after: [], gang: true };
const CANCELLED = { cancelledAt: 10_000 };

test('a run that goes on over 3.9 s after the cancellation is reported', () => {
  const story = new Story([ONE], CANCELLED);
  story.begin(9_000, task(), 1);
  assert.deepEqual(story.broken(13_901), ['ends_after_cancel']);
  story.end(14_000, task(), 1, 'done');
  assert.deepEqual(story.broken(), ['ends_after_cancel']);
});

test('a run that ends within 3.9 s of the cancellation is not reported', () => {
  const story = new Story([ONE], CANCELLED);
  story.begin(9_000, task(), 1);
  story.end(13_900, task(), 1, 'stopped');
  assert.deepEqual(story.broken(30_000), []);
});

test('a run that goes on while something is disturbed is reported only after a calm stretch', () => {
  const story = new Story([ONE], CANCELLED);
  story.faults.add({ from: 12_000, until: 15_000, of: 'workers' });
  story.begin(9_000, task(), 1);
  assert.deepEqual(story.broken(21_900), []);
  assert.deepEqual(story.broken(21_902), ['ends_after_cancel']);
});

test('a test that does not tell its faults has no calm times', () => {
  const story = new Story([ONE], CANCELLED);
  story.history.faults = undefined;
  story.begin(9_000, task(), 1);
  assert.deepEqual(story.broken(30_000), []);
});

test('a member of a gang that waits 3 s for another is reported', () => {
  const story = new Story([PAIR]);
  story.begin(100, task(0), 1);
  assert.deepEqual(story.broken(3_099), []);
  assert.deepEqual(story.broken(3_100), ['gang_together']);
});

test('a member of a gang that comes with another run number is no company', () => {
  const story = new Story([PAIR]);
  story.begin(100, task(0), 1);
  story.begin(200, task(1), 2);
  story.end(3_100, task(0), 1, 'alone');
  assert.deepEqual(story.broken(), ['gang_together']);
});

test('a member that goes on for 3 s after another has gone is reported', () => {
  const story = new Story([PAIR]);
  story.begin(100, task(0), 1);
  story.begin(200, task(1), 1);
  story.end(5_000, task(1), 1, 'stopped');
  assert.deepEqual(story.broken(8_000), ['gang_together']);
});

test('a gang whose members come soon and end together is not reported', () => {
  const story = new Story([PAIR]);
  story.begin(100, task(0), 1);
  story.begin(3_000, task(1), 1);
  story.end(9_000, task(0), 1, 'done');
  story.end(9_000, task(1), 1, 'done');
  assert.deepEqual(story.broken(30_000), []);
});

test('a member that is alone near a fault, or as its job is cancelled, is not reported', () => {
  const story = new Story([PAIR]);
  story.faults.add({ from: 90, until: 90, of: 'workers' });
  story.begin(100, task(0), 1);
  story.end(3_100, task(0), 1, 'alone');
  assert.deepEqual(story.broken(), []);
  const cancelled = new Story([PAIR], { cancelRequestedAt: 2_000 });
  cancelled.begin(100, task(0), 1);
  cancelled.end(3_100, task(0), 1, 'alone');
  assert.deepEqual(cancelled.broken(), []);
});
