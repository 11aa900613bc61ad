import assert from 'node:assert/strict';
import { test } from 'node:test';

import { JOB, Scenario, task } from './history.fixture.test.js';

const PAIR = { tasks: 2, after: [] };

/** A scenario of a job with two tasks; the first ends as done at 2 s. */
function scenarioOfTwoTasks(gang = false): Scenario {
  const scenario = new Scenario([{ ...PAIR, gang }]);
  scenario.startRun(1_000, task(0), 1);
  scenario.startRun(1_000, task(1), 1);
  scenario.endRun(2_000, task(0), 1, 'done');
  return scenario;
}

test('a job reported as completed before all its tasks are done is a violation', () => {
  const scenario = scenarioOfTwoTasks();
  scenario.history.recordStatus(JOB, 2_000, 'completed');
  scenario.endRun(4_000, task(1), 1, 'done');
  assert.deepEqual(scenario.violatedGuarantees(), ['completed_when_done']);
});

test('a job may be reported as completed once all tasks, or one member of a gang, are done', () => {
  const scenario = scenarioOfTwoTasks();
  scenario.endRun(4_000, task(1), 1, 'done');
  scenario.history.recordStatus(JOB, 3_000, 'completed');
  assert.deepEqual(scenario.violatedGuarantees(), []);
  const gang = scenarioOfTwoTasks(true);
  gang.history.recordStatus(JOB, 2_000, 'completed');
  assert.deepEqual(gang.violatedGuarantees(), []);
});

test('a job reported as failed before its attempts are spent is a violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.startRun(100, task(0), 1);
  scenario.endRun(200, task(0), 1, 'failed');
  scenario.startRun(300, task(0), 2);
  scenario.endRun(400, task(0), 2, 'lapsed');
  scenario.startRun(300, task(1), 1);
  scenario.endRun(400, task(1), 1, 'failed');
  scenario.history.recordStatus(JOB, 400, 'failed');
  assert.deepEqual(scenario.violatedGuarantees(), ['failed_when_spent']);
});

test('failures of several gang members in the same run count as one attempt', () => {
  const scenario = new Scenario([{ ...PAIR, gang: true }]);
  for (const index of [0, 1]) {
    scenario.startRun(100, task(index), 1);
    scenario.endRun(200, task(index), 1, 'failed');
  }
  scenario.history.recordStatus(JOB, 400, 'failed');
  assert.deepEqual(scenario.violatedGuarantees(), ['failed_when_spent']);
});

test('a job may be reported as failed once a task or a gang has failed twice', () => {
  for (const gang of [false, true]) {
    const scenario = new Scenario([{ ...PAIR, tasks: 1, gang }]);
    for (const run of [1, 2]) {
      scenario.startRun(run * 100, task(0), run);
      scenario.endRun(run * 100 + 50, task(0), run, 'failed');
    }
    scenario.history.recordStatus(JOB, 250, 'failed');
    assert.deepEqual(scenario.violatedGuarantees(), []);
  }
});

test('a job reported as cancelled before the request is a violation, later it is not', () => {
  const scenario = new Scenario([PAIR], {
    cancelRequestedAt: 1_000,
    cancelledAt: 2_000,
  });
  scenario.now = 1_000;
  scenario.history.recordStatus(JOB, 900, 'cancelled');
  assert.deepEqual(scenario.violatedGuarantees(), []);
  scenario.now = 999;
  scenario.history.recordStatus(JOB, 900, 'cancelled');
  assert.deepEqual(scenario.violatedGuarantees(), ['cancelled_when_asked']);
});

test('an accepted job reported as unknown is a violation', () => {
  const scenario = new Scenario([PAIR]);
  scenario.now = 3_002;
  scenario.history.recordStatus(JOB, 3_001, 'no_such_job');
  assert.deepEqual(scenario.violatedGuarantees(), ['known_once_accepted']);
});

