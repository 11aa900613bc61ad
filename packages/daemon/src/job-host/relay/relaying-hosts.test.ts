/** What callers see when hosts that send a leader's starts are lost, slow, cut off or outdated. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import {
  decodeInbox,
  reachableStandbys,
  type Volunteer,
} from '@paddlewind/domain/jobs';

import type { Simulation } from '../simulation.fixture.test.js';
import {
  assertAllServed,
  recordFault,
  runWithRelays,
  RELAY_HOSTS,
  RELAY_WORKERS,
  relaysOf,
} from './relay-deployment.fixture.test.js';

const SEEDS = [1, 2, 3, 4];
const DISTURBANCE_INTERVAL_MS = 2_500;
const DISTURBANCES = 6;
const CANCELLED_JOB = '00000000000000c2';
const LONG_RUN = { runMs: 6_000, failures: 0 };

/** Disturbs the deployment repeatedly. */
async function disturbRepeatedly(
  site: Simulation,
  act: (turn: number) => void,
): Promise<void> {
  for (let turn = 0; turn < DISTURBANCES; turn += 1) {
    act(turn);
    await site.wait(DISTURBANCE_INTERVAL_MS);
  }
}

function killAndRestart(
  site: Simulation,
  name: string,
  downtimeMs: Millis,
): void {
  recordFault(site, name, downtimeMs);
  site.kill(name);
  site.time.schedule(downtimeMs, () => site.startHost(name));
}

test('all jobs are done while other hosts send the starts', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, () => undefined);
    assertAllServed(site, `seed ${seed}`);
  }
});

test('all jobs are done although hosts that send starts are killed', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, simulation =>
      disturbRepeatedly(simulation, turn => {
        const relays = relaysOf(simulation);
        killAndRestart(simulation, relays[turn % relays.length] ?? '', 1_500);
      }),
    );
    assertAllServed(site, `seed ${seed}`);
  }
});

test('all jobs are done although all hosts that send starts are lost at once', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, async simulation => {
      await simulation.wait(4_000);
      for (const name of relaysOf(simulation)) {
        killAndRestart(simulation, name, 6_000);
      }
    });
    assertAllServed(site, `seed ${seed}`);
  }
});

test('all jobs are done although hosts that send starts freeze and resume', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, simulation =>
      disturbRepeatedly(simulation, () => {
        for (const name of relaysOf(simulation)) {
          recordFault(simulation, name, 1_200);
          simulation.freeze(name, 1_200);
        }
      }),
    );
    assertAllServed(site, `seed ${seed}`);
  }
});

// A start that arrives late, as over a link that recovers from a cut, must not start a task that
// was cancelled meanwhile.
test('no task starts after its cancellation although starts reach other hosts seconds late', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, async simulation => {
      for (const name of RELAY_HOSTS) {
        simulation.peers.startDelays.set(name, 4_000);
      }
      await simulation.wait(12_000);
      simulation.peers.startDelays.clear();
    });
    assertAllServed(site, `seed ${seed}`);
  }
});

// The leader can neither send the start itself nor stop it: only its lateness keeps the run from
// starting.
test('no task starts late on a worker that the leader no longer reaches', async () => {
  const site = await runWithRelays(5, () => undefined);
  const leader = site.leader();
  for (const name of RELAY_HOSTS) {
    site.peers.startDelays.set(name, 4_000);
  }
  const before = site.peers.relays;
  void site.submit(CANCELLED_JOB, [{ tasks: 6, after: [] }], LONG_RUN);
  await site.time.until(() => site.peers.relays > before, 2_000);
  for (const worker of RELAY_WORKERS) {
    site.fleet.brokenLinks.add(`${leader}>${worker}`);
  }
  void site.cancel(CANCELLED_JOB);
  await site.time.advance(5_000);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.history.countActiveRuns(CANCELLED_JOB), 0);
});

test('all jobs are done although hosts that send starts are cut off from the leader', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, simulation =>
      disturbRepeatedly(simulation, () => {
        const leader = simulation.leader();
        const cuts = relaysOf(simulation).map(name => `${leader}>${name}`);
        cuts.forEach(cut => simulation.peers.cuts.add(cut));
        simulation.time.schedule(1_700, () => {
          cuts.forEach(cut => simulation.peers.cuts.delete(cut));
        });
      }),
    );
    assertAllServed(site, `seed ${seed}`);
  }
});

// The leader reaches the worker, which must be neither abandoned nor left without work.
test('all jobs are done although hosts that send starts are cut off from workers', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, async simulation => {
      for (const worker of RELAY_WORKERS) {
        for (const name of relaysOf(simulation)) {
          simulation.fleet.brokenLinks.add(`${name}>${worker}`);
        }
      }
      await simulation.wait(10_000);
      simulation.fleet.brokenLinks.clear();
    });
    assertAllServed(site, `seed ${seed}`);
  }
});

test('all jobs are done although leaders change while others send their starts', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, simulation =>
      disturbRepeatedly(simulation, () => {
        const leader = simulation.leader();
        for (const name of relaysOf(simulation)) {
          simulation.peers.startDelays.set(name, 150);
        }
        simulation.time.schedule(100, () => {
          killAndRestart(simulation, leader, 700);
        });
      }),
    );
    assertAllServed(site, `seed ${seed}`);
  }
});

test('a leader that does not know that it was replaced starts nothing through other hosts', async () => {
  for (const seed of SEEDS) {
    const site = await runWithRelays(seed, simulation =>
      disturbRepeatedly(simulation, () => {
        const leader = simulation.leader();
        recordFault(simulation, leader, 2_000);
        simulation.freeze(leader, 2_000);
      }),
    );
    assertAllServed(site, `seed ${seed}`);
  }
});

test('a host of an earlier version, whose offer has no address, is sent no starts', () => {
  const row = new TextEncoder().encode('["volunteer","h1",1]');
  const offer = decodeInbox(row);
  assert.ok(offer?.kind === 'volunteer');
  const { cores, address } = offer;
  const earlier: Volunteer = { cores, address, lastOfferAt: 0 };
  const newer: Volunteer = { cores, address: 'a:1', lastOfferAt: 0 };
  const volunteers = new Map([
    ['h1', earlier],
    ['h2', newer],
  ]);
  const found = reachableStandbys({ volunteers, standbys: undefined }, 'h', 1);
  assert.deepEqual([...found], [['h2', 'a:1']]);
});
