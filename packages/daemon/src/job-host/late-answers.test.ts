/*
 * Seen: tasks that had ended as done ran a second time, four on a day of a leader whose link carries
 * 1.4 Mbit/s to 102 workers. How, by the leader's log of one of them: its worker answered a look last at
 * 28.06 s; from 28.81 s on each look timed out; the run was done at 30.75 s, and the worker listed it in
 * the answers that it sent from then on; at 33.56 s the lease ended and the run was given up, at 38.21 s
 * the task was ordered elsewhere. Cause: an answer that came later than 0.4 s after the look's wait was
 * thrown away, so that a worker which answers a little late all the time counted as silent, its lease was
 * not extended, and its ends were not read.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { Simulation } from './simulation.fixture.test.js';

const JOB = '00000000000000a9';
const HOSTS = ['h1', 'h2', 'h3'];
const TASKS = 4;
/** Longer than the time that a look has beyond its wait. */
const LATE_MS: Millis = 900;
/** How long answers are late: longer than leases hold. */
const CONGESTED_MS: Millis = 12_000;

/** A site on which all tasks run on w1, whose answers to looks come late from then on. */
async function siteWithLateAnswers(
  seed: number,
  runMs: Millis,
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: TASKS, after: [] };
  void site.submit(JOB, [step], { runMs, failures: 0 });
  const runs = (): boolean => site.history.runningOf(JOB) === TASKS;
  await site.time.until(runs, 6_000);
  site.addWorker('w2');
  await site.time.advance(300);
  site.fleet.pollDelays.set('w1', LATE_MS);
  return site;
}

for (const runMs of [2_000, 4_000, 9_000]) {
  test(`tasks of a worker that answers late run once: ${runMs} ms`, async () => {
    for (const seed of [1, 2, 3]) {
      const site = await siteWithLateAnswers(seed, runMs);
      await site.time.advance(CONGESTED_MS);
      assert.equal(site.recordedStarts(), TASKS, `seed ${seed}`);
      assert.ok(site.history.isDone(JOB));
      assert.deepEqual(site.history.check(), []);
    }
  });
}

test('a worker that is lost while its answers come late is given up', async () => {
  const site = await siteWithLateAnswers(4, 60_000);
  await site.time.advance(3_000);
  site.fleet.crash('w1');
  const back = (): boolean => site.history.runningOf(JOB) === TASKS;
  await site.time.until(back, 9_000);
  assert.ok(back());
});
