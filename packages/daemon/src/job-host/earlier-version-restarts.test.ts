/*
 * Hosts of the previous version know a worker by its id alone: their journal does not record at which
 * incarnation a run is. A leader of this version can learn that only from the worker's first report.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encodeRecord } from '@paddlewind/domain/jobs';

import {
  assertNothingLost,
  runRestarts,
  restartHost,
  restartHosts,
  restartWorkers,
  WORKERS,
  type Restart,
} from './restarts-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

const SEEDS = [1, 2, 3, 4];
/** Number of columns of a start record in the previous version. */
const START_COLUMNS = 4;

/** Returns a record as the previous version would have written it. */
function inEarlierFormat(record: Uint8Array): Uint8Array {
  const row = JSON.parse(new TextDecoder().decode(record)) as unknown[];
  const written = row[0] === 's' ? row.slice(0, START_COLUMNS) : row;
  return new TextEncoder().encode(JSON.stringify(written));
}

function restartOne(site: Simulation, turn: number): void {
  restartWorkers(site, WORKERS.slice(turn, turn + 1), 30);
}

test('nothing is lost if all hosts restart on the journal of the previous version', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      site.log.rewriteJournal = inEarlierFormat;
      restartOne(site, turn);
      if (turn === 3) {
        await site.wait(200);
        site.log.rewriteJournal = record => record;
        restartHosts(site);
      }
    };
    assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
  }
});

test('nothing is lost if leaders of both versions alternate', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      restartHost(site, site.leader(), 800);
      site.log.rewriteJournal =
        turn % 2 === 0 ? inEarlierFormat : record => record;
      await site.wait(2_500);
      restartOne(site, turn);
    };
    assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
  }
});

// A host of the previous version claims the epoch after the last one, and uses it as its fence.
test('the fences of a leader are above an unread claim', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      restartOne(site, turn);
      if (turn === 2) {
        await claimAsEarlierVersion(site);
      }
    };
    assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
  }
});

/** A host of the previous version claims, calls all workers with its fence and is lost. */
async function claimAsEarlierVersion(site: Simulation): Promise<void> {
  const epoch = 65;
  const claim = { kind: 'claim', epoch, host: 'old', nonce: 5 } as const;
  const stamp = { writer: 'leader', epoch, sequence: 5 };
  const log = site.log.connect('old');
  const found = await log.append('journal', [encodeRecord(claim)], stamp);
  assert.equal(found.kind, 'appended');
  for (const name of WORKERS) {
    const poll = { acknowledged: 0, leaseUntil: undefined, waitMs: 0 };
    void site.fleet.at(name)?.poll({ ...poll, fence: epoch, slackMs: 0 });
  }
}
