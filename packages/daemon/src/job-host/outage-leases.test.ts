/*
 * Tasks must keep running while the log is unavailable for up to 7 s, in any mode: their leases are extended
 * in time after it.
 *
 * After a log that was silent for 6.5 s all of them were started again. Another host claimed at 7.45 s, since
 * its calls to the log timed out late, and had recorded by 7.48 s that it reached the workers; the leases
 * expired at 7.71 s. The new leader extends a lease only with the poll after that record, but had already
 * sent the next poll, which waited 250 ms for an end.
 *
 * After 7 s of silence some deployments still started all four tasks again. The leader's own append was
 * confirmed at 8.38 s, since the attempt in flight when the log came back ended only with its timeout of
 * 1.5 s, while leases end 8 s after the last confirmed append.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { LogMode } from '@paddlewind/stand-ins/jobs';
import { decodeJournal } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const ID = '00000000000000e1';
const LONG_RUNNING = { tasks: 4, after: [], lasting: true };
const ENDLESS = { runMs: 10_000_000, failures: 0 };
const HOSTS = ['h1', 'h2', 'h3'];
const MODES: readonly LogMode[] = ['refusing', 'resetting', 'silent'];
const RECOVERY_MS = 15_000;

for (const outageMs of [5_000, 5_500, 6_000, 6_500, 7_000]) {
  for (const mode of MODES) {
    test(`tasks keep running while the log is unavailable for ${outageMs} ms, ${mode}`, async () => {
      const ended: string[] = [];
      for (const seed of [1, 2, 3, 4, 5, 6]) {
        const site = new Simulation(seed, { maxLeaseMs: 10_000 });
        for (const name of ['w1', 'w2', 'w3']) {
          site.addWorker(name);
        }
        for (const name of HOSTS) {
          site.startHost(name);
        }
        void site.submit(ID, [LONG_RUNNING], ENDLESS);
        await site.time.advance(3_500 + 70 * seed);
        for (const name of HOSTS) {
          site.log.hostModes.set(name, mode);
        }
        await site.time.advance(outageMs);
        site.log.hostModes.clear();
        await site.time.advance(RECOVERY_MS);
        const ends = site.log.recordsOf('journal').map(decodeJournal);
        const found = ends.filter(record => record?.kind === 'end');
        if (found.length > 0) {
          ended.push(`seed ${seed}: ${found.length}`);
        }
      }
      assert.deepEqual(ended, []);
    });
  }
}
