import assert from 'node:assert/strict';
import { test } from 'node:test';

import { isReady, isWaiting, statusOf, type Job } from './job.js';
import { applyInbox, applyJournal } from './fold.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { endRun, startOn, stateOf, taskOf, testJob } from './test-support.js';

function getJob(state: JobsState, id: string): Job {
  const job = state.jobs.get(id);
  assert.ok(job);
  return job;
}

test('a step is ready once the steps that it depends on are done', () => {
  const state = stateOf(testJob('j', [{ tasks: 2 }, { after: [0] }]));
  const second = taskOf(state, 'j', 1, 0);
  endRun(state, startOn(state, taskOf(state, 'j', 0, 0), 'w'), 'done');
  assert.equal(isReady(second.step), false);
  endRun(state, startOn(state, taskOf(state, 'j', 0, 1), 'w'), 'done');
  assert.equal(isReady(second.step), true);
});

test('a job is queued, running and completed', () => {
  const state = stateOf(testJob('j', [{}]));
  const job = getJob(state, 'j');
  assert.equal(statusOf(job), 'queued');
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  applyJournal(state, { kind: 'begun', job: 'j' });
  assert.equal(statusOf(job), 'running');
  endRun(state, run, 'done');
  assert.equal(statusOf(job), 'completed');
  assert.equal(state.openJobs.size, 0);
});

test('a job counts as started once a worker has confirmed a run', () => {
  const state = stateOf(testJob('j', [{}]));
  const job = getJob(state, 'j');
  const first = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  assert.equal(statusOf(job), 'queued');
  endRun(state, first, 'void');
  assert.equal(statusOf(job), 'queued');
  endRun(state, startOn(state, taskOf(state, 'j', 0, 0), 'w'), 'lapsed');
  assert.equal(statusOf(job), 'queued');
  startOn(state, taskOf(state, 'j', 0, 0), 'w');
  applyJournal(state, { kind: 'begun', job: 'j' });
  assert.equal(statusOf(job), 'running');
});

test('a repeated submission changes nothing', () => {
  const state = stateOf(testJob('j', [{}]));
  startOn(state, taskOf(state, 'j', 0, 0), 'w');
  applyInbox(state, {
    kind: 'submit',
    job: testJob('j', [{ tasks: 9 }]),
    atWall: 5,
  });
  assert.equal(getJob(state, 'j').spec.steps[0]?.tasks, 1);
  assert.equal(taskOf(state, 'j', 0, 0).runs.length, 1);
});

test('a repeated end changes nothing', () => {
  const state = stateOf(testJob('j', [{ tasks: 2 }]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  endRun(state, run, 'done');
  endRun(state, run, 'done');
  assert.equal(taskOf(state, 'j', 0, 0).step.remaining, 1);
});

test('capacity is released when a run ends', () => {
  const state = stateOf(testJob('j', [{}]));
  const run = startOn(state, taskOf(state, 'j', 0, 0), 'w');
  assert.equal(workerRuns(state, 'w').cpuMilli, 1_000);
  endRun(state, run, 'stopped');
  assert.equal(workerRuns(state, 'w').cpuMilli, 0);
  assert.equal(workerRuns(state, 'w').memoryMiB, 0);
});

test('a stopped task waits again and keeps its checkpoint', () => {
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  endRun(state, startOn(state, task, 'w'), 'stopped', 'half');
  assert.equal(task.status, 'waiting');
  assert.equal(task.checkpoint, 'half');
});

test('only failed runs count as attempts', () => {
  const state = stateOf(testJob('j', [{}]));
  const task = taskOf(state, 'j', 0, 0);
  for (const how of [
    'lapsed',
    'stopped',
    'void',
    'failed',
    'failed',
  ] as const) {
    endRun(state, startOn(state, task, 'w'), how);
  }
  assert.equal(statusOf(getJob(state, 'j')), 'running');
  endRun(state, startOn(state, task, 'w'), 'failed');
  assert.equal(statusOf(getJob(state, 'j')), 'failed');
});

test('a long-running task is never done and never fails its job', () => {
  const state = stateOf(testJob('j', [{ lasting: true }]));
  const task = taskOf(state, 'j', 0, 0);
  for (const how of ['done', 'failed', 'failed', 'failed', 'failed'] as const) {
    endRun(state, startOn(state, task, 'w'), how);
  }
  assert.equal(task.status, 'waiting');
  assert.equal(statusOf(getJob(state, 'j')), 'running');
});

test('cancelling closes an open job, and a completed job stays completed', () => {
  const state = stateOf(testJob('a', [{}]), testJob('b', [{}]));
  endRun(state, startOn(state, taskOf(state, 'b', 0, 0), 'w'), 'done');
  applyInbox(state, { kind: 'cancel', job: 'a' });
  applyInbox(state, { kind: 'cancel', job: 'b' });
  assert.equal(statusOf(getJob(state, 'a')), 'cancelled');
  assert.equal(statusOf(getJob(state, 'b')), 'completed');
  assert.equal(state.openJobs.size, 0);
});

// Rounds counted the waiting tasks of all open steps anew.
test('a step knows how many of its tasks wait', () => {
  const state = stateOf(testJob('j', [{ tasks: 3 }]));
  const task = taskOf(state, 'j', 0, 0);
  const { step } = task;
  assert.equal(step.waiting, 3);
  const failed = startOn(state, task, 'w');
  const done = startOn(state, taskOf(state, 'j', 0, 1), 'w');
  assert.equal(step.waiting, 1);
  endRun(state, failed, 'failed');
  endRun(state, done, 'done');
  assert.equal(step.waiting, 2);
  assert.equal(step.tasks.filter(isWaiting).length, 2);
});
