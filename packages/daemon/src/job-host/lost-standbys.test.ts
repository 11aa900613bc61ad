/*
 * Found in the review of handed-over leases: a host that begins to read the journal counts what the last
 * leader may have given from when it read of it, not from when that was written.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000e1';
const TASKS = 4;
const LASTING = { tasks: TASKS, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };
const HOSTS = Array.from({ length: 14 }, (_, at) => `h${at + 1}`);
const WITHIN_MS = 9_000;

test('tasks are back in time though the leader and all who stand by are lost', async () => {
  const late: string[] = [];
  for (const seed of [1, 2, 3]) {
    const site = await siteWithLastingJob(seed);
    const standbys = standbysOf(site);
    assert.ok(standbys.length > 0 && standbys.length < HOSTS.length - 1);
    site.fleet.crash('w1');
    for (const name of [site.leader(), ...standbys]) {
      site.kill(name);
    }
    const from = site.time.clock();
    await site.time.until(() => site.history.runningOf(ID) === TASKS, 25_000);
    const away = Math.round(site.time.clock() - from);
    if (away > WITHIN_MS) {
      late.push(`seed ${seed}: away for ${away} ms`);
    }
  }
  assert.deepEqual(late, []);
});

async function siteWithLastingJob(seed: number): Promise<Simulation> {
  const site = new Simulation(seed, { maxLeaseMs: 10_000 });
  for (const name of ['w1', 'w2', 'w3']) {
    site.addWorker(name);
  }
  for (const name of HOSTS) {
    site.startHost(name);
  }
  void site.submit(ID, [LASTING], ENDLESS);
  await site.time.advance(20_000);
  assert.equal(site.history.runningOf(ID), TASKS);
  return site;
}

/** Hosts that the leader has named to stand by. */
function standbysOf(site: Simulation): readonly string[] {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  const last = records.findLast(record => record?.kind === 'heartbeat');
  return last?.kind === 'heartbeat' ? (last.standbys ?? []) : [];
}
