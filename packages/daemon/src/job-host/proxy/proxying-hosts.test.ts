/*
 * Guards against hosts that make things worse while they call workers for a leader without time to spare: when
 * they are killed, frozen, slow, cut off, of an earlier version, or when the leader changes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import {
  assertServed,
  recordFault,
  RELAY_HOSTS,
  RELAY_WORKERS,
  relaysOf,
  runWithProxies,
} from '../relay/relay-deployment.fixture.test.js';
import type { Simulation } from '../simulation.fixture.test.js';

const SEEDS = [1, 2, 3, 4];
const DISTURBANCE_INTERVAL_MS = 2_500;
const DISTURBANCES = 6;
/** Time that a slowed host takes for each event. */
const SLOW_EVENT_MS: Millis = 40;

/** Disturbs the deployment with each seed, repeatedly, and asserts that all jobs are served. */
async function serveAlthough(
  act: (site: Simulation, turn: number) => void,
): Promise<void> {
  for (const seed of SEEDS) {
    const site = await runWithProxies(seed, async simulation => {
      for (let turn = 0; turn < DISTURBANCES; turn += 1) {
        act(simulation, turn);
        await simulation.wait(DISTURBANCE_INTERVAL_MS);
      }
    });
    assertServed(site, `seed ${seed}`);
    assert.ok(site.peers.proxied > 100, `seed ${seed}`);
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

test('all jobs are done while other hosts call workers', async () => {
  await serveAlthough(() => undefined);
});

test('all jobs are done although hosts that call workers are killed', async () => {
  await serveAlthough((site, turn) => {
    const others = relaysOf(site);
    killAndRestart(site, others[turn % others.length] ?? '', 1_500);
  });
});

test('all jobs are done although all hosts that call workers are lost at once', async () => {
  await serveAlthough((site, turn) => {
    if (turn === 2) {
      for (const name of relaysOf(site)) {
        killAndRestart(site, name, 6_000);
      }
    }
  });
});

test('all jobs are done although hosts that call workers freeze and resume', async () => {
  await serveAlthough(site => {
    for (const name of relaysOf(site)) {
      recordFault(site, name, 1_200);
      site.freeze(name, 1_200);
    }
  });
});

test('all jobs are done although machines of hosts that call workers are suspended', async () => {
  await serveAlthough(site => {
    for (const name of relaysOf(site)) {
      recordFault(site, name, 1_200);
      site.suspend(name, 1_200);
    }
  });
});

test('all jobs are done although hosts that call workers are slow', async () => {
  await serveAlthough((site, turn) => {
    for (const name of relaysOf(site)) {
      site.slow(name, turn % 2 === 0 ? SLOW_EVENT_MS : 0);
    }
  });
});

test('all jobs are done although batches reach other hosts seconds late', async () => {
  await serveAlthough((site, turn) => {
    for (const name of RELAY_HOSTS) {
      site.peers.startDelays.set(name, turn < 4 ? 4_000 : 0);
    }
  });
});

test('all jobs are done although hosts that call workers are cut off from the leader', async () => {
  await serveAlthough(site => {
    const leader = site.leader();
    const cuts = relaysOf(site).map(name => `${leader}>${name}`);
    cuts.forEach(cut => site.peers.cuts.add(cut));
    site.time.schedule(1_700, () => {
      cuts.forEach(cut => site.peers.cuts.delete(cut));
    });
  });
});

test('all jobs are done although hosts that call workers do not reach these', async () => {
  await serveAlthough((site, turn) => {
    site.fleet.brokenLinks.clear();
    if (turn % 2 === 0) {
      for (const name of relaysOf(site)) {
        for (const worker of RELAY_WORKERS) {
          site.fleet.brokenLinks.add(`${name}>${worker}`);
        }
      }
    }
  });
});

test('all jobs are done although other hosts have an earlier version', async () => {
  await serveAlthough((site, turn) => {
    const others = relaysOf(site);
    const isOld = turn > 1;
    for (const name of isOld ? others : []) {
      site.peers.withoutProxies.add(name);
    }
  });
});

test('all jobs are done although leaders for whom others call workers are killed', async () => {
  await serveAlthough((site, turn) => {
    if (turn % 3 === 1) {
      killAndRestart(site, site.leader(), 2_000);
    }
  });
});
