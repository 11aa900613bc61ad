import assert from 'node:assert/strict';
import { test } from 'node:test';

import { JOB, Story, task } from './history.fixture.test.js';

const PAIR = { tasks: 2, after: [] };

/** A job of which the first task ends as done at 2 s, the second at 4 s. */
function storyOfTwo(gang = false): Story {
  const story = new Story([{ ...PAIR, gang }]);
  story.begin(1_000, task(0), 1);
  story.begin(1_000, task(1), 1);
  story.end(2_000, task(0), 1, 'done');
  return story;
}

test('a job shown as completed before all its tasks are done is reported', () => {
  const story = storyOfTwo();
  story.history.told(JOB, 2_000, 'completed');
  story.end(4_000, task(1), 1, 'done');
  assert.deepEqual(story.broken(), ['completed_when_done']);
});

test('a job shown as completed after that, or once a member of its gang is done, is not reported', () => {
  const story = storyOfTwo();
  story.end(4_000, task(1), 1, 'done');
  story.history.told(JOB, 3_000, 'completed');
  assert.deepEqual(story.broken(), []);
  const gang = storyOfTwo(true);
  gang.history.told(JOB, 2_000, 'completed');
  assert.deepEqual(gang.broken(), []);
});

test('a job shown as failed without its attempts spent is reported', () => {
  const story = new Story([PAIR]);
  story.begin(100, task(0), 1);
  story.end(200, task(0), 1, 'failed');
  story.begin(300, task(0), 2);
  story.end(400, task(0), 2, 'lapsed');
  story.begin(300, task(1), 1);
  story.end(400, task(1), 1, 'failed');
  story.history.told(JOB, 400, 'failed');
  assert.deepEqual(story.broken(), ['failed_when_spent']);
});

test('a gang whose members failed in one run has not spent its attempts', () => {
  const story = new Story([{ ...PAIR, gang: true }]);
  for (const index of [0, 1]) {
    story.begin(100, task(index), 1);
    story.end(200, task(index), 1, 'failed');
  }
  story.history.told(JOB, 400, 'failed');
  assert.deepEqual(story.broken(), ['failed_when_spent']);
});

test('a job shown as failed once a task, or a gang, has failed twice is not reported', () => {
  for (const gang of [false, true]) {
    const story = new Story([{ ...PAIR, tasks: 1, gang }]);
    for (const run of [1, 2]) {
      story.begin(run * 100, task(0), run);
      story.end(run * 100 + 50, task(0), run, 'failed');
    }
    story.history.told(JOB, 250, 'failed');
    assert.deepEqual(story.broken(), []);
  }
});

test('a job shown as cancelled before anybody asked for it is reported, later it is not', () => {
  const story = new Story([PAIR], { cancelRequestedAt: 1_000, cancelledAt: 2_000 });
  story.now = 1_000;
  story.history.told(JOB, 900, 'cancelled');
  assert.deepEqual(story.broken(), []);
  story.now = 999;
  story.history.told(JOB, 900, 'cancelled');
  assert.deepEqual(story.broken(), ['cancelled_when_asked']);
});

test('an accepted job that is denied is reported', () => {
  const story = new Story([PAIR]);
  story.now = 3_002;
  story.history.told(JOB, 3_001, 'no_such_job');
  assert.deepEqual(story.broken(), ['known_once_accepted']);
});

test('a job that is denied soon after its acceptance, after a cancel, or long after its end is not reported', () => {
  const early = new Story([PAIR]);
  early.now = 3_100;
  early.history.told(JOB, 3_000, 'no_such_job');
  assert.deepEqual(early.broken(), []);
  const cancelled = new Story([PAIR], { cancelRequestedAt: 2_000 });
  cancelled.now = 4_000;
  cancelled.history.told(JOB, 3_500, 'no_such_job');
  assert.deepEqual(cancelled.broken(), []);
  const over = storyOfTwo();
  over.history.statusMs = 20_000;
  over.end(4_000, task(1), 1, 'done');
  over.now = 24_000;
  over.history.told(JOB, 23_000, 'no_such_job');
  assert.deepEqual(over.broken(), []);
  over.now = 23_999;
  over.history.told(JOB, 23_000, 'no_such_job');
  assert.deepEqual(over.broken(), ['known_once_accepted']);
});

/** Three jobs, accepted at 0, of which none has begun. */
function storyOfThree(): Story {
  const story = new Story([PAIR]);
  for (const id of ['b', 'c']) {
    story.history.jobs.set(id, {
      steps: [PAIR],
      maxAttempts: 2,
      acceptedAt: 0,
      cancelledAt: Infinity,
    });
  }
  return story;
}

test('a length under half of the jobs that wait is reported', () => {
  const story = storyOfThree();
  story.now = 5_010;
  story.history.recordQueueLength('h1', 5_001, 1);
  assert.deepEqual(story.broken(), ['length_counts']);
});

test('a length of half of the jobs that wait, or soon after their acceptance, is not reported', () => {
  const story = storyOfThree();
  story.now = 5_000;
  story.history.recordQueueLength('h1', 5_000, 0);
  story.now = 5_010;
  story.history.recordQueueLength('h1', 5_001, 2);
  assert.deepEqual(story.broken(), []);
});

test('jobs that have begun or are cancelled are not owed to a length', () => {
  const story = storyOfThree();
  story.begin(5_005, task(0), 1);
  const cancelled = story.history.jobs.get('b');
  assert.ok(cancelled);
  cancelled.cancelRequestedAt = 4_000;
  story.now = 5_010;
  story.history.recordQueueLength('h1', 5_001, 1);
  assert.deepEqual(story.broken(), []);
});

test('a length that a disturbed host tells is not reported, beside another or a worker it is', () => {
  for (const of of [{ host: 'h1' }, 'log'] as const) {
    const story = storyOfThree();
    story.faults.add({ from: 1_000, until: 2_500, of });
    story.now = 5_010;
    story.history.recordQueueLength('h1', 5_001, 0);
    assert.deepEqual(story.broken(), []);
  }
  for (const of of [{ host: 'h2' }, 'workers'] as const) {
    const story = storyOfThree();
    story.faults.add({ from: 1_000, until: 2_500, of });
    story.now = 5_010;
    story.history.recordQueueLength('h1', 5_001, 0);
    assert.deepEqual(story.broken(), ['length_counts']);
  }
});

test('a job is shown as failed with cause once two workers crashed under a task, not before', () => {
  const story = new Story([{ tasks: 1, after: [] }]);
  story.begin(100, task(), 1, 'w1');
  story.crash(110, task(), 1, 'w1');
  story.history.told(JOB, 200, 'failed');
  assert.deepEqual(story.broken(), ['failed_when_spent']);
  const blamed = new Story([{ tasks: 1, after: [] }]);
  for (const run of [1, 2]) {
    blamed.begin(run * 100, task(), run, 'w1');
    blamed.crash(run * 100 + 10, task(), run, 'w1');
  }
  blamed.history.told(JOB, 300, 'failed');
  assert.deepEqual(blamed.broken(), []);
});
