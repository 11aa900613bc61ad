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

/**
 * Delays a tenth of all calls, which get no answer and arrive 2 to 12 s later, until 5 s after the last
 * restart.
 */
function withDelayedCalls(restart: Restart): Restart {
  return async (site, turn) => {
    setDelayedShare(site, 0.1);
    await restart(site, turn);
    if (turn === RESTART_ROUNDS - 1) {
      await site.wait(5_000);
      setDelayedShare(site, 0);
    }
  };
}

function setDelayedShare({ fleet }: Simulation, share: number): void {
  fleet.delayedOrderShare = share;
  fleet.delayedPollShare = share;
}

// A delayed order to an earlier incarnation was carried out by the next one, although its task was done
// elsewhere.
test('calls that come late to the next start of a worker do nothing there', async () => {
  for (const downtimeMs of [0, 30]) {
    const restart = withDelayedCalls(restartOneByOne(downtimeMs));
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const maxLeaseMs = seed % 2 === 0 ? 10_000 : 6_000;
      const site = await runRestarts({ seed, restart, maxLeaseMs });
      assertNothingLost(site, `down for ${downtimeMs} ms, seed ${seed}`);
    }
  }
});

// A long-running task that a delayed call started before the worker's first answer continued beside its
// replacement.
test('a run that starts late and is not open is stopped', async () => {
  const restart = withDelayedCalls(restartOneByOne(0));
  const site = await runRestarts({ seed: 34, restart, maxLeaseMs: 10_000 });
  assert.equal(
    site.history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
  );
});

// A worker refuses calls meant for its previous incarnation only after it has seen a higher fence, which
// comes with its first answer.
test('no late order is carried out before the first answer of a worker that has started again', async () => {
  for (const [downtimeMs, seed] of [
    [0, 22],
    [30, 40],
    [1_200, 1],
    [1_200, 33],
  ] as const) {
    const restart = withDelayedCalls(restartOneByOne(downtimeMs));
    const maxLeaseMs = seed % 2 === 0 ? 10_000 : 6_000;
    const site = await runRestarts({ seed, restart, maxLeaseMs });
    assertNothingLost(site, `down for ${downtimeMs} ms, seed ${seed}`);
  }
});

// A lease end of the previous incarnation is far ahead of a restarted clock, so the worker held the longest
// lease that it accepts.
test('nothing runs twice if a lease of the previous incarnation reaches the next one', async () => {
  for (const seed of SEEDS) {
    const site = await deploymentWithRestarts({ seed, maxLeaseMs: 10_000 });
    restartWorkers(site, ['w1'], 30);
    await site.time.advance(31);
    await site.fleet.at('w1')?.poll({ ...DELAYED_POLL, leaseUntil: 500_000 });
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
    assert.equal(
      site.history.countActiveRuns(LONG_RUNNING_JOB),
      LONG_RUNNING_TASKS,
    );
  }
});

const DELAYED_POLL = { fence: 1, acknowledged: 0, waitMs: 0, slackMs: 0 };

test('a leader that has no higher fence left is replaced, and nothing is lost', async () => {
  const site = await deploymentWithRestarts({ seed: 1 });
  const first = site.leader();
  for (let turn = 0; turn < 70; turn += 1) {
    restartWorkers(site, WORKERS.slice(0, 1), 20);
    await site.time.advance(500);
  }
  await site.time.advance(10_000);
  assert.notEqual(site.leader(), first);
  assert.equal(
    site.history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
  );
  assert.deepEqual(site.history.check(), []);
});
