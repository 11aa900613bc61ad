/*
 * Seen: two tasks were started 32 and 24 times, each time on another worker, which crashed within 10 ms
 * of the start and took all that ran there along, until the operators' day was over. Their jobs were
 * shown as running all the while. How: a run that went with its worker ended as lapsed, as one does
 * whose worker is only out of reach, and its task waited to be started again. Cause: only runs that a
 * worker listed as failed were counted; what the leader knew of the loss ended with its log line. Proof:
 * `failures` was 0 on every run of such a task, within one epoch, beside `its runs are given up` with
 * `another life of the worker answered`; and all shapes below pass once losses are counted.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal, type JobImage } from '@paddlewind/domain/jobs';

import {
  SEEDS,
  WATCHED_MS,
  MAX_CRASHES,
  REVIVAL_MS,
  LONG_REVIVAL_MS,
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

/** Time after the last crash in which lasting tasks run again. */
const CALM_MS = 20_000;

test('no task is given up that only stood on workers which crashed for other reasons', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed);
    const { history, time } = site;
    await crashAtRandom(site);
    await time.advance(CALM_MS);
    assert.deepEqual(history.check(), []);
    assert.equal(history.runningOf(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

test('a task is given up alone, though others arrived and were lost with it', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, REVIVAL_MS);
    const { history } = site;
    const others = ['00000000000000e1', '00000000000000e2', '00000000000000e3'];
    const { steps, script } = crashingJob(10);
    const sound = { runMs: script.runMs, failures: 0 };
    for (const id of others) {
      void site.submit(id, steps, sound);
    }
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.advance(WATCHED_MS);
    assert.deepEqual(history.check(), []);
    assert.ok(history.reportedStates(CRASHING_JOB).includes('failed'));
    for (const id of others) {
      assert.ok(history.isDone(id), `seed ${seed}: ${id} is not done`);
    }
    assert.equal(history.runningOf(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

test('few neighbours are lost with a task that crashes its workers, however full these are', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, REVIVAL_MS);
    const crowd = [{ tasks: 80, after: [] }];
    void site.submit(SHORT_TASKS_JOB, crowd, { runMs: 2_000, failures: 0 });
    const { steps, script } = crashingJob(10);
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.advance(WATCHED_MS);
    assert.deepEqual(site.history.check(), []);
    // Three beside it at its first two workers, for its later ones are its own: four cores each.
    const lost = site.history.otherRunsLostWith(CRASHING_JOB);
    assert.ok(lost <= 2 * 3, `seed ${seed}: ${lost} lost beside it`);
  }
});

test('callers of all hosts are told why the job has failed, also by those that read the summary', async () => {
  const site = await deploymentWithNeighbours(1, REVIVAL_MS);
  for (let at = 1; at <= 8; at += 1) {
    site.startHost(`s${at}`, 0.5);
  }
  await site.time.advance(REVIVAL_MS);
  const { steps, script } = crashingJob(10);
  void site.submit(CRASHING_JOB, steps, script);
  await site.time.until(
    () => site.history.firstReportedAt(CRASHING_JOB, 'failed') < Infinity,
    WATCHED_MS,
  );
  const asked = [...site.hosts.values()].map(({ host }) =>
    host.service.status(CRASHING_JOB),
  );
  await site.time.advance(1_000);
  const expected = { kind: 'known', status: 'failed', failure: 'workers_lost' };
  for (const told of await Promise.all(asked)) {
    assert.deepEqual(told, expected);
  }
});

test('losses count though the journal is trimmed and all hosts are new', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, LONG_REVIVAL_MS);
    const { steps, script } = crashingJob(10);
    void site.submit(CRASHING_JOB, steps, script);
    await site.time.until(() => restatedWithLoss(site), WATCHED_MS);
    const kept = [CRASHING_JOB, NEIGHBOUR_JOB].map(id =>
      lastRestated(site, id),
    );
    site.log.trimTo(Math.min(...kept));
    for (const name of [...site.hosts.keys()]) {
      site.kill(name);
      site.startHost(name);
    }
    await site.time.advance(WATCHED_MS);
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

/** Offset of the newest record that restates a job. */
function lastRestated(site: Simulation, id: string): number {
  return imagesOf(site, id).findLastIndex(image => image !== undefined);
}

/** Whether the job is restated with a worker that was lost under its task. */
function restatedWithLoss(site: Simulation): boolean {
  return imagesOf(site, CRASHING_JOB).some(image => {
    const [, steps] = image?.occurrences[0] ?? [];
    const [, , , , , , losses] = steps?.[0]?.tasks[0] ?? [];
    return losses !== undefined;
  });
}

test('nothing of a job begins once it is cancelled between two crashes', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed, REVIVAL_MS);
    const { steps, script } = crashingJob(10);
    const { history, time } = site;
    void site.submit(CRASHING_JOB, steps, script);
    await time.until(
      () => history.workersCrashedBy(CRASHING_JOB) === 2,
      WATCHED_MS,
    );
    void site.cancel(CRASHING_JOB);
    await time.advance(WATCHED_MS);
    assert.deepEqual(history.check(), []);
    assert.equal(history.workersCrashedBy(CRASHING_JOB), 2);
    assert.equal(history.firstReportedAt(CRASHING_JOB, 'failed'), Infinity);
    assert.equal(history.runningOf(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
  }
});

