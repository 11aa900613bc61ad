/*
 * Guards against starts in an availability zone that the operator has evacuated. Nothing read these requests,
 * and 8,590 tasks started in such zones on one day. A leader knows of an evacuation by its own reads alone, so
 * that starts which wait, which other hosts send, and those of a new leader have to be held back as well.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import { jobOf, Simulation } from './simulation.fixture.test.js';

const SHORT_RUN = { runMs: 400, failures: 0 };
const ENDLESS_RUN = { runMs: 10_000_000, failures: 0 };
const HOSTS = ['h1', 'h2', 'h3'];
/** Within this time of the operator's request nothing may start any more. */
const EFFECT_MS: Millis = 5_000;

interface Options {
  readonly relayAllStarts?: boolean;
}

/** Workers `a1` and `a2` are in zone a, `b1` and `b2` in zone b. */
async function deploymentOfTwoZones(
  seed: number,
  options: Options = {},
): Promise<Simulation> {
  const site = new Simulation(seed, {
    ...options,
    zoneOf: machine => machine.slice(0, 1),
  });
  for (const name of ['a1', 'a2', 'b1', 'b2']) {
    site.addWorker(name, [`zone-${name.slice(0, 1)}`]);
  }
  for (const name of HOSTS) {
    site.startHost(name);
  }
  await site.time.advance(3_500);
  return site;
}

function idOf(at: number): string {
  return (at + 1).toString(16).padStart(16, '0');
}

/** Submits a job of four tasks every 200 ms for `span`. */
async function submitSteadily(site: Simulation, span: Millis): Promise<void> {
  const first = site.history.jobs.size;
  for (let at = 0; at < span / 200; at += 1) {
    void site.submit(idOf(first + at), [{ tasks: 4, after: [] }], SHORT_RUN);
    await site.time.advance(200);
  }
}

function runsIn(site: Simulation, zone: string): number {
  return ['1', '2'].reduce(
    (sum, number) => sum + (site.fleet.at(`${zone}${number}`)?.activeRuns ?? 0),
    0,
  );
}

function assertNoViolations(site: Simulation): void {
  assert.deepEqual(site.history.check(), []);
}

for (const relayAllStarts of [false, true]) {
  const how = relayAllStarts ? ' by way of other hosts' : '';
  test(`nothing starts in an evacuated zone${how}`, async () => {
    const site = await deploymentOfTwoZones(1, { relayAllStarts });
    await submitSteadily(site, 2_000);
    site.operator.evacuate('a');
    await submitSteadily(site, 10_000);
    assert.equal(runsIn(site, 'a'), 0);
    assert.ok(runsIn(site, 'b') > 0);
    assertNoViolations(site);
  });
}

test('a zone is used again once its evacuation is taken back, and not while it comes again', async () => {
  const site = await deploymentOfTwoZones(2);
  for (let round = 0; round < 3; round += 1) {
    site.operator.evacuate('a');
    await submitSteadily(site, 7_000);
    assert.equal(runsIn(site, 'a'), 0);
    site.operator.endEvacuation('a');
    await submitSteadily(site, 2_000);
    assert.ok(runsIn(site, 'a') > 0);
  }
  assertNoViolations(site);
});

test('nothing starts while all zones are evacuated, and all that waited runs after that', async () => {
  const site = await deploymentOfTwoZones(3);
  ['a', 'b', 'zone without workers'].forEach(zone => {
    site.operator.evacuate(zone);
  });
  await site.time.advance(1_000);
  await submitSteadily(site, 6_000);
  assert.equal(site.recordedStarts(), 0);
  site.operator.endEvacuation('b');
  await site.time.advance(12_000);
  assert.deepEqual(site.history.unfinished(), []);
  assertNoViolations(site);
});

test('a new leader knows the evacuations before its first start', async () => {
  const site = await deploymentOfTwoZones(4);
  site.operator.evacuate('a');
  for (let change = 0; change < 6; change += 1) {
    await submitSteadily(site, 3_000);
    const leader = site.leader();
    site.kill(leader);
    await submitSteadily(site, 300);
    site.startHost(leader);
  }
  await submitSteadily(site, 3_000);
  assertNoViolations(site);
});

test('a leader that the store turns away starts nothing in a zone that is evacuated meanwhile', async () => {
  const site = await deploymentOfTwoZones(5);
  await submitSteadily(site, 2_000);
  for (const mode of ['refusing', 'silent', 'resetting'] as const) {
    const leader = site.leader();
    site.log.hostModes.set(leader, mode);
    site.operator.evacuate('a');
    await submitSteadily(site, 9_000);
    site.log.hostModes.delete(leader);
    await submitSteadily(site, 3_000);
    site.operator.endEvacuation('a');
    await submitSteadily(site, 2_000);
  }
  assertNoViolations(site);
});

test('a leader whose reads of the operator alone fail stops starting tasks in time', async () => {
  const site = await deploymentOfTwoZones(6);
  await submitSteadily(site, 2_000);
  site.operator.silentTo.add(site.leader());
  site.operator.evacuate('a');
  await submitSteadily(site, 9_000);
  assertNoViolations(site);
  site.operator.silentTo.clear();
  site.operator.endEvacuation('a');
  await site.time.advance(15_000);
  assert.deepEqual(site.history.unfinished(), []);
});

