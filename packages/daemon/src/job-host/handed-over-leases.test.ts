/*
 * Guards against tasks that stay unavailable when leaders change while a worker is lost. Long-running tasks
 * whose worker was removed, replaced as announced or crashed were unavailable for 10 to 16 s despite free
 * capacity; users tolerate 9 s. Hosts were restarted one after the other meanwhile, and a new leader knew
 * nothing about the leases of earlier ones. At its first contact it assumed the longest lease that the worker
 * accepts, 10 s there, although leaders grant 5 s. A worker that it never reached was abandoned 9.2 s after
 * its claim, even if the earlier leader had stopped gracefully or had known for seconds that the worker was
 * unresponsive. Simulated workers accepted at most 6 s, which hid the first fault. With 10 s, all tasks must
 * run again within the times below, and no task may run twice if the worker is only unreachable.
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

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];
const SEEDS = [1, 2, 3];
/** How long a host that stops waits for the next leader. */
const HAND_OVER_MS = 3_000;
/** Time after which a stopped host restarts. */
const RESTART_MS = 500;
/** Time within which a change of the leader is complete. */
const CHANGE_MS = 5_000;
/**
 * Time within which a leader has noticed and recorded that a worker is unresponsive; shorter than its lease.
 */
const UNRESPONSIVE_MS = 2_500;
/** Time from the worker's return to the loss of the log: the leader polls again before it, or after. */
const ANSWER_LEADS: readonly Millis[] = [0, 200, 400, 600, 800];
/** Time from the record that a leader reached a worker to its loss: before the first lease, or after. */
const REACHED_LEADS: readonly Millis[] = [0, 100, 1_200];
/** Limit of the measured unavailability: longer than any observed. */
const MAX_UNAVAILABLE_MS = 25_000;
/** Time within which every lease ends, whoever granted it, and the tasks start elsewhere. */
const RECOVERY_MS = 20_000;

/** Stops the leader gracefully: its process ends once another host leads. */
async function stopLeader(site: Simulation): Promise<string> {
  const name = site.leader();
  await site.hosts.get(name)?.host.handOver(HAND_OVER_MS);
  site.kill(name);
  return name;
}

/** Stops the leader gracefully and restarts the host soon after. */
async function restartLeader(site: Simulation): Promise<void> {
  const name = await stopLeader(site);
  await site.wait(RESTART_MS);
  site.startHost(name);
}

function killLeader(site: Simulation): void {
  site.kill(site.leader());
}

/** Calls `change` at each of `times` from now. */
function applyAt(
  site: Simulation,
  times: readonly Millis[],
  change: (site: Simulation) => unknown,
): void {
  for (const at of times) {
    site.time.schedule(at, () => {
      change(site);
    });
  }
}

/** Crashes w1 together with all tasks. */
function crash(site: Simulation): void {
  site.fleet.crash('w1');
  assert.equal(site.history.countActiveRuns(LONG_RUNNING_JOB), 0);
}

/** Cuts w1 off from `hosts`; it continues under its lease. */
function cutOff(site: Simulation, hosts: readonly string[]): void {
  for (const host of hosts) {
    site.fleet.brokenLinks.add(`${host}>w1`);
  }
}

/** Cuts `name` off from the log, and all other hosts from w1. */
function isolate(site: Simulation, name: string): void {
  cutOff(
    site,
    HOSTS.filter(host => host !== name),
  );
  site.log.hostModes.set(name, 'silent');
}

/** Advances until another host than `before` has claimed. */
function untilClaimed(site: Simulation, before: string): Promise<void> {
  return site.time.until(() => site.leader() !== before, CHANGE_MS);
}

/** Advances until the log has the first release of a leader. */
function untilReleased(site: Simulation): Promise<void> {
  return site.time.until(() => {
    const records = site.log.recordsOf('journal').map(decodeJournal);
    return records.some(record => record?.kind === 'release');
  }, CHANGE_MS);
}

/** Advances until the host that claimed last has recorded that it reached w1. */
function untilReached(site: Simulation): Promise<void> {
  const incarnation = site.fleet.at('w1')?.traits.id;
  return site.time.until(() => {
    const records = site.log.recordsOf('journal').map(decodeJournal);
    const claim = records.findLastIndex(record => record?.kind === 'claim');
    return records
      .slice(claim)
      .some(
        record => record?.kind === 'reached' && record.worker === incarnation,
      );
  }, CHANGE_MS);
}

/** Stops the leader, and advances until the next one has reached w1. */
async function handOverW1(site: Simulation): Promise<void> {
  const before = site.leader();
  void stopLeader(site);
  await untilClaimed(site, before);
  await untilReached(site);
}

/** Advances until all tasks run, and returns how long that took. */
async function timeUntilAllRun(site: Simulation): Promise<Millis> {
  const from = site.time.clock();
  const allRun = (): boolean =>
    site.history.countActiveRuns(LONG_RUNNING_JOB) === LONG_RUNNING_TASKS;
  await site.time.until(allRun, MAX_UNAVAILABLE_MS);
  return Math.round(site.time.clock() - from);
}

/**
 * Returns a message if the tasks were unavailable for longer than `withinMs`; fails if they do not keep
 * running after that.
 */
