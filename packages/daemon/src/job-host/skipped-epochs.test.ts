/*
 * Guards against abandoning healthy runs after skipped epochs. A host that lost a claim skips epochs with its
 * next one. If the record that a worker was reached is no longer in the log, its lease is attributed to the
 * epoch before the claim, which no leader had. The lease then counts as expired at once, and all runs are
 * abandoned on healthy workers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000e1';
const LONG_RUNNING = { tasks: 4, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };
/** Append time with which both hosts claim before either sees the claim of the other. */
const APPEND_MS = 250;
/** Time within which the job is restated. */
const RESTATED_MS = 300_000;
const RECOVERY_MS = 20_000;

for (const seed of [1, 2, 3]) {
  test(`a leader that skips epochs abandons no running task, seed ${seed}`, async () => {
    const site = new Simulation(seed);
    for (const name of ['w1', 'w2', 'w3']) {
      site.addWorker(name);
    }
    site.log.appendMs = APPEND_MS;
    site.startHost('h1');
    site.startHost('h2');
    await site.time.advance(3_000);
    site.log.appendMs = 0;
    void site.submit(ID, [LONG_RUNNING], ENDLESS);
    await site.time.advance(5_000);
    assert.equal(site.history.countActiveRuns(ID), 4);
    const isRestated = (): boolean => offsetOfRestate(site) > 0;
    await site.time.until(isRestated, RESTATED_MS);
    const leader = site.leader();
    const other = leader === 'h1' ? 'h2' : 'h1';
    // The log drops records that the other host, cut off, has not read, including those of reached workers.
    site.log.hostModes.set(other, 'silent');
    await site.time.advance(5_000);
    const cutAt = site.log.recordsOf('journal').length;
    await site.time.until(() => offsetOfRestate(site) > cutAt, RESTATED_MS);
    site.log.trimJournalAndInbox(offsetOfRestate(site));
    site.log.hostModes.delete(other);
    await site.time.advance(5_000);
    site.kill(leader);
    await site.time.advance(RECOVERY_MS);
    assert.equal(site.leader(), other);
    assert.deepEqual(site.history.check(), []);
    assert.deepEqual(lapsedRuns(site), []);
  });
}

function offsetOfRestate(site: Simulation): number {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  return records.findLastIndex(record => record?.kind === 'restate');
}

function lapsedRuns(site: Simulation): unknown[] {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  return records.filter(
    record => record?.kind === 'end' && record.how === 'lapsed',
  );
}
