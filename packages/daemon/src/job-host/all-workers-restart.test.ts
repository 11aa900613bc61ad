import { test } from 'node:test';

import {
  restartOneByOne,
  runRestarts,
  restartHost,
  restartHosts,
  restartWorkers,
  SEEDS,
  WORKERS,
  assertNothingLost,
  type Restart,
} from './restarts-deployment.fixture.test.js';

// What ran on a worker that has started again under its id was taken to run on until another host led, and what
// ended there was forgotten unseen: then it was begun again though it was done.
test('nothing is lost or done twice where workers start again under their ids', async () => {
  for (const awayMs of [0, 30, 1_200]) {
    const restart = restartOneByOne(awayMs);
    for (const seed of SEEDS) {
      const note = `away for ${awayMs} ms, seed ${seed}`;
      assertNothingLost(await runRestarts({ seed, restart }), note);
      const withHosts: Restart = async (site, turn) => {
        await restart(site, turn);
        if (turn % 3 === 2) {
          await site.wait(3_000);
          restartHosts(site);
        }
      };
      const site = await runRestarts({ seed, restart: withHosts });
      assertNothingLost(site, `${note}, then all hosts`);
    }
  }
});

// The registry tells of the old incarnation for a while, which must not be taken for the one that answers.
test('nothing is lost where the registry tells of a restart late', async () => {
  for (const heldMs of [500, 3_000]) {
    for (const seed of SEEDS) {
      const restart: Restart = (site, turn) => {
        site.fleet.freezeEntry(WORKERS[turn] ?? '', heldMs);
        void restartOneByOne(30)(site, turn);
      };
      const site = await runRestarts({ seed, restart });
      assertNothingLost(site, `told ${heldMs} ms late, seed ${seed}`);
    }
  }
});

// A worker whose time of day was set back tells an earlier start than the incarnation that it replaces.
test('nothing is lost where a worker that starts again tells an earlier start', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = (site, turn) => {
      site.workerWallOffset -= 3_600_000;
      void restartOneByOne(30)(site, turn);
    };
    const begun = { seed, wallOffset: 100_000_000 };
    const site = await runRestarts({ ...begun, restart });
    assertNothingLost(site, `seed ${seed}`);
  }
});

test('nothing is lost where several or all workers start again', async () => {
  for (const seed of SEEDS) {
    const several: Restart = (site, turn) => {
      restartWorkers(site, WORKERS.slice(turn % 3, (turn % 3) + 3), 700);
    };
    const all: Restart = (site, turn) => {
      if (turn % 3 === 0) {
        restartWorkers(site, WORKERS, 30);
      }
    };
    for (const restart of [several, all]) {
      assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
    }
  }
});

// A new leader finds runs of incarnations that are gone, which the last one had not given up yet.
test('nothing is lost where the leader is killed soon after a worker has started again', async () => {
  for (const afterMs of [0, 50, 300, 600]) {
    for (const seed of SEEDS) {
      const restart: Restart = async (site, turn) => {
        await restartOneByOne(30)(site, turn);
        await site.wait(30 + afterMs);
        restartHost(site, site.leader(), 1_500);
      };
      const site = await runRestarts({ seed, restart });
      assertNothingLost(site, `killed after ${afterMs} ms, seed ${seed}`);
    }
  }
});
