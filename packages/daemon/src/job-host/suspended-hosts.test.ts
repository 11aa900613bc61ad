import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  NEIGHBOUR_JOB,
  NEIGHBOUR_TASKS,
  deploymentWithNeighbours,
  WORKERS,
} from './crashing-deployment.fixture.test.js';
import {
  LONG_RUNNING_JOB,
  LONG_RUNNING_TASKS,
  deploymentWithLongRunningJob,
} from './long-running-deployment.fixture.test.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
/** Bounds of the time for which a machine is suspended, and maximum time between suspensions. */
const MIN_SUSPENSION_MS = 3_000;
const MAX_SUSPENSION_MS = 8_000;
const MAX_UP_MS = 10_000;
const OBSERVATION_MS = 90_000;
/** Every third suspension a worker is lost. */
const SUSPENSIONS_PER_LOSS = 3;
const RECOVERY_MS = 20_000;
const CHECK = { tasks: 3, after: [] };

test('guarantees hold on hosts whose monotonic clock stops during suspension', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithNeighbours(seed);
    const { history, time, random, fleet } = site;
    const endsAt = time.clock() + OBSERVATION_MS;
    const ids: string[] = [];
    for (let turn = 1; time.clock() < endsAt; turn += 1) {
      const names = [...site.hosts.keys()];
      const other = names[Math.floor(random() * names.length)] ?? '';
      const name = turn % 2 === 1 ? site.leader() : other;
      const span =
        MIN_SUSPENSION_MS + random() * (MAX_SUSPENSION_MS - MIN_SUSPENSION_MS);
      const from = time.clock();
      history.faults?.add({ from, until: from + span, of: { host: name } });
      site.suspend(name, span);
      const id = turn.toString(16).padStart(16, '0');
      ids.push(id);
      void site.submit(id, [CHECK, { ...CHECK, after: [0] }], {
        runMs: 1_500,
        failures: 0,
      });
      if (turn % SUSPENSIONS_PER_LOSS === 0) {
        const lost = WORKERS[Math.floor(random() * WORKERS.length)] ?? '';
        fleet.crash(lost);
        fleet.onCrash(lost);
      }
      await time.advance(span + MAX_UP_MS * random());
    }
    await time.advance(RECOVERY_MS);
    assert.deepEqual(history.check(), []);
    assert.equal(history.countActiveRuns(NEIGHBOUR_JOB), NEIGHBOUR_TASKS);
    for (const id of ids) {
      assert.ok(history.isDone(id), `seed ${seed}: ${id} is not done`);
    }
  }
});

test('no task runs twice if only a suspended leader can reach its worker', async () => {
  for (const seed of [1, 2, 3]) {
    // From just over the time in which another host takes over up to the lease of the worker.
    for (const span of [3_000, 3_500, 4_000, 4_500, 4_900]) {
      const site = await deploymentWithLongRunningJob(seed, ['h1', 'h2', 'h3']);
      const leader = site.leader();
      for (const name of site.hosts.keys()) {
        if (name !== leader) {
          site.fleet.brokenLinks.add(`${name}>w1`);
        }
      }
      site.suspend(leader, span);
      await site.time.advance(RECOVERY_MS);
      assert.deepEqual(site.history.check(), []);
      assert.equal(
        site.history.countActiveRuns(LONG_RUNNING_JOB),
        LONG_RUNNING_TASKS,
      );
    }
  }
});
