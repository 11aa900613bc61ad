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

// Runs on a worker that had restarted under its id counted as running until another host led, and unseen ends
// there were forgotten: tasks were started again although they were done.
test('nothing is lost or done twice if workers restart under their ids', async () => {
  for (const downtimeMs of [0, 30, 1_200]) {
    const restart = restartOneByOne(downtimeMs);
    for (const seed of SEEDS) {
      const note = `down for ${downtimeMs} ms, seed ${seed}`;
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

// The registry names the old incarnation for a while, which must not be mistaken for the one that answers.
test('nothing is lost if the registry reports a restart late', async () => {
  for (const delayMs of [500, 3_000]) {
    for (const seed of SEEDS) {
      const restart: Restart = (site, turn) => {
        site.fleet.freezeEntry(WORKERS[turn] ?? '', delayMs);
        void restartOneByOne(30)(site, turn);
      };
      const site = await runRestarts({ seed, restart });
      assertNothingLost(site, `reported ${delayMs} ms late, seed ${seed}`);
    }
  }
});

// A worker whose wall clock was set back reports an earlier start time than the incarnation that it replaces.
test('nothing is lost if a restarted worker reports an earlier start time', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = (site, turn) => {
      site.workerWallOffset -= 3_600_000;
      void restartOneByOne(30)(site, turn);
    };
    const deployment = { seed, wallOffset: 100_000_000 };
    const site = await runRestarts({ ...deployment, restart });
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

// A new leader finds runs of removed incarnations that the last leader had not abandoned yet.
test('nothing is lost if the leader is killed soon after a worker has restarted', async () => {
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
