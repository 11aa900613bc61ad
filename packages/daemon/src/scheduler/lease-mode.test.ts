import assert from 'node:assert/strict';
import test from 'node:test';

import type { ShardOwnership } from '../shards/types.js';
import {
  formerOwnersUntil,
  leaseMode,
  type LeaseModeInput,
} from './lease-mode.js';
import type { TaskTiming } from './types.js';
import { newWorkerLink } from './worker-link.js';

const TIMING: TaskTiming = {
  leaseMs: 20_000,
  syncEveryMs: 2_000,
  urgentSyncMs: 200,
  suspectMs: 7_000,
  drift: 0,
  marginMs: 3_000,
  outageHoldMs: 100_000,
  renewOnlyWindowMs: 10_000,
  stopGraceMs: 5_000,
};
const NOW = 50_000;

interface Situation {
  readonly held?: boolean;
  readonly owner?: string;
  readonly outage?: boolean;
  /** Send times of the last answered syncs. */
  readonly answered?: readonly number[];
  readonly superseded?: boolean;
}

function modeIn(situation: Situation, now = NOW): string {
  const lease = { shard: 's', epoch: 3, leaseUntil: 60_000 };
  const held = { ...lease, takenOverAt: undefined };
  const ownership: ShardOwnership = {
    owned: () => new Map(situation.held === true ? [['s', held]] : []),
    ownerOf: () => ({
      owner: situation.owner ?? 'me',
      incarnation: '1',
      epoch: 3,
      lapsesAt: 0,
    }),
    logGoodSince: () => (situation.outage === true ? Infinity : 0),
    onAcquire: () => () => undefined,
    onLose: () => () => undefined,
    releaseAll: () => Promise.resolve(),
    stop: () => undefined,
  };
  const links = (situation.answered ?? []).map(answeredSentAt => ({
    ...newWorkerLink('w', 0),
    answeredSentAt,
  }));
  const input: LeaseModeInput = {
    shard: 's',
    epoch: 3,
    self: 'me',
    ownership,
    timing: TIMING,
    links,
    leaseUntil: 40_000,
    superseded: situation.superseded ?? false,
  };
  return leaseMode(input, now);
}

test('with the shard lease everything is allowed, unless an agent refused the epoch', () => {
  assert.equal(modeIn({ held: true }), 'leased');
  assert.equal(modeIn({ held: true, superseded: true }), 'none');
});

test('without the lease renewals go on only in an outage and while most workers answer', () => {
  const answered = [45_000, 45_000, 45_000, 1_000];
  assert.equal(modeIn({ answered }), 'none');
  assert.equal(modeIn({ answered, outage: true }), 'renew_only');
  assert.equal(modeIn({ answered, outage: true, owner: 'other' }), 'none');
  const fewer = [45_000, 45_000, 1_000, 1_000];
  assert.equal(modeIn({ answered: fewer, outage: true }), 'probe');
});

test('renewals in an outage end with the hold', () => {
  const answered = [139_000];
  assert.equal(modeIn({ answered, outage: true }, 139_999), 'renew_only');
  assert.equal(modeIn({ answered, outage: true }, 140_000), 'none');
});

test('earlier owners are waited for by what is known of them', () => {
  const never = { takenOverAt: undefined };
  const taken = { takenOverAt: 10_000 };
  assert.equal(formerOwnersUntil(never, 11_000, undefined, TIMING), 11_000);
  assert.equal(formerOwnersUntil(taken, 11_000, undefined, TIMING), 110_000);
  assert.equal(formerOwnersUntil(taken, 11_000, 12_000, TIMING), 22_000);
  assert.equal(formerOwnersUntil(taken, 200_000, 12_000, TIMING), 200_000);
});
