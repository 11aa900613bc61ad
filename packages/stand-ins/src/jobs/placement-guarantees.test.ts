import assert from 'node:assert/strict';
import { test } from 'node:test';

import { SIZE, Story, task } from './history.fixture.test.js';

const THREE = { tasks: 3, after: [], size: SIZE };

test('a start over 2 s after its worker announced that it leaves is reported', () => {
  const story = new Story([THREE]);
  story.now = 1_000;
  story.history.announced('w1');
  story.begin(3_001, task(), 1);
  assert.deepEqual(story.broken(), ['not_on_leaving']);
});

test('a start soon after the announcement, one that was held up and one elsewhere are not reported', () => {
  const story = new Story([THREE]);
  story.now = 1_000;
  story.history.announced('w1');
  story.begin(3_000, task(0), 1);
  story.beginLate(9_000, task(1), 1);
  story.begin(9_000, task(2), 1, 'w2');
  assert.deepEqual(story.broken(), []);
});

test('a start beyond the room of its worker is reported', () => {
  const story = new Story([THREE]);
  for (const index of [0, 1, 2]) {
    story.begin(100, task(index), 1);
  }
  assert.deepEqual(story.broken(), ['within_room']);
});

test('a start beyond room is reported also when its order was held up', () => {
  const story = new Story([THREE]);
  story.begin(100, task(0), 1);
  story.begin(100, task(1), 1);
  story.beginLate(200, task(2), 1);
  assert.deepEqual(story.broken(), ['within_room']);
});

test('a filler beyond the memory of its worker is reported', () => {
  const story = new Story([{ ...THREE, filler: true }]);
  for (const index of [0, 1, 2]) {
    story.begin(100, task(index), 1);
  }
  assert.deepEqual(story.broken(), ['within_room']);
});

test('a start in room that has just become free is not reported', () => {
  const story = new Story([THREE]);
  story.begin(100, task(0), 1);
  story.begin(100, task(1), 1);
  story.end(200, task(0), 1, 'stopped');
  story.begin(200, task(2), 1);
  assert.deepEqual(story.broken(), []);
});

test('fillers are not reported for the processors that others have', () => {
  const size = { ...SIZE, memoryMiB: 10 };
  const story = new Story([{ ...THREE, size, filler: true }]);
  for (const index of [0, 1, 2]) {
    story.begin(100, task(index), 1);
  }
  assert.deepEqual(story.broken(), []);
});

test('a start on a worker without the label is reported, one with it is not', () => {
  const story = new Story([{ ...THREE, label: 'fast' }]);
  story.join('w3', ['slow', 'fast']);
  story.begin(100, task(0), 1, 'w3');
  assert.deepEqual(story.broken(), []);
  story.begin(200, task(1), 1, 'w2');
  assert.deepEqual(story.broken(), ['right_worker']);
});

test('a start beyond the most that one worker may have is reported', () => {
  const story = new Story([{ ...THREE, maxPerWorker: 1 }]);
  story.begin(100, task(0), 1);
  story.begin(200, task(1), 1);
  assert.deepEqual(story.broken(), ['right_worker']);
});

test('a start after another of the step has ended there, or beside one of another step, is not reported', () => {
  const single = { tasks: 2, after: [], maxPerWorker: 1 };
  const story = new Story([single, single]);
  story.begin(100, task(0), 1);
  story.begin(100, task(0, 1), 1);
  story.end(200, task(0), 1, 'done');
  story.begin(200, task(1), 1);
  assert.deepEqual(story.broken(), []);
});

test('a start beyond the room of a worker that shrank is reported, unless it did so just before', () => {
  const shrunk = { ...SIZE, cpuMilli: 1_000, memoryMiB: 1_000 };
  for (const [beganAt, expected] of [
    [4_199, []],
    [4_200, ['within_room']],
  ] as const) {
    const story = new Story([{ tasks: 2, after: [], size: SIZE }]);
    story.begin(50, task(0), 1);
    story.now = 100;
    story.history.resized('w1', shrunk);
    story.begin(beganAt, task(1), 1);
    assert.deepEqual(story.broken(), expected);
  }
});

test('a worker that has grown again has its room at once', () => {
  const story = new Story([{ tasks: 2, after: [], size: SIZE }]);
  story.begin(50, task(0), 1);
  story.now = 100;
  story.history.resized('w1', { ...SIZE, cpuMilli: 1_000 });
  story.now = 9_000;
  story.history.resized('w1', { ...SIZE, cpuMilli: 2_000, memoryMiB: 2_000 });
  story.begin(9_001, task(1), 1);
  assert.deepEqual(story.broken(), []);
});
