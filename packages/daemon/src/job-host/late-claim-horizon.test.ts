/*
 * Guards against a claim that is carried out seconds after it was sent: the lease times of the
 * former leader that it hands over are outdated, since that leader wrote until the claim arrived.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal } from '@paddlewind/domain/jobs';

import { deploymentWithLongRunningJob } from './long-running-deployment.fixture.test.js';

const HOSTS = ['h1', 'h2'];

for (let seed = 1; seed <= 24; seed += 1) {
  test(`a claim is carried out with a delay, seed ${seed}`, async () => {
    const site = await deploymentWithLongRunningJob(seed, HOSTS);
    const name = site.leader();
    for (const host of HOSTS.filter(other => other !== name)) {
      // Claims get no answer and are carried out at once or up to 6 s later.
      site.log.hostStreamModes.set(`${host} journal`, 'losing');
      site.fleet.brokenLinks.add(`${host}>w1`);
    }
    site.freeze(name, 1_450);
    const claims = (): number =>
      site.log
        .recordsOf('journal')
        .map(decodeJournal)
        .filter(record => record?.kind === 'claim').length;
    await site.time.until(() => claims() > 1, 20_000);
    site.log.hostModes.set(name, 'silent');
    site.log.hostStreamModes.clear();
    await site.time.advance(20_000);
    assert.deepEqual(site.history.check(), []);
  });
}
