/*
 * Guards against a deployment that does not recover from an overload. For a second or two more
 * starts are needed than the leader's link carries, calls to the hosts that send starts time out,
 * and the leader sends all payloads itself. These fill its link, so that it can't find out whether
 * the other hosts are available, and jobs start late until the load ends, however long ago the peak
 * was.
 */
import { test } from 'node:test';

import {
  FULL_LINK_BYTES_PER_S,
  LIGHT_JOBS_PER_S,
  OVERLOAD_JOBS_PER_S,
  OverloadedDeployment,
  PEAK_JOBS_PER_S,
  STEADY_JOBS_PER_S,
  type Load,
} from './overload-deployment.fixture.test.js';

const SEED = 1;
const BEFORE = { jobsPerS: STEADY_JOBS_PER_S, ms: 4_000 };
const AFTER = { jobsPerS: STEADY_JOBS_PER_S, ms: 20_000 };
/** Time after a disturbance in which the backlog may be worked off. */
const RECOVERY_MS = 8_000;
/** The same for a backlog of several seconds of work: a third of the link is left for it. */
const LONG_RECOVERY_MS = 12_000;
const FREEZE_MS = 1_500;

async function settledDeployment(
  linkBytesPerS?: number,
): Promise<OverloadedDeployment> {
  const site = new OverloadedDeployment(SEED, linkBytesPerS);
  await site.settle();
  return site;
}

/** Runs the load after a disturbance and asserts that jobs start in time meanwhile. */
async function assertRecovers(
  site: OverloadedDeployment,
  after: Load = AFTER,
  recoveryMs = RECOVERY_MS,
): Promise<void> {
  const from = await site.load([after]);
  await site.recover();
  site.assertPrompt(from + recoveryMs, from + after.ms, 'after');
  site.assertAllDone('after');
}

test('a deployment carries the steady load that follows a peak', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE]);
  const from = await site.load([AFTER]);
  await site.recover();
  site.assertPrompt(from, from + AFTER.ms, 'steady');
  site.assertAllDone('steady');
});

test('jobs start in time again soon after a peak', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE, { jobsPerS: PEAK_JOBS_PER_S, ms: 2_000 }]);
  await assertRecovers(site);
});

test('jobs start in time again soon after no standby answered', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE]);
  for (const name of site.others()) {
    site.freeze(name, FREEZE_MS);
  }
  await assertRecovers(site);
});

test('jobs start in time again soon after another host took over with a backlog', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE]);
  site.replaceLeader();
  await assertRecovers(site);
});

test('jobs start in time again soon after a long overload', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE, { jobsPerS: OVERLOAD_JOBS_PER_S, ms: 15_000 }]);
  const light = { jobsPerS: LIGHT_JOBS_PER_S, ms: 20_000 };
  await assertRecovers(site, light, LONG_RECOVERY_MS);
});

// Otherwise one slow host of many would keep the number of starts in flight at its minimum on an
// idle link.
test('jobs start in time again soon after a peak although one other host is slow', async () => {
  const site = await settledDeployment();
  await site.load([BEFORE, { jobsPerS: PEAK_JOBS_PER_S, ms: 2_000 }]);
  site.delayOneStandby(250);
  await assertRecovers(site);
});

test('jobs begin in time again soon after a peak in which the leader is lost, on a link that is full', async () => {
  const site = await settledDeployment(FULL_LINK_BYTES_PER_S);
  await site.load([BEFORE, { jobsPerS: PEAK_JOBS_PER_S, ms: 1_000 }]);
  site.replaceLeader();
  await site.load([{ jobsPerS: PEAK_JOBS_PER_S, ms: 1_000 }]);
  await assertRecovers(site);
});
