import assert from 'node:assert/strict';
import { test } from 'node:test';

import { SIZE, Story, task } from './history.fixture.test.js';

const LASTING = { tasks: 1, after: [], lasting: true, size: SIZE };

/** The only task's run begins at 1 s and ends at 10 s. */
function storyOfOneRun(): Story {
  const story = new Story([LASTING]);
  story.begin(1_000, task(), 1);
  story.end(10_000, task(), 1, 'stopped');
  return story;
}

test('a lasting task without a run for 9 s while there is room is reported', () => {
  const story = storyOfOneRun();
  assert.deepEqual(story.broken(19_000), []);
  assert.deepEqual(story.broken(19_001), ['lasting_runs']);
});

test('a lasting task that never runs is reported', () => {
  assert.deepEqual(new Story([LASTING]).broken(9_001), ['lasting_runs']);
});

test('a lasting task that is back in time is not reported', () => {
  const story = storyOfOneRun();
  story.begin(19_000, task(), 2);
  assert.deepEqual(story.broken(60_000), []);
});

test('a lasting task that is away after a fault is reported 7 s after it', () => {
  const story = storyOfOneRun();
  story.faults.add({ from: 13_000, until: 20_000, of: 'log' });
  assert.deepEqual(story.broken(27_001), []);
  assert.deepEqual(story.broken(27_002), ['lasting_runs']);
});

test('a lasting task without room for it twice over is not reported', () => {
  const story = storyOfOneRun();
  story.history.gone('w1');
  story.history.jobs.set('b', {
    steps: [{ tasks: 1, after: [], size: SIZE }],
    maxAttempts: 2,
    cancelledAt: Infinity,
  });
  const other = { job: 'b', occurrence: 0, step: 0, index: 0 };
  story.begin(11_000, other, 1, 'w2');
  assert.deepEqual(story.broken(60_000), []);
  story.end(60_000, other, 1, 'done', 'w2');
  assert.deepEqual(story.broken(63_001), ['lasting_runs']);
});

test('room on workers that leave or lack the label does not count', () => {
  const story = storyOfOneRun();
  story.history.announced('w1');
  story.history.announced('w2');
  assert.deepEqual(story.broken(60_000), []);
  const labelled = new Story([{ ...LASTING, label: 'fast' }]);
  assert.deepEqual(labelled.broken(60_000), []);
});

test('a lasting task that was cancelled, or follows a step that is not done, is not reported', () => {
  const story = new Story([LASTING], { cancelRequestedAt: 2_000 });
  assert.deepEqual(story.broken(60_000), []);
  const second = new Story([
    { tasks: 1, after: [] },
    { ...LASTING, after: [0] },
  ]);
  assert.deepEqual(second.broken(60_000), []);
});

test('room beside as many tasks of the step as may share a worker does not count', () => {
  const story = new Story([{ ...LASTING, tasks: 3, maxPerWorker: 1 }]);
  story.begin(1_000, task(0), 1, 'w1');
  story.begin(1_000, task(1), 1, 'w2');
  assert.deepEqual(story.broken(60_000), []);
  story.join('w3');
  story.join('w4');
  assert.deepEqual(story.broken(63_001), ['lasting_runs']);
});
