/** What callers see where the hosts that send a leader's starts are lost, slow, cut off or overtaken. */
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
  assertServed,
  noteFault,
  playRelayed,
  RELAY_HOSTS,
  RELAY_WORKERS,
  relaysOf,
} from './relay-site.fixture.test.js';

const SEEDS = [1, 2, 3, 4];
const EVERY_MS = 2_500;
const TIMES = 6;
const CANCELLED_JOB = '00000000000000c2';
const LONG = { runMs: 6_000, failures: 0 };

/** Does something to the site again and again. */
async function inTurn(
  site: Simulation,
  act: (turn: number) => void,
): Promise<void> {
  for (let turn = 0; turn < TIMES; turn += 1) {
    act(turn);
    await site.wait(EVERY_MS);
  }
}

function restart(site: Simulation, name: string, awayMs: Millis): void {
  noteFault(site, name, awayMs);
  site.kill(name);
  site.time.schedule(awayMs, () => site.startHost(name));
}

test('all is done while other hosts send the starts', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, () => undefined);
    assertServed(site, `seed ${seed}`);
  }
});

test('all is done though hosts that send starts are killed', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, playing =>
      inTurn(playing, turn => {
        const relays = relaysOf(playing);
        restart(playing, relays[turn % relays.length] ?? '', 1_500);
      }),
    );
    assertServed(site, `seed ${seed}`);
  }
});

test('all is done though all hosts that send starts are lost at once', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, async playing => {
      await playing.wait(4_000);
      for (const name of relaysOf(playing)) {
        restart(playing, name, 6_000);
      }
    });
    assertServed(site, `seed ${seed}`);
  }
});

test('all is done though hosts that send starts stand still and go on', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, playing =>
      inTurn(playing, () => {
        for (const name of relaysOf(playing)) {
          noteFault(playing, name, 1_200);
          playing.freeze(name, 1_200);
        }
      }),
    );
    assertServed(site, `seed ${seed}`);
  }
});

// A start that arrives late, as over a link that is cut and comes back, must not begin what was cancelled since.
test('nothing begins after its cancellation though starts reach other hosts seconds late', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, async playing => {
      for (const name of RELAY_HOSTS) {
        playing.peers.startDelays.set(name, 4_000);
      }
      await playing.wait(12_000);
      playing.peers.startDelays.clear();
    });
    assertServed(site, `seed ${seed}`);
  }
});

// The leader can neither send the start itself nor stop it: that it is late is all that keeps it from beginning.
test('nothing begins late at a worker that the leader no longer reaches', async () => {
  const site = await playRelayed(5, () => undefined);
  const leader = site.leader();
  for (const name of RELAY_HOSTS) {
    site.peers.startDelays.set(name, 4_000);
  }
  const before = site.peers.relays;
  void site.submit(CANCELLED_JOB, [{ tasks: 6, after: [] }], LONG);
  await site.time.until(() => site.peers.relays > before, 2_000);
  for (const worker of RELAY_WORKERS) {
    site.fleet.cuts.add(`${leader}>${worker}`);
  }
  void site.cancel(CANCELLED_JOB);
  await site.time.advance(5_000);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.history.runningOf(CANCELLED_JOB), 0);
});

test('all is done though hosts that send starts are cut off from the leader alone', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, playing =>
      inTurn(playing, () => {
        const leader = playing.leader();
        const cuts = relaysOf(playing).map(name => `${leader}>${name}`);
        cuts.forEach(cut => playing.peers.cuts.add(cut));
        playing.time.schedule(1_700, () => {
          cuts.forEach(cut => playing.peers.cuts.delete(cut));
        });
      }),
    );
    assertServed(site, `seed ${seed}`);
  }
});

// The leader reaches the worker: it must be neither given up nor left without work.
test('all is done though hosts that send starts are cut off from workers alone', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, async playing => {
      for (const worker of RELAY_WORKERS) {
        for (const name of relaysOf(playing)) {
          playing.fleet.cuts.add(`${name}>${worker}`);
        }
      }
      await playing.wait(10_000);
      playing.fleet.cuts.clear();
    });
    assertServed(site, `seed ${seed}`);
  }
});

test('all is done though leaders change while others send their starts', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, playing =>
      inTurn(playing, () => {
        const leader = playing.leader();
        for (const name of relaysOf(playing)) {
          playing.peers.startDelays.set(name, 150);
        }
        playing.time.schedule(100, () => {
          restart(playing, leader, 700);
        });
      }),
    );
    assertServed(site, `seed ${seed}`);
  }
});

test('a leader that was replaced without knowing has nothing begun by others', async () => {
  for (const seed of SEEDS) {
    const site = await playRelayed(seed, playing =>
      inTurn(playing, () => {
        const leader = playing.leader();
        noteFault(playing, leader, 2_000);
        playing.freeze(leader, 2_000);
      }),
    );
    assertServed(site, `seed ${seed}`);
  }
});

test('a host whose offer tells no address, as of an earlier version, is sent no starts', () => {
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