test('long-running tasks stay in an evacuated zone, and start elsewhere once their worker is lost', async () => {
  const site = await deploymentOfTwoZones(7);
  const lasting = { tasks: 4, after: [], lasting: true };
  void site.submit(idOf(0), [lasting], ENDLESS_RUN);
  await site.time.advance(2_000);
  const zone = runsIn(site, 'a') > 0 ? 'a' : 'b';
  site.operator.evacuate(zone);
  await site.time.advance(EFFECT_MS + 3_000);
  assert.equal(runsIn(site, zone), 4);
  site.fleet.crash(`${zone}1`);
  site.fleet.crash(`${zone}2`);
  await site.time.advance(9_000);
  assert.equal(site.history.countActiveRuns(idOf(0)), 4);
  assertNoViolations(site);
});

test('long-running tasks move off a worker that leaves an evacuated zone to another zone', async () => {
  const site = await deploymentOfTwoZones(8);
  const lasting = { tasks: 4, after: [], lasting: true };
  void site.submit(idOf(0), [lasting], ENDLESS_RUN);
  await site.time.advance(2_000);
  const zone = runsIn(site, 'a') > 0 ? 'a' : 'b';
  site.operator.evacuate(zone);
  await site.time.advance(1_000);
  site.fleet.announceLeave(`${zone}1`);
  site.fleet.announceLeave(`${zone}2`);
  await site.time.advance(3_000);
  assert.equal(runsIn(site, zone), 0);
  assert.equal(site.history.countActiveRuns(idOf(0)), 4);
  assertNoViolations(site);
});

test('a worker that starts again in an evacuated zone is given nothing', async () => {
  const site = await deploymentOfTwoZones(9);
  site.operator.evacuate('a');
  await submitSteadily(site, 2_000);
  site.restartWorker('a1', 500);
  await submitSteadily(site, 8_000);
  assert.equal(runsIn(site, 'a'), 0);
  assertNoViolations(site);
});

test('an accepted step that only evacuated workers may run waits until the evacuation ends', async () => {
  const site = await deploymentOfTwoZones(10);
  const first = { tasks: 1, after: [] };
  const second = { tasks: 2, after: [0], label: 'zone-a' };
  void site.submit(idOf(0), [first, second], { ...SHORT_RUN, runMs: 2_000 });
  await site.time.advance(500);
  site.operator.evacuate('a');
  await site.time.advance(9_000);
  assert.equal(site.history.countActiveRuns(idOf(0)), 0);
  assert.deepEqual(site.history.unfinished(), [idOf(0)]);
  site.operator.endEvacuation('a');
  await site.time.advance(4_000);
  assert.deepEqual(site.history.unfinished(), []);
  assertNoViolations(site);
});

test('every host refuses a job that only evacuated workers may run, until the evacuation ends', async () => {
  const site = await deploymentOfTwoZones(11);
  site.operator.evacuate('a');
  await site.time.advance(2_500);
  const submitted = async (at: number): Promise<string[]> => {
    const step = { tasks: 1, after: [], label: 'zone-a' };
    const results = [...site.hosts.values()].map(({ host }, index) => {
      const job = jobOf(idOf(10 * at + index), [step], SHORT_RUN);
      return host.service.submit(job, site.time.clock() + 3_000);
    });
    await site.time.advance(1_500);
    return (await Promise.all(results)).map(({ kind }) => kind);
  };
  assert.deepEqual(await submitted(1), ['refused', 'refused', 'refused']);
  site.operator.endEvacuation('a');
  await site.time.advance(2_500);
  assert.deepEqual(await submitted(2), ['recorded', 'recorded', 'recorded']);
});

test('nothing starts in a zone that was evacuated shortly before the store is away for all hosts', async () => {
  const site = await deploymentOfTwoZones(12);
  await submitSteadily(site, 2_000);
  for (const mode of ['silent', 'refusing'] as const) {
    site.operator.evacuate('a');
    HOSTS.forEach(host => site.log.hostModes.set(host, mode));
    await submitSteadily(site, 7_000);
    HOSTS.forEach(host => site.log.hostModes.delete(host));
    await submitSteadily(site, 6_000);
    assert.equal(runsIn(site, 'a'), 0);
    site.operator.endEvacuation('a');
    await submitSteadily(site, 2_000);
  }
  assertNoViolations(site);
});

test('nothing starts in a zone whose evacuation comes in the moment in which the leader is lost', async () => {
  const site = await deploymentOfTwoZones(13);
  await submitSteadily(site, 2_000);
  for (const delay of [0, 1, 20, 400]) {
    const leader = site.leader();
    site.operator.evacuate('a');
    await site.time.advance(delay);
    site.kill(leader);
    await submitSteadily(site, 8_000);
    assert.equal(runsIn(site, 'a'), 0);
    site.startHost(leader);
    site.operator.endEvacuation('a');
    await submitSteadily(site, 3_000);
  }
  assertNoViolations(site);
});
