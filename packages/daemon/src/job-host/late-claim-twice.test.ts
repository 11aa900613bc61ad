/*
 * Guards against a claim with outdated information on silent workers. If the leader that is
 * stopping reaches such a worker again and records that before the claim is carried out, readers
 * that believe the claim abandon runs whose lease was extended since.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { decodeJournal } from '@paddlewind/domain/jobs';

import {
  LONG_RUNNING_JOB,
  LONG_RUNNING_TASKS,
  deploymentWithLongRunningJob,
} from './long-running-deployment.fixture.test.js';
import type { Simulation } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3'];
const HANDOVER_TIMEOUT_MS = 3_000;
/** By then the leader has recorded that w1 is silent; the lease of w1 lasts longer. */
const SILENCE_DURATIONS_MS: readonly Millis[] = [
  2_000, 2_200, 2_400, 2_600, 2_800, 3_000, 3_200, 3_400, 3_600, 3_800,
];
/** Append time of a slow log: a claim is carried out this long after the read before it. */
const APPEND_MS = 200;
const RECOVERY_MS = 20_000;
/** Time from the request to stop until w1 answers its leader again. */
const RECONNECT_DELAYS_MS: readonly Millis[] = [0, 200, 400, 600, 800];

for (const seed of [1, 2, 3]) {
  test(`w1 answers a leader again while another claims, seed ${seed}`, async () => {
    const broken: unknown[] = [];
    for (const [silent, lead] of SILENCE_DURATIONS_MS.flatMap(s =>
      RECONNECT_DELAYS_MS.map(l => [s, l] as const),
    )) {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      const name = site.leader();
      for (const host of HOSTS) {
        site.fleet.brokenLinks.add(`${host}>w1`);
      }
      await site.time.advance(silent);
      site.log.appendMs = APPEND_MS;
      void site.hosts.get(name)?.host.handOver(HANDOVER_TIMEOUT_MS);
      site.time.schedule(lead, () => {
        site.fleet.brokenLinks.delete(`${name}>w1`);
      });
      await site.time.until(() => claims(site) > 1, 5_000);
      // This leader does not see the claim and continues until its own leases end.
      site.log.hostModes.set(name, 'silent');
      site.log.appendMs = 0;
      await site.time.advance(RECOVERY_MS);
      assert.equal(
        site.history.countActiveRuns(LONG_RUNNING_JOB),
        LONG_RUNNING_TASKS,
      );
      const found = site.history.check();
      if (found.length > 0) {
        broken.push({ silent, lead, found: found[0] });
      }
    }
    assert.deepEqual(broken, []);
  });
}

function claims(site: Simulation): number {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  return records.filter(record => record?.kind === 'claim').length;
}
