/*
 * A host that begins to read the journal counts the last leader's leases from the time it read the records,
 * not from the time they were written. That adds to the wait if the leader and all standbys are lost
 * together.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal } from '@paddlewind/domain/jobs';

import {
  LONG_RUNNING_JOB,
  LONG_RUNNING_TASKS,
  deploymentWithLongRunningJob,
} from './long-running-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

const HOSTS = Array.from({ length: 14 }, (_, at) => `h${at + 1}`);
const WITHIN_MS = 9_000;
/** Time within which the leader has named the standbys. */
const STANDBYS_NAMED_MS = 20_000;

test('tasks are back in time though the leader and all who stand by are lost', async () => {
  const late: string[] = [];
  for (const seed of [1, 2, 3]) {
    const site = await deploymentWithLongRunningJob(
      seed,
      HOSTS,
      STANDBYS_NAMED_MS,
    );
    const standbys = standbysOf(site);
    assert.ok(standbys.length > 0 && standbys.length < HOSTS.length - 1);
    site.fleet.crash('w1');
    for (const name of [site.leader(), ...standbys]) {
      site.kill(name);
    }
    const from = site.time.clock();
    await site.time.until(
      () =>
        site.history.countActiveRuns(LONG_RUNNING_JOB) === LONG_RUNNING_TASKS,
      25_000,
    );
    const unavailableMs = Math.round(site.time.clock() - from);
    if (unavailableMs > WITHIN_MS) {
      late.push(`seed ${seed}: unavailable for ${unavailableMs} ms`);
    }
  }
  assert.deepEqual(late, []);
});

/** Hosts that the leader has named as standbys. */
function standbysOf(site: Simulation): readonly string[] {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  const last = records.findLast(record => record?.kind === 'heartbeat');
  return last?.kind === 'heartbeat' ? (last.standbys ?? []) : [];
}