/** Crashes one worker after the other, with no task to blame: after `pauseMs` and up to `spreadMs` more. */
async function crashAtRandom(
  site: Simulation,
  pauseMs = 2_000,
  spreadMs = 5_000,
): Promise<void> {
  const { fleet, time, random } = site;
  const endsAt = time.clock() + 2 * WATCHED_MS;
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
 * Seen with 2 of 40 seeds, these two. How: each run of one task is lost within some 10 s of its start, three
 * or five times on end. Cause: by chance in the one; in the other, how long a run has been at work is known
 * up to 4 s too low over a change of leaders. Proof: the leader's lines of these losses.
 */
test('no task is given up for crashes of its workers while leaders are killed', async () => {
  const givenUp: number[] = [];
  for (const seed of [16, 30]) {
    const site = await deploymentWithNeighbours(seed);
    void killLeaders(site, 5_000);
    await crashAtRandom(site);
    await site.time.advance(CALM_MS);
    if (site.history.reportedStates(NEIGHBOUR_JOB).includes('failed')) {
      givenUp.push(seed);
    }
  }
  assert.deepEqual(givenUp, []);
});

/** Seeds that give a sound job up where every worker crashes each 13 s; with leaders killed, and without. */
async function givenUpAmongCrashes(
  seeds: readonly number[],
  killEveryMs?: number,
): Promise<number[]> {
  const givenUp: number[] = [];
  for (const seed of seeds) {
    const site = await deploymentWithNeighbours(seed);
    if (killEveryMs !== undefined) {
      void killLeaders(site, killEveryMs);
    }
    await crashAtRandom(site, 1_200, 2_000);
    await site.time.advance(CALM_MS);
    if (site.history.reportedStates(NEIGHBOUR_JOB).includes('failed')) {
      givenUp.push(seed);
    }
  }
  return givenUp;
}

/*
 * Seen with these 4 of 40 seeds. How: one task was lost five times within 5 s of its starts, at ages from 0 to
 * 4.5 s. Cause: losses counted alike whatever the age at which they came. Proof: a task that brings workers
 * down does so at one age; with ages told none of the 40 is given up.
 */
test('no task is given up though every worker crashes each 13 s', async () => {
  assert.deepEqual(await givenUpAmongCrashes([8, 12, 34, 39]), []);
});

// With leaders that start again at once the age of a run is not known: all losses may be at the same.
test('no task is given up though every worker crashes each 13 s and leaders are killed', async () => {
  assert.deepEqual(await givenUpAmongCrashes([5, 8], 5_000), []);
});
