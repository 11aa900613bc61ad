/*
 * Hosts of the version before knew a worker by its id alone: their journal does not say at which start of it a
 * run is. What a leader of this version then finds at a worker, it can only learn from its first report.
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
/** Columns of a row that tells of a start, as the version before wrote it. */
const START_COLUMNS = 4;

/** Returns a record as the version before would have written it. */
function asBefore(record: Uint8Array): Uint8Array {
  const row = JSON.parse(new TextDecoder().decode(record)) as unknown[];
  const written = row[0] === 's' ? row.slice(0, START_COLUMNS) : row;
  return new TextEncoder().encode(JSON.stringify(written));
}

function restartOne(site: Simulation, turn: number): void {
  restartWorkers(site, WORKERS.slice(turn, turn + 1), 30);
}

test('nothing is lost where all hosts start anew on the journal of the version before', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      site.log.rewriteJournal = asBefore;
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

test('nothing is lost where leaders of both versions take turns', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      restartHost(site, site.leader(), 800);
      site.log.rewriteJournal = turn % 2 === 0 ? asBefore : record => record;
      await site.wait(2_500);
      restartOne(site, turn);
    };
    assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
  }
});

// A host of the version before claims the epoch after the last one, and has that for its fence.
test('a leader has fences above that of a claim which it had not read', async () => {
  for (const seed of SEEDS) {
    const restart: Restart = async (site, turn) => {
      restartOne(site, turn);
      if (turn === 2) {
        await claimAsBefore(site);
      }
    };
    assertNothingLost(await runRestarts({ seed, restart }), `seed ${seed}`);
  }
});

/** A host of the version before claims, calls all workers under its fence and is lost. */
async function claimAsBefore(site: Simulation): Promise<void> {
  const epoch = 65;
  const claim = { kind: 'claim', epoch, host: 'old', nonce: 5 } as const;
  const stamp = { writer: 'leader', epoch, sequence: 5 };
  const log = site.log.connect('old');
  const found = await log.append('journal', [encodeRecord(claim)], stamp);
  assert.equal(found.kind, 'appended');
  for (const name of WORKERS) {
    const look = { acknowledged: 0, leaseUntil: undefined, waitMs: 0 };
    void site.fleet.at(name)?.poll({ ...look, fence: epoch, slackMs: 0 });
  }
}
