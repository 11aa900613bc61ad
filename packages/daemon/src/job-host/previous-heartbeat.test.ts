/*
 * Guards against losses of unknown age. A leader that was killed and led again at once did not know how long
 * the journal had been silent, so that a run of any age may have been lost while it was still new.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  decodeJournal,
  emptyJobsState,
} from '@paddlewind/domain/jobs';
import type { PeerPort, PeerProcess } from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from './context.fixture.test.js';
import { boundSilence } from './previous-heartbeat.js';
import { Simulation } from './simulation.fixture.test.js';

const SETTLE_MS = 5_000;
const DOWNTIME_MS = 500;
const UNKNOWN = { from: 20, to: Infinity };

/** Bounds a silence with what other hosts answer; an undefined answer never comes. */
async function boundWith(
  ages: readonly (number | 'unknown' | 'silent')[],
  silence = UNKNOWN,
): Promise<{ from: number; to: number } | undefined> {
  const time = createVirtualTime();
  const state = emptyJobsState();
  ages.forEach((_age, at) => {
    const offer = { kind: 'volunteer', host: `s${at}`, cores: 1 } as const;
    applyInbox(state, { ...offer, address: String(at) });
  });
  const identify = (address: string): Promise<PeerProcess | undefined> => {
    const age = ages[Number(address)];
    if (age === 'silent') {
      return new Promise(() => undefined);
    }
    const maxHeartbeatAgeMs = typeof age === 'number' ? age : undefined;
    return Promise.resolve({ process: 'p', clock: 0, maxHeartbeatAgeMs });
  };
  const peers = { identify } as Partial<PeerPort> as PeerPort;
  let found: { from: number; to: number } | undefined;
  void boundSilence(testContext(time), peers, state, silence).then(bounds => {
    found = bounds;
  });
  await time.advance(1_000);
  return found;
}

test('a silence is bounded by what another host knows', async () => {
  assert.deepEqual(await boundWith(['silent', 'unknown', 1_300]), {
    from: 20,
    to: 1_300,
  });
});

test('a silence stays unknown if no other host knows it', async () => {
  assert.deepEqual(await boundWith(['silent', 'unknown']), UNKNOWN);
  assert.deepEqual(await boundWith([]), UNKNOWN);
});

test('a known silence is not asked for', async () => {
  const known = { from: 20, to: 900 };
  assert.deepEqual(await boundWith([100], known), known);
});

test('a leader that restarts at once knows how long the journal was silent', async () => {
  const site = new Simulation(1);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(SETTLE_MS);
  const name = site.leader();
  site.kill(name);
  await site.time.advance(DOWNTIME_MS);
  site.startHost(name);
  await site.time.advance(SETTLE_MS);
  assert.equal(site.leader(), name);
  const last = site.log
    .recordsOf('journal')
    .map(decodeJournal)
    .findLast(record => record?.kind === 'heartbeat');
  assert.ok(last?.kind === 'heartbeat');
  assert.ok(last.silence.to >= DOWNTIME_MS);
  assert.ok(last.silence.to < DOWNTIME_MS + SETTLE_MS);
});
