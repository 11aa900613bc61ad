/* Guards against a job that is shown as failed by a host of which no line tells from where it knows that. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { captureLog, type LogLine } from './captured-log.fixture.test.js';
import {
  CRASHING_JOB,
  crashingJob,
  OBSERVATION_MS,
  WORKER_RESTART_MS,
  WORKERS,
} from './crashing-deployment.fixture.test.js';
import { Simulation } from './simulation.fixture.test.js';

const SETTLE_MS = 4_000;
/** Time until all hosts have read what the leader has decided. */
const READ_MS = 3_000;
/** Hosts that read the journal, and hosts too small for it. */
const LARGE_HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8', 'h9'];
const SMALL_HOSTS = ['s1', 's2', 's3', 's4'];

/** The captured lines of a simulation in which a job has failed, with the epoch of the line of its leader. */
interface FailedSite {
  readonly site: Simulation;
  readonly linesWith: (msg: string) => LogLine[];
  readonly epoch: unknown;
}

/** Starts hosts and workers, and waits until a job that crashes its workers has failed. */
async function siteWithFailedJob(): Promise<FailedSite> {
  const { log, lines } = captureLog();
  const logOf = (host: string): typeof log => log.child({ host });
  const site = new Simulation(1, { logOf, workerRestartMs: WORKER_RESTART_MS });
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  LARGE_HOSTS.forEach(name => site.startHost(name));
  await site.time.advance(SETTLE_MS);
  SMALL_HOSTS.forEach(name => site.startHost(name, 0.5));
  await site.time.advance(SETTLE_MS);
  const { steps, script } = crashingJob(10);
  void site.submit(CRASHING_JOB, steps, script);
  const linesWith = (msg: string): LogLine[] =>
    lines.filter(line => line.msg === msg);
  const decided = (): LogLine[] => linesWith('leader: a job has failed');
  await site.time.until(() => decided().length > 0, OBSERVATION_MS);
  await site.time.advance(READ_MS);
  const [failed] = decided();
  return { site, linesWith, epoch: failed?.epoch };
}

test('each host that follows the journal tells once that a job has failed, and under which leader', async () => {
  const { site, linesWith, epoch } = await siteWithFailedJob();
  const seen = linesWith('replica: a job has failed');
  const followers = LARGE_HOSTS.filter(name => name !== site.leader());
  assert.deepEqual(seen.map(({ host }) => host).sort(), followers);
  for (const line of seen) {
    assert.equal(line.reason, 'workers_lost');
    assert.equal(line.epoch, epoch);
    assert.equal(line.by, 'lost');
  }
});

test('each host tells once that it shows a job as failed, and from where it knows that', async () => {
  const { site, linesWith, epoch } = await siteWithFailedJob();
  for (let time = 0; time < 2; time += 1) {
    site.hosts.forEach(({ host }) => {
      void host.service.status(CRASHING_JOB);
    });
    await site.time.advance(1_000);
  }
  const shown = linesWith('jobs: a job is shown as failed');
  const sourceOf = (name: string): string =>
    SMALL_HOSTS.includes(name) ? 'summary' : 'journal';
  const expected = [...site.hosts.keys()].sort().map(host => ({
    host,
    source: sourceOf(host),
    reason: 'workers_lost',
    epoch,
  }));
  const found = shown
    .map(({ host, source, reason, epoch: known }) => ({
      host,
      source,
      reason,
      epoch: known,
    }))
    .sort((a, b) => String(a.host).localeCompare(String(b.host)));
  assert.deepEqual(found, expected);
});

test('a leader that follows again after it was frozen tells that the job was recorded as failed', async () => {
  const { site, linesWith } = await siteWithFailedJob();
  const former = site.leader();
  site.freeze(former, 10_000);
  await site.time.advance(20_000);
  assert.notEqual(site.leader(), former);
  const seen = linesWith('replica: a job has failed').filter(
    ({ host }) => host === former,
  );
  assert.equal(seen.length, 1);
});
