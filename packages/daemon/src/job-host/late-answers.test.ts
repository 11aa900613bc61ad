/*
 * Guards against running finished tasks again because a worker answers late. Four tasks that had ended as
 * done ran a second time in one day, under a leader whose link carries 1.4 Mbit/s to 102 workers. The
 * leader's log shows for one of them: the worker's last answer to a poll was at 28.06 s, and from 28.81 s on
 * all polls timed out. The run was done at 30.75 s and listed in all later answers; at 33.56 s the lease
 * expired and the run was abandoned, at 38.21 s the task was ordered elsewhere. Answers that came more than
 * 0.4 s after the poll's wait were discarded, so a worker that always answers a little late counted as
 * unresponsive: its lease was not extended and its ends were not read.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { Simulation } from './simulation.fixture.test.js';

const JOB = '00000000000000a9';
const HOSTS = ['h1', 'h2', 'h3'];
const TASKS = 4;
/** Longer than the timeout of a poll beyond its wait. */
const LATE_MS: Millis = 900;
/** How long answers are late: longer than a lease. */
const CONGESTED_MS: Millis = 12_000;

/**
 * Returns a simulated deployment in which all tasks run on w1, whose answers to polls are late from then on.
 */
async function deploymentWithLateAnswers(
  seed: number,
  runMs: Millis,
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: TASKS, after: [] };
  void site.submit(JOB, [step], { runMs, failures: 0 });
  const allRun = (): boolean => site.history.countActiveRuns(JOB) === TASKS;
  await site.time.until(allRun, 6_000);
  site.addWorker('w2');
  await site.time.advance(300);
  site.fleet.pollDelays.set('w1', LATE_MS);
  return site;
}

for (const runMs of [2_000, 4_000, 9_000]) {
  test(`tasks of a worker that answers late run once: ${runMs} ms`, async () => {
    for (const seed of [1, 2, 3]) {
      const site = await deploymentWithLateAnswers(seed, runMs);
      await site.time.advance(CONGESTED_MS);
      assert.equal(site.recordedStarts(), TASKS, `seed ${seed}`);
      assert.ok(site.history.isDone(JOB));
      assert.deepEqual(site.history.check(), []);
    }
  });
}

test('a worker that is lost while its answers are late is abandoned', async () => {
  const site = await deploymentWithLateAnswers(4, 60_000);
  await site.time.advance(3_000);
  site.fleet.crash('w1');
  const allRun = (): boolean => site.history.countActiveRuns(JOB) === TASKS;
  await site.time.until(allRun, 9_000);
  assert.ok(allRun());
});
