/*
 * Guards against a task that is restarted forever although it crashes its workers. Two tasks were started 32
 * and 24 times, each time on another worker, which crashed within 10 ms of the start together with all its
 * other runs. Their jobs were shown as running all day. A run that was lost with its worker ended as
 * `lapsed`, as if the worker were only unreachable, and its task was queued again: only runs that a worker
 * listed as failed were counted, so `failures` stayed 0 on all runs of such a task, even under a single
 * leader. With losses counted, all variations pass.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal, type JobImage } from '@paddlewind/domain/jobs';

import {
  SEEDS,
  OBSERVATION_MS,
  MAX_CRASHES,
  WORKER_RESTART_MS,
  LONG_WORKER_RESTART_MS,
  SHORT_TASKS_JOB,
  CRASHING_JOB,
  crashingJob,
  killLeaders,
  NEIGHBOUR_JOB,
  NEIGHBOUR_TASKS,
  deploymentWithNeighbours,
  WORKERS,
} from './crashing-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

/** Time after the last crash within which long-running tasks run again. */
const RECOVERY_MS = 20_000;

test('no task is abandoned that only ran on workers which crashed for other reasons', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed);
    const { history, time } = site;
    await crashAtRandom(site);
    await time.advance(RECOVERY_MS);
    assert.deepEqual(history.check(), []);
    assert.equal(history.countActiveRuns(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

test('only the crashing task is abandoned, although others arrived and were lost with it', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, WORKER_RESTART_MS);
    const { history } = site;
    const others = ['00000000000000e1', '00000000000000e2', '00000000000000e3'];
    const { steps, script } = crashingJob(10);
    const healthy = { runMs: script.runMs, failures: 0 };
    for (const id of others) {
      void site.submit(id, steps, healthy);
    }
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.advance(OBSERVATION_MS);
    assert.deepEqual(history.check(), []);
    assert.ok(history.reportedStates(CRASHING_JOB).includes('failed'));
    for (const id of others) {
      assert.ok(history.isDone(id), `seed ${seed}: ${id} is not done`);
    }
    assert.equal(history.countActiveRuns(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

test('few neighbours are lost with a task that crashes its workers, however full these are', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, WORKER_RESTART_MS);
    const crowd = [{ tasks: 80, after: [] }];
    void site.submit(SHORT_TASKS_JOB, crowd, { runMs: 2_000, failures: 0 });
    const { steps, script } = crashingJob(10);
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.advance(OBSERVATION_MS);
    assert.deepEqual(site.history.check(), []);
    // Three neighbours at each of its first two workers, which have four cores. Its later workers run nothing
    // else: they are reserved for it.
    const lost = site.history.otherRunsLostWith(CRASHING_JOB);
    assert.ok(lost <= 2 * 3, `seed ${seed}: ${lost} lost beside it`);
  }
});

test('callers of all hosts get the reason for the failure, also from hosts that read the summary', async () => {
  const site = await deploymentWithNeighbours(1, WORKER_RESTART_MS);
  for (let at = 1; at <= 8; at += 1) {
    site.startHost(`s${at}`, 0.5);
  }
  await site.time.advance(WORKER_RESTART_MS);
  const { steps, script } = crashingJob(10);
  void site.submit(CRASHING_JOB, steps, script);
  await site.time.until(
    () => site.history.firstReportedAt(CRASHING_JOB, 'failed') < Infinity,
    OBSERVATION_MS,
  );
  const asked = [...site.hosts.values()].map(({ host }) =>
    host.service.status(CRASHING_JOB),
  );
  await site.time.advance(1_000);
  const expected = { kind: 'known', status: 'failed', failure: 'workers_lost' };
  for (const answer of await Promise.all(asked)) {
    assert.deepEqual(answer, expected);
  }
});

test('losses are still counted after the journal was trimmed and all hosts were replaced', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, LONG_WORKER_RESTART_MS);
    const { steps, script } = crashingJob(10);
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.until(() => restatedWithLoss(site), OBSERVATION_MS);
    const kept = [CRASHING_JOB, NEIGHBOUR_JOB].map(id =>
      lastRestated(site, id),
    );
    site.log.trimJournalAndInbox(Math.min(...kept));
    for (const name of [...site.hosts.keys()]) {
      site.kill(name);
      site.startHost(name);
    }
    await site.time.advance(OBSERVATION_MS);
    const { history } = site;
    assert.deepEqual(history.check(), []);
    assert.ok(history.reportedStates(CRASHING_JOB).includes('failed'));
    assert.ok(history.workersCrashedBy(CRASHING_JOB) <= MAX_CRASHES);
  }
});

function imagesOf(site: Simulation, id: string): (JobImage | undefined)[] {
  return site.log.recordsOf('journal').map(bytes => {
    const record = decodeJournal(bytes);
    const isOf = record?.kind === 'restate' && record.image.spec.id === id;
    return isOf ? record.image : undefined;
  });
}

