import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  disconnectWorker,
  LONG_RUNNING_JOB,
  LONG_RUNNING_TASKS,
  restartOneByOne,
  runRestarts,
  RESTART_ROUNDS,
  restartWorkers,
  SEEDS,
  deploymentWithRestarts,
  WORKERS,
  assertNothingLost,
  type Restart,
} from './restarts-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

/** A tenth of all calls gets no answer and arrives 2 to 12 s later, until 5 s after the last restart. */
function amongLateCalls(restart: Restart): Restart {
  return async (site, turn) => {
    setLateShare(site, 0.1);
    await restart(site, turn);
    if (turn === RESTART_ROUNDS - 1) {
      await site.wait(5_000);
      setLateShare(site, 0);
    }
  };
}

function setLateShare({ fleet }: Simulation, share: number): void {
  fleet.delayedOrderShare = share;
  fleet.delayedPollShare = share;
}

// An order to a start of a worker that has ended was carried out by the next one, whose task was done elsewhere.
test('calls that come late to the next start of a worker do nothing there', async () => {
  for (const awayMs of [0, 30]) {
    const restart = amongLateCalls(restartOneByOne(awayMs));
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const maxLeaseMs = seed % 2 === 0 ? 10_000 : 6_000;
      const site = await runRestarts({ seed, restart, maxLeaseMs });
      assertNothingLost(site, `away for ${awayMs} ms, seed ${seed}`);
    }
  }
});

// A lasting task that began late, before the worker's first answer, ran on beside the one that took its place.
test('a run that begins late and is not open is stopped', async () => {
  const restart = amongLateCalls(restartOneByOne(0));
  const site = await runRestarts({ seed: 34, restart, maxLeaseMs: 10_000 });
  assert.equal(site.history.runningOf(LONG_RUNNING_JOB), LONG_RUNNING_TASKS);
});

// A worker refuses what was meant for the start before only once it has seen a higher fence, with its first answer.
test('no late order is carried out before the first answer of a worker that has started again', async () => {
  for (const [awayMs, seed] of [
    [0, 22],
    [30, 40],
    [1_200, 1],
    [1_200, 33],
  ] as const) {
    const restart = amongLateCalls(restartOneByOne(awayMs));
    const maxLeaseMs = seed % 2 === 0 ? 10_000 : 6_000;
    const site = await runRestarts({ seed, restart, maxLeaseMs });
    assertNothingLost(site, `away for ${awayMs} ms, seed ${seed}`);
  }
});

// A lease end of the start before is far ahead of a clock that began anew: it held there for as long as a worker takes.
test('nothing runs twice where the lease of the start before reaches the next one', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithRestarts({ seed, maxLeaseMs: 10_000 });
    restartWorkers(site, ['w1'], 30);
    await site.time.advance(31);
    await site.fleet.at('w1')?.poll({ ...LATE_LOOK, leaseUntil: 500_000 });
    const idle = WORKERS.filter(name => name !== 'w1');
    idle.forEach(name => {
      site.fleet.crash(name);
    });
    await site.time.advance(1_500);
    disconnectWorker(site, 'w1', 20_000);
    idle.forEach(name => {
      site.addWorker(name);
    });
    await site.time.advance(25_000);
    assert.deepEqual(site.history.check(), [], `seed ${seed}`);
    assert.equal(site.history.runningOf(LONG_RUNNING_JOB), LONG_RUNNING_TASKS);
  }
});

const LATE_LOOK = { fence: 1, acknowledged: 0, waitMs: 0, slackMs: 0 };

test('a leader that has no higher fence left is replaced, and nothing is lost', async () => {
  const site = await deploymentWithRestarts({ seed: 1 });
  const first = site.leader();
  for (let turn = 0; turn < 70; turn += 1) {
    restartWorkers(site, WORKERS.slice(0, 1), 20);
    await site.time.advance(500);
  }
  await site.time.advance(10_000);
  assert.notEqual(site.leader(), first);
  assert.equal(site.history.runningOf(LONG_RUNNING_JOB), LONG_RUNNING_TASKS);
  assert.deepEqual(site.history.check(), []);
});
