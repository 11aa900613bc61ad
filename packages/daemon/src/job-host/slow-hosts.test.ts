/*
 * Guards against a leader that does more than its processor allows until it falls silent. On hosts that take
 * 25 ms for each event it decided on more starts than it could send: most of them waited until they were
 * dropped, each was recorded as ended and decided again, and the journal was silent for so long that another
 * host claimed, to which the same happened: 20 leaders in 65 s, with 11 of 20 jobs not done.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { decodeJournal } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const SETTLE_MS = 5_000;
const JOBS = 20;
const JOB_INTERVAL_MS = 500;
const CALM_MS = 50_000;

/** Runs jobs on six hosts that take `eventMs` for each event; returns the number of claims. */
async function runOnSlowHosts(
  workers: number,
  eventMs: Millis,
): Promise<{ claims: number; unfinished: string[] }> {
  const site = new Simulation(1);
  for (let at = 0; at < workers; at += 1) {
    site.addWorker(`w${at}`);
  }
  for (let at = 0; at < 6; at += 1) {
    site.startHost(`h${at}`, 0.12);
  }
  await site.time.advance(SETTLE_MS);
  for (const name of site.hosts.keys()) {
    site.slow(name, eventMs);
  }
  for (let at = 0; at < JOBS; at += 1) {
    const id = `b${at.toString(16).padStart(15, '0')}`;
    const script = { runMs: 1_000, failures: 0 };
    void site.submit(id, [{ tasks: 10, after: [] }], script);
    await site.time.advance(JOB_INTERVAL_MS);
  }
  await site.time.advance(CALM_MS);
  const records = site.log.recordsOf('journal').map(decodeJournal);
  const claims = records.filter(record => record?.kind === 'claim').length;
  return { claims, unfinished: site.history.unfinished() };
}

for (const { workers, eventMs } of [
  { workers: 102, eventMs: 25 },
  { workers: 60, eventMs: 28 },
]) {
  test(`one slow host leads ${workers} workers and finishes all jobs`, async () => {
    const { claims, unfinished } = await runOnSlowHosts(workers, eventMs);
    assert.deepEqual(unfinished, []);
    assert.equal(claims, 1);
  });
}