/** Offset of the last record that restates a job. */
function lastRestated(site: Simulation, id: string): number {
  return imagesOf(site, id).findLastIndex(image => image !== undefined);
}

/** Whether the job was restated with a worker that was lost under its task. */
function restatedWithLoss(site: Simulation): boolean {
  return imagesOf(site, CRASHING_JOB).some(image => {
    const [, steps] = image?.occurrences[0] ?? [];
    const [, , , , , , losses] = steps?.[0]?.tasks[0] ?? [];
    return losses !== undefined;
  });
}

test('no task of a job starts after it is cancelled between two crashes', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, WORKER_RESTART_MS);
    const { steps, script } = crashingJob(10);
    const { history, time } = site;
    void site.submit(CRASHING_JOB, steps, script);
    await time.until(
      () => history.workersCrashedBy(CRASHING_JOB) === 2,
      OBSERVATION_MS,
    );
    void site.cancel(CRASHING_JOB);
    await time.advance(OBSERVATION_MS);
    assert.deepEqual(history.check(), []);
    assert.equal(history.workersCrashedBy(CRASHING_JOB), 2);
    assert.equal(history.firstReportedAt(CRASHING_JOB, 'failed'), Infinity);
    assert.equal(history.countActiveRuns(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

/** Crashes random workers without a task causing it, at intervals of `pauseMs` plus up to `spreadMs`. */
async function crashAtRandom(
  site: Simulation,
  pauseMs = 2_000,
  spreadMs = 5_000,
): Promise<void> {
  const { fleet, time, random } = site;
  const endsAt = time.clock() + 2 * OBSERVATION_MS;
  while (time.clock() < endsAt) {
    const name = WORKERS[Math.floor(random() * WORKERS.length)] ?? '';
    if (fleet.at(name) !== undefined) {
      fleet.crash(name);
      fleet.onCrash(name);
    }
    await time.advance(pauseMs + random() * spreadMs);
  }
}

/*
 * Failed with 2 of 40 seeds, these two. Every run of one task is lost within some 10 s of its start, three or
 * five times in a row: by chance with one seed. With the other, the run time of a run is underestimated by up
 * to 4 s across a change of leaders, as the leader's log lines of these losses show.
 */
test('no task is abandoned because its workers crash while leaders are killed', async () => {
  const abandoned: number[] = [];
  for (const seed of [16, 30]) {
    const site = await deploymentWithNeighbours(seed);
    void killLeaders(site, 5_000);
    await crashAtRandom(site);
    await site.time.advance(RECOVERY_MS);
    if (site.history.reportedStates(NEIGHBOUR_JOB).includes('failed')) {
      abandoned.push(seed);
    }
  }
  assert.deepEqual(abandoned, []);
});

/**
 * Returns the seeds with which a healthy job is abandoned while every worker crashes about each 13 s;
 * optionally with leaders killed.
 */
async function seedsAbandonedAmongCrashes(
  seeds: readonly number[],
  killEveryMs?: number,
): Promise<number[]> {
  const abandoned: number[] = [];
  for (const seed of seeds) {
    const site = await deploymentWithNeighbours(seed);
    if (killEveryMs !== undefined) {
      void killLeaders(site, killEveryMs);
    }
    await crashAtRandom(site, 1_200, 2_000);
    await site.time.advance(RECOVERY_MS);
    if (site.history.reportedStates(NEIGHBOUR_JOB).includes('failed')) {
      abandoned.push(seed);
    }
  }
  return abandoned;
}

/*
 * Failed with these 4 of 40 seeds. One task was lost five times within 5 s of its starts, at run times from 0
 * to 4.5 s, and all losses counted alike whatever the run time. A task that crashes workers always does so at
 * the same run time; with run times considered, no job is abandoned with any of the 40 seeds.
 */
test('no task is abandoned although every worker crashes each 13 s', async () => {
  assert.deepEqual(await seedsAbandonedAmongCrashes([8, 12, 34, 39]), []);
});

// If leaders restart at once, the run time of a run is unknown, so all losses may be at the same run time.
test('no task is given up though every worker crashes each 13 s and leaders are killed', async () => {
  assert.deepEqual(await seedsAbandonedAmongCrashes([5, 8], 5_000), []);
});

// Guards against hosts that blame other tasks for these losses, since they do not know the abandoned one.
test('the leader records which workers were lost under an abandoned task', async () => {
  const [seed = 1] = SEEDS;
  const site = await deploymentWithNeighbours(seed, WORKER_RESTART_MS);
  const { steps, script } = crashingJob(10);
  void site.submit(CRASHING_JOB, steps, script);
  await site.time.advance(OBSERVATION_MS);
  const records = site.log.recordsOf('journal').map(decodeJournal);
  const abandoned = records.filter(record => record?.kind === 'abandoned');
  assert.deepEqual(
    abandoned.map(({ task }) => task.job),
    [CRASHING_JOB],
  );
  const lost = records.filter(
    record => record?.kind === 'lost' && record.task.job === CRASHING_JOB,
  );
  assert.equal(abandoned[0]?.workers.length, lost.length);
});
