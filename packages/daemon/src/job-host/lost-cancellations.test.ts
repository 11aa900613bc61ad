/*
 * Guards against a cancelled job that runs again after a restart of hosts. The submission of a job that lasts had
 * been dropped from the log, so that a host which started found the cancellation of a job that it did not know yet, and
 * passed over it; then the journal restated the job as it was before the cancellation.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { startsOf, submitOthers } from './other-jobs.fixture.test.js';
import { Simulation } from './simulation.fixture.test.js';

const JOB = '00000000000000b9';
const HOSTS = ['h1', 'h2', 'h3'];
/** When the log has dropped the submission, and when the job is cancelled. */
const CANCELLED_MS: Millis = 31_000;
/** When a second cancellation is written, if the first one got no answer. */
const LATE_MS: Millis = 5_500;
/** Time in which a host that has started becomes the leader, if there is none, and tasks start. */
const SETTLE_MS: Millis = 5_000;
const OTHERS = 60;
const LASTING = { runMs: 10_000_000, failures: 0 };

/** Returns a deployment in which a job was cancelled whose submission the log has dropped. */
async function deploymentWithCancelledJob(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: 2, after: [], lasting: true };
  void site.submit(JOB, [step], LASTING);
  await site.time.until(() => site.history.countActiveRuns(JOB) === 2, 5_000);
  const journalEnd = site.log.recordsOf('journal').length;
  const inboxEnd = site.log.recordsOf('inbox').length;
  void submitOthers(site, OTHERS);
  await site.time.advance(CANCELLED_MS - site.time.clock());
  site.log.trimStream('inbox', inboxEnd);
  site.log.trimStream('journal', journalEnd);
  void site.cancel(JOB);
  await site.time.until(() => site.history.countActiveRuns(JOB) === 0, 5_000);
  return site;
}

async function restartInTurn(site: Simulation): Promise<void> {
  for (const name of HOSTS) {
    site.kill(name);
    site.startHost(name);
    await site.time.advance(SETTLE_MS);
  }
}

async function assertCancelled(site: Simulation): Promise<void> {
  assert.equal(startsOf(site, JOB), 2);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.history.countActiveRuns(JOB), 0);
  for (const { host } of site.hosts.values()) {
    const asked = host.service.status(JOB);
    await site.time.advance(100);
    const state = await asked;
    assert.equal(state.kind === 'known' && state.status, 'cancelled');
  }
}

test('a job whose submission is dropped stays cancelled after a rolling restart', async () => {
  for (const seed of [1, 2]) {
    const site = await deploymentWithCancelledJob(seed);
    await restartInTurn(site);
    await assertCancelled(site);
  }
});

test('a cancellation that is written twice, the second time late, changes nothing', async () => {
  const site = await deploymentWithCancelledJob(3);
  const cancellation = site.log
    .recordsOf('inbox')
    .find(record => Buffer.from(record).includes('cancel'));
  assert.ok(cancellation);
  await site.time.advance(LATE_MS);
  void site.log.connect('h1').append('inbox', [cancellation]);
  await restartInTurn(site);
  await assertCancelled(site);
});