test('a job may be unknown soon after its acceptance, after a cancel, or long after its end', () => {
  const early = new Scenario([PAIR]);
  early.now = 3_100;
  early.history.recordStatus(JOB, 3_000, 'no_such_job');
  assert.deepEqual(early.violatedGuarantees(), []);
  const cancelled = new Scenario([PAIR], { cancelRequestedAt: 2_000 });
  cancelled.now = 4_000;
  cancelled.history.recordStatus(JOB, 3_500, 'no_such_job');
  assert.deepEqual(cancelled.violatedGuarantees(), []);
  const finished = scenarioOfTwoTasks();
  finished.history.statusMs = 20_000;
  finished.endRun(4_000, task(1), 1, 'done');
  finished.now = 24_000;
  finished.history.recordStatus(JOB, 23_000, 'no_such_job');
  assert.deepEqual(finished.violatedGuarantees(), []);
  finished.now = 23_999;
  finished.history.recordStatus(JOB, 23_000, 'no_such_job');
  assert.deepEqual(finished.violatedGuarantees(), ['known_once_accepted']);
});

/** A scenario of three jobs that were accepted at 0 and have not started. */
function scenarioOfThreeJobs(): Scenario {
  const scenario = new Scenario([PAIR]);
  for (const id of ['b', 'c']) {
    scenario.history.jobs.set(id, {
      steps: [PAIR],
      maxAttempts: 2,
      acceptedAt: 0,
      cancelledAt: Infinity,
    });
  }
  return scenario;
}

test('a queue length below half of the waiting jobs is a violation', () => {
  const scenario = scenarioOfThreeJobs();
  scenario.now = 5_010;
  scenario.history.recordQueueLength('h1', 5_001, 1);
  assert.deepEqual(scenario.violatedGuarantees(), ['length_counts']);
});

test('a queue length may omit half of the waiting jobs, and jobs accepted just before', () => {
  const scenario = scenarioOfThreeJobs();
  scenario.now = 5_000;
  scenario.history.recordQueueLength('h1', 5_000, 0);
  scenario.now = 5_010;
  scenario.history.recordQueueLength('h1', 5_001, 2);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('started or cancelled jobs need not be counted in the queue length', () => {
  const scenario = scenarioOfThreeJobs();
  scenario.startRun(5_005, task(0), 1);
  const cancelled = scenario.history.jobs.get('b');
  assert.ok(cancelled);
  cancelled.cancelRequestedAt = 4_000;
  scenario.now = 5_010;
  scenario.history.recordQueueLength('h1', 5_001, 1);
  assert.deepEqual(scenario.violatedGuarantees(), []);
});

test('a queue length is not judged during faults of its host or the log, but during other faults it is', () => {
  for (const of of [{ host: 'h1' }, 'log'] as const) {
    const scenario = scenarioOfThreeJobs();
    scenario.faults.add({ from: 1_000, until: 2_500, of });
    scenario.now = 5_010;
    scenario.history.recordQueueLength('h1', 5_001, 0);
    assert.deepEqual(scenario.violatedGuarantees(), []);
  }
  for (const of of [{ host: 'h2' }, 'workers'] as const) {
    const scenario = scenarioOfThreeJobs();
    scenario.faults.add({ from: 1_000, until: 2_500, of });
    scenario.now = 5_010;
    scenario.history.recordQueueLength('h1', 5_001, 0);
    assert.deepEqual(scenario.violatedGuarantees(), ['length_counts']);
  }
});

test('a job may be reported as failed once a task has crashed two workers, not before', () => {
  const scenario = new Scenario([{ tasks: 1, after: [] }]);
  scenario.startRun(100, task(), 1, 'w1');
  scenario.crashWorker(110, task(), 1, 'w1');
  scenario.history.recordStatus(JOB, 200, 'failed');
  assert.deepEqual(scenario.violatedGuarantees(), ['failed_when_spent']);
  const abandoned = new Scenario([{ tasks: 1, after: [] }]);
  for (const run of [1, 2]) {
    abandoned.startRun(run * 100, task(), run, 'w1');
    abandoned.crashWorker(run * 100 + 10, task(), run, 'w1');
  }
  abandoned.history.recordStatus(JOB, 300, 'failed');
  assert.deepEqual(abandoned.violatedGuarantees(), []);
});
