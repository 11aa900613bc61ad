/*
 * Guards against running a finished job again after a restart of hosts. An append to the inbox that got no answer
 * was sent again, and the log wrote the first one seconds later, so that the submission stood there twice. Once the log
 * had dropped the first one and the records of the job's runs, a host that started took the second one for a new job.
 * A host that is suspended before its append does the same.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { startsOf, submitOthers } from './other-jobs.fixture.test.js';
import { jobOf, Simulation } from './simulation.fixture.test.js';

const JOB = '00000000000000b8';
const HOSTS = ['h1', 'h2', 'h3'];
/** When the late write is done, and when the log has dropped what was written before it. */
const LATE_MS: Millis = 5_500;
const DROPPED_MS: Millis = 30_500;
/** Time in which a host that has started becomes the leader, if there is none, and tasks start. */
const SETTLE_MS: Millis = 5_000;
/** Number of other jobs, one a second. */
const OTHERS = 40;

/** How the job ends. */
type Ending = 'completed' | 'failed' | 'cancelled';

const SCRIPTS: Readonly<Record<Ending, { runMs: Millis; failures: number }>> = {
  completed: { runMs: 300, failures: 0 },
  failed: { runMs: 300, failures: 3 },
  cancelled: { runMs: 100_000, failures: 0 },
};

/** Returns a deployment in which only a late submission is left of a job that has ended. */
async function deploymentWithLateSubmission(
  seed: number,
  ending: Ending,
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  void site.submit(JOB, [{ tasks: 1, after: [] }], SCRIPTS[ending]);
  await site.time.advance(4_000);
  if (ending === 'cancelled') {
    void site.cancel(JOB);
    await site.time.advance(1_000);
  }
  const [submission] = site.log.recordsOf('inbox').filter(isSubmission);
  assert.ok(submission);
  const journalEnd = site.log.recordsOf('journal').length;
  void submitOthers(site, OTHERS);
  await site.time.advance(LATE_MS - site.time.clock());
  const offset = site.log.recordsOf('inbox').length;
  void site.log.connect('h1').append('inbox', [submission]);
  await site.time.advance(DROPPED_MS - site.time.clock());
  site.log.trimStream('inbox', offset);
  site.log.trimStream('journal', journalEnd);
  return site;
}

function isSubmission(record: Uint8Array): boolean {
  return Buffer.from(record).includes(JOB);
}

const RESTARTS: Readonly<Record<string, (site: Simulation) => Promise<void>>> =
  {
    'all at once': async site => {
      restart(site, HOSTS);
      await site.time.advance(SETTLE_MS);
    },
    'one after the other': async site => {
      for (const name of HOSTS) {
        restart(site, [name]);
        await site.time.advance(SETTLE_MS);
      }
    },
    'the leader alone': async site => {
      restart(site, [site.leader()]);
      await site.time.advance(SETTLE_MS);
    },
  };

function restart(site: Simulation, names: readonly string[]): void {
  names.forEach(name => {
    site.kill(name);
  });
  names.forEach(name => site.startHost(name));
}

/** Checks that the job does not run again once hosts restart, and is reported as it ended. */
async function assertRunsNoMore(
  site: Simulation,
  ending: Ending,
  restartHosts: (site: Simulation) => Promise<void>,
): Promise<void> {
  const starts = startsOf(site, JOB);
  await restartHosts(site);
  assert.equal(startsOf(site, JOB), starts);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.history.countActiveRuns(JOB), 0);
  for (const { host } of site.hosts.values()) {
    const asked = host.service.status(JOB);
    await site.time.advance(100);
    const state = await asked;
    assert.equal(state.kind === 'known' && state.status, ending);
  }
}

for (const ending of ['completed', 'failed', 'cancelled'] as const) {
  for (const [name, restartHosts] of Object.entries(RESTARTS)) {
    test(`a job that was submitted twice does not run again: ${ending}, hosts restart: ${name}`, async () => {
      for (const seed of [1, 2]) {
        const site = await deploymentWithLateSubmission(seed, ending);
        await assertRunsNoMore(site, ending, restartHosts);
      }
    });
  }
}

/**
 * Returns a deployment in which only a late submission is left of a completed job: a host received the request, could not
 * reach the leader and was suspended, while another host accepted it; the first one appended it when it resumed.
 */
async function deploymentWithFrozenHost(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  await site.time.until(() => site.leader() !== '', 5_000);
  await site.time.advance(1_000);
  const [frozen = '', other = ''] = HOSTS.filter(h => h !== site.leader());
  site.peers.cuts.add(`${frozen}>${site.leader()}`);
  const job = jobOf(JOB, [{ tasks: 1, after: [] }], SCRIPTS.completed);
  const submitAt = (name: string): unknown =>
    site.hosts.get(name)?.host.service.submit(job, site.time.clock() + 3_000);
  void submitAt(frozen);
  site.freeze(frozen, LATE_MS);
  void submitAt(other);
  site.history.jobs.set(JOB, {
    steps: job.steps,
    maxAttempts: job.terms.maxAttempts,
    cancelledAt: Infinity,
  });
  await site.time.until(() => site.history.isDone(JOB), 3_000);
  await site.time.advance(300);
  const journalEnd = site.log.recordsOf('journal').length;
  void submitOthers(site, OTHERS);
  const submissions = (): number[] =>
    site.log
      .recordsOf('inbox')
      .flatMap((record, at) => (isSubmission(record) ? [at] : []));
  assert.equal(submissions().length, 1);
  await site.time.until(() => submissions().length === 2, 2 * LATE_MS);
  await site.time.advance(DROPPED_MS - site.time.clock());
  site.log.trimStream('inbox', submissions().at(-1) ?? 0);
  site.log.trimStream('journal', journalEnd);
  return site;
}

test('a job that a suspended host submits once more does not run again', async () => {
  for (const seed of [1, 2, 3]) {
    const site = await deploymentWithFrozenHost(seed);
    await assertRunsNoMore(site, 'completed', found => {
      restart(found, HOSTS);
      return found.time.advance(SETTLE_MS);
    });
  }
});
