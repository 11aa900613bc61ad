import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Story, task } from './history.fixture.test.js';

const ONE = { tasks: 1, after: [] };
const COPIES = { ...ONE, speculative: true };

test('two runs of a task at a time are reported', () => {
  const story = new Story([ONE]);
  story.begin(100, task(), 1, 'w1');
  story.begin(200, task(), 2, 'w2');
  assert.deepEqual(story.broken(), ['one_place_at_a_time']);
});

test('runs of a task one after the other, and copies, are not reported', () => {
  const story = new Story([ONE]);
  story.begin(100, task(), 1, 'w1');
  story.end(200, task(), 1, 'stopped');
  story.begin(200, task(), 2, 'w2');
  assert.deepEqual(story.broken(), []);
  const copied = new Story([COPIES]);
  copied.begin(100, task(), 1, 'w1');
  copied.begin(200, task(), 2, 'w2');
  assert.deepEqual(copied.broken(), []);
});

test('a run after an end that was noted is reported', () => {
  const story = new Story([ONE]);
  story.begin(100, task(), 1);
  story.end(200, task(), 1, 'done');
  story.begin(300, task(), 2);
  assert.deepEqual(story.broken(), ['finish_once']);
});

test('a copy that begins over a second after an end that was noted is reported', () => {
  const story = new Story([COPIES]);
  story.begin(100, task(), 1);
  story.end(200, task(), 1, 'done');
  story.begin(1_201, task(), 2);
  assert.deepEqual(story.broken(), ['finish_once']);
});

test('a run after an end that was never noted, or a copy soon after one, is not reported', () => {
  const story = new Story([ONE]);
  story.begin(100, task(), 1);
  story.endUnnoted(200, task(), 1, 'done');
  story.begin(300, task(), 2);
  assert.deepEqual(story.broken(), []);
  const copied = new Story([COPIES]);
  copied.begin(100, task(), 1);
  copied.end(200, task(), 1, 'done');
  copied.begin(1_200, task(), 2);
  assert.deepEqual(copied.broken(), []);
});

test('a step that begins before the one that it follows is done is reported', () => {
  const story = new Story([
    { tasks: 2, after: [] },
    { tasks: 1, after: [0] },
  ]);
  story.begin(100, task(0), 1);
  story.begin(100, task(1), 1);
  story.end(200, task(0), 1, 'done');
  story.begin(300, task(0, 1), 1, 'w2');
  assert.deepEqual(story.broken(), ['steps_in_order']);
});

test('a step after the one that it follows is not reported', () => {
  const story = new Story([ONE, { tasks: 1, after: [0] }]);
  story.begin(100, task(), 1);
  story.end(200, task(), 1, 'done');
  story.begin(200, task(0, 1), 1);
  assert.deepEqual(story.broken(), []);
});

test('a gang is done for the step that follows it once a member is', () => {
  const story = new Story([
    { tasks: 2, after: [], gang: true },
    { tasks: 1, after: [0] },
  ]);
  story.begin(100, task(0), 1);
  story.begin(100, task(1), 1);
  story.end(200, task(0), 1, 'done');
  story.begin(200, task(0, 1), 1, 'w2');
  assert.deepEqual(story.broken(), []);
});

test('an attempt too many is reported', () => {
  const story = new Story([ONE]);
  for (const run of [1, 2, 3]) {
    story.begin(run * 100, task(), run);
    story.end(run * 100 + 50, task(), run, 'failed');
  }
  assert.deepEqual(story.broken(), ['attempts_bounded']);
});

test('a copy that begins over a second after the last attempt was noted is reported', () => {
  const story = new Story([COPIES]);
  for (const run of [1, 2]) {
    story.begin(run * 100, task(), run);
    story.end(run * 100 + 50, task(), run, 'failed');
  }
  story.begin(1_251, task(), 3);
  assert.deepEqual(story.broken(), ['attempts_bounded']);
});

test('stopped runs, and failures of a task that lasts, are no attempts', () => {
  const story = new Story([ONE]);
  const lasting = new Story([{ ...ONE, lasting: true }]);
  for (const run of [1, 2, 3]) {
    story.begin(run * 100, task(), run);
    story.end(run * 100 + 50, task(), run, 'stopped');
    lasting.begin(run * 100, task(), run);
    lasting.end(run * 100 + 50, task(), run, 'failed');
  }
  assert.deepEqual(story.broken(), []);
  assert.deepEqual(lasting.broken(), []);
});

test('a run that begins over 3 s after the cancellation is reported', () => {
  const story = new Story([ONE], { cancelledAt: 1_000 });
  story.begin(4_001, task(), 1);
  assert.deepEqual(story.broken(), ['nothing_after_cancel']);
});

test('a run within 3 s of the cancellation, or on an order that was held up, is not reported', () => {
  const story = new Story([ONE], { cancelledAt: 1_000 });
  story.begin(4_000, task(), 1);
  story.end(4_100, task(), 1, 'stopped');
  story.beginLate(9_000, task(), 2);
  assert.deepEqual(story.broken(), []);
});

test('a third start after three workers crashed under a task is reported, a second one is not', () => {
  const story = new Story([ONE]);
  for (let run = 1; run <= 5; run += 1) {
    story.begin(run * 100, task(), run, 'w1');
    story.crash(run * 100 + 10, task(), run, 'w1');
  }
  assert.deepEqual(story.broken(), []);
  story.begin(600, task(), 6, 'w1');
  assert.deepEqual(story.broken(), ['crashes_bounded']);
});