async function reportIfLate(
  site: Simulation,
  withinMs: Millis,
  name: string,
): Promise<string[]> {
  const unavailableMs = await timeUntilAllRun(site);
  await assertNoneTwice(site);
  return unavailableMs > withinMs
    ? [`${name}: unavailable for ${unavailableMs} ms`]
    : [];
}

/** Fails if a task runs in two places, or does not run in the end. */
async function assertNoneTwice(site: Simulation): Promise<void> {
  await site.time.advance(RECOVERY_MS);
  assert.equal(
    site.history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
  );
  assert.deepEqual(site.history.check(), []);
}

test('tasks of a worker that the next leader reached run again in time', async () => {
  const late: string[] = [];
  for (const seed of SEEDS) {
    const site = await deploymentWithLongRunningJob(seed, HOSTS);
    await handOverW1(site);
    await site.time.advance(700);
    crash(site);
    late.push(...(await reportIfLate(site, 7_500, `seed ${seed}`)));
  }
  assert.deepEqual(late, []);
});

/** Changes of leaders, at times counted from the loss of w1. */
interface LeaderChanges {
  readonly name: string;
  readonly times: readonly Millis[];
  readonly change: (site: Simulation) => unknown;
  /** Maximum unavailability after a crash of w1. */
  readonly withinMs: Millis;
}

const STOPS: readonly LeaderChanges[] = [
  {
    name: 'the leader stops soon after',
    times: [300],
    change: stopLeader,
    withinMs: 7_500,
  },
  {
    name: 'three leaders stop',
    times: [2_500, 4_500, 6_500],
    change: stopLeader,
    withinMs: 7_500,
  },
  {
    name: 'three leaders are restarted',
    times: [2_500, 4_500, 6_500],
    change: restartLeader,
    withinMs: 7_500,
  },
];

const KILLS: readonly LeaderChanges[] = [
  {
    name: 'the leader is killed soon after',
    times: [300],
    change: killLeader,
    withinMs: 8_900,
  },
  {
    name: 'two leaders are killed',
    times: [2_500, 4_700],
    change: killLeader,
    withinMs: 8_000,
  },
];

test('tasks of a crashed worker run again in time although leaders stop', async () => {
  assert.deepEqual(await lateAfter(STOPS), []);
});

test('tasks of a crashed worker run again in time although leaders are killed', async () => {
  assert.deepEqual(await lateAfter(KILLS), []);
});

async function lateAfter(cases: readonly LeaderChanges[]): Promise<string[]> {
  const late: string[] = [];
  for (const { name, times, change, withinMs } of cases) {
    for (const seed of SEEDS) {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      crash(site);
      applyAt(site, times, change);
      late.push(
        ...(await reportIfLate(site, withinMs, `${name}, seed ${seed}`)),
      );
    }
  }
  return late;
}

for (const { name, times, change } of [...STOPS, ...KILLS]) {
  for (const seed of SEEDS) {
    test(`w1 is unreachable and ${name}, seed ${seed}`, async () => {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      cutOff(site, HOSTS);
      applyAt(site, times, change);
      await assertNoneTwice(site);
    });
  }
}

for (const seed of SEEDS) {
  // The lease that the earlier leader granted last has nearly all of its time left.
  for (const lead of REACHED_LEADS) {
    test(`w1 becomes unreachable ${lead} ms after the next leader reached it in a handover, seed ${seed}`, async () => {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      await handOverW1(site);
      await site.time.advance(lead);
      cutOff(site, HOSTS);
      await assertNoneTwice(site);
    });
  }

  test(`only a leader without the log reaches w1, seed ${seed}`, async () => {
    const site = await deploymentWithLongRunningJob(seed, HOSTS);
    isolate(site, site.leader());
    await assertNoneTwice(site);
  });

  // The leader does not learn of the claim that follows its release, and continues until its own lease ends.
  test(`only a leader that was asked to stop reaches w1, seed ${seed}`, async () => {
    const site = await deploymentWithLongRunningJob(seed, HOSTS);
    const name = site.leader();
    void site.hosts.get(name)?.host.handOver(HAND_OVER_MS);
    await untilReleased(site);
    assert.equal(site.leader(), name);
    isolate(site, name);
    await assertNoneTwice(site);
  });

  // The return of the worker may be too late to be recorded.
  for (const lead of ANSWER_LEADS) {
    test(`w1 answers its leader again ${lead} ms before that leader loses the log, seed ${seed}`, async () => {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      const name = site.leader();
      cutOff(site, HOSTS);
      await site.time.advance(UNRESPONSIVE_MS);
      site.fleet.brokenLinks.delete(`${name}>w1`);
      await site.time.advance(lead);
      site.log.hostModes.set(name, 'silent');
      await assertNoneTwice(site);
    });
  }

  // What the earlier leader recorded about the unresponsive worker no longer applies.
  for (const lead of REACHED_LEADS) {
    test(`w1 is lost ${lead} ms after the next leader reached it, seed ${seed}`, async () => {
      const site = await deploymentWithLongRunningJob(seed, HOSTS);
      cutOff(site, [site.leader()]);
      await site.time.advance(UNRESPONSIVE_MS);
      const before = site.leader();
      site.kill(before);
      await untilClaimed(site, before);
      await untilReached(site);
      await site.time.advance(lead);
      isolate(site, site.leader());
      await assertNoneTwice(site);
    });
  }
}
