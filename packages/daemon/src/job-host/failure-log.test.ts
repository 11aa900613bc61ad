/*
 * Guards against jobs that are shown as failed while no line tells why: neither the reason, nor which losses
 * of workers counted and how these workers were judged to be lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { decodeJournal } from '@paddlewind/domain/jobs';

import { captureLog, type LogLine } from './captured-log.fixture.test.js';
import {
  CRASHING_JOB,
  crashingJob,
  LONG_WORKER_RESTART_MS,
  OBSERVATION_MS,
  WORKER_RESTART_MS,
  WORKERS,
} from './crashing-deployment.fixture.test.js';
import { Simulation } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3'];
const SETTLE_MS = 4_000;
const WARN = 40;

/** A simulation whose log lines are captured. */
interface LoggedSite {
  readonly site: Simulation;
  readonly linesWith: (msg: string) => LogLine[];
}

/** Starts three hosts and workers that are back `workerRestartMs` after a crash. */
async function loggedSite(
  workers: readonly string[] = WORKERS,
  workerRestartMs: Millis = WORKER_RESTART_MS,
): Promise<LoggedSite> {
  const { log, lines } = captureLog();
  const logOf = (host: string): typeof log => log.child({ host });
  const site = new Simulation(1, { logOf, workerRestartMs });
  workers.forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  await site.time.advance(SETTLE_MS);
  return {
    site,
    linesWith: msg => lines.filter(line => line.msg === msg),
  };
}

function submitCrashing(site: Simulation): void {
  const { steps, script } = crashingJob(10);
  void site.submit(CRASHING_JOB, steps, script);
}

/** The losses on a line. */
function lossesOf(line: LogLine | undefined): LogLine[] {
  return (line?.losses ?? []) as LogLine[];
}

function isMsAgo(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}

test('the leader tells on one line which losses of workers have failed a job', async () => {
  const { site, linesWith } = await loggedSite();
  submitCrashing(site);
  await site.time.advance(OBSERVATION_MS);
  const [line, ...more] = linesWith('leader: a job has failed');
  assert.deepEqual(more, []);
  const { level, job, task, reason, maxAttempts, failures } = line ?? {};
  assert.deepEqual(
    { level, job, task, reason, maxAttempts, failures },
    {
      level: WARN,
      job: CRASHING_JOB,
      task: `${CRASHING_JOB}.0.0.0`,
      reason: 'workers_lost',
      maxAttempts: 3,
      failures: 0,
    },
  );
  const losses = lossesOf(line);
  assert.equal(losses.length, site.history.workersCrashedBy(CRASHING_JOB));
  assert.deepEqual(line?.lossKinds, { crashed: losses.length });
  losses.forEach((loss, at) => {
    assert.equal(loss.run, at + 1);
    assert.equal(loss.epoch, line.epoch);
    assert.ok(isMsAgo(loss.msAgo) && isMsAgo(loss.journalMsAgo));
    assert.ok(isMsAgo(loss.othersLost) && isMsAgo(loss.silentWorkers));
    assert.ok(typeof loss.worker === 'string');
    assert.ok('age' in loss && 'suspicion' in loss && 'noise' in loss);
    assert.equal(loss.lossKind, 'crashed');
  });
});

test('the end of a lost run tells how its worker was judged to be lost', async () => {
  const { site, linesWith } = await loggedSite();
  submitCrashing(site);
  await site.time.advance(OBSERVATION_MS);
  const [failed] = linesWith('leader: a job has failed');
  const ends = linesWith('leader: a run has ended').filter(
    ({ how }) => how === 'lost',
  );
  const judgements = [...ends, ...lossesOf(failed)].map(
    ({ run, lossKind, reason, presence, silentWorkers, othersLost }) => ({
      run,
      lossKind,
      reason,
      presence,
      silentWorkers,
      othersLost,
    }),
  );
  const count = ends.length;
  assert.ok(count >= 3);
  assert.deepEqual(judgements.slice(0, count), judgements.slice(count));
});

test('the leader tells which runs have failed a job', async () => {
  const { site, linesWith } = await loggedSite();
  const script = { runMs: 100, failures: 9 };
  void site.submit(CRASHING_JOB, [{ tasks: 1, after: [] }], script);
  await site.time.advance(OBSERVATION_MS);
  const [line, ...more] = linesWith('leader: a job has failed');
  assert.deepEqual(more, []);
  const { level, reason, failures, losses } = line ?? {};
  assert.deepEqual(
    { level, reason, failures, losses },
    { level: WARN, reason: 'attempts_spent', failures: 3, losses: [] },
  );
  const failedRuns = line?.failedRuns as LogLine[];
  assert.deepEqual(
    failedRuns.map(({ run }) => run),
    [1, 2, 3],
  );
});

test('losses under an earlier leader are told with its epoch, and not how they were judged', async () => {
  const { site, linesWith } = await loggedSite();
  const { history, time } = site;
  submitCrashing(site);
  await time.until(
    () => linesWith('leader: a run has ended').length === 2,
    OBSERVATION_MS,
  );
  await time.advance(500);
  site.kill(site.leader());
  await time.advance(OBSERVATION_MS);
  const line = linesWith('leader: a job has failed').at(-1);
  const losses = lossesOf(line);
  const earlier = losses.filter(({ epoch }) => epoch !== line?.epoch);
  assert.equal(earlier.length, 2);
  assert.equal((line?.lossKinds as Record<string, number>).earlier_leader, 2);
  assert.equal(losses.length, history.workersCrashedBy(CRASHING_JOB));
  for (const { msAgo, lossKind } of earlier) {
    assert.ok(isMsAgo(msAgo));
    assert.equal(lossKind, undefined);
  }
});

test('losses that were read from a restated job are told without a time', async () => {
  const { site, linesWith } = await loggedSite(
    WORKERS.slice(0, 1),
    LONG_WORKER_RESTART_MS,
  );
  submitCrashing(site);
  await site.time.until(() => lastRestatedLoss(site) >= 0, OBSERVATION_MS);
  site.log.trimJournalAndInbox(lastRestatedLoss(site));
  for (const name of HOSTS) {
    site.kill(name);
    site.startHost(name);
  }
  await site.time.advance(OBSERVATION_MS);
  const line = linesWith('leader: a job has failed').at(-1);
  const losses = lossesOf(line);
  assert.equal((line?.lossKinds as Record<string, number>).restated, 1);
  assert.equal(losses[0]?.msAgo, 'unknown');
  assert.ok(isMsAgo(losses.at(-1)?.msAgo));
});

/** Offset of the last record that restates the job with a lost worker; -1 before. */
function lastRestatedLoss(site: Simulation): number {
  return site.log.recordsOf('journal').findLastIndex(bytes => {
    const record = decodeJournal(bytes);
    if (record?.kind !== 'restate' || record.image.spec.id !== CRASHING_JOB) {
      return false;
    }
    const [, steps] = record.image.occurrences[0] ?? [];
    const [, , , , , , losses] = steps?.[0]?.tasks[0] ?? [];
    return losses !== undefined;
  });
}
