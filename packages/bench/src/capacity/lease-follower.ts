/** What shard leases take: state and processor time by shard, bytes by owner. */
import {
  applyLeaseRecord,
  createLeaseState,
  encodeBatch,
  leaseEnvelope,
  type LeaseState,
  type RenewRecord,
} from '@paddlewind/domain';

import { cpuMicroseconds, retainedBytes } from '../heap.js';
import { measure } from './measure.js';

/** Shards of one region: 3,100 workers in shards of 31 over five regions. */
const DESIGNED_SHARDS = 20;
const SIZES = [10, 20, 40, 80, 160];
const RENEWALS = 2_000;
const LEASE_MS = 10_000;

const RENEWAL: RenewRecord = {
  kind: 'renew',
  owner: 'entry-1',
  incarnation: '00000000-0000-0000-0000-000000000000',
  leaseMs: LEASE_MS,
};

function leasesOf(shards: number): LeaseState {
  const state = createLeaseState();
  for (let i = 0; i < shards; i++) {
    const claim = {
      ...RENEWAL,
      kind: 'claim',
      shard: `shard-${i}`,
      epoch: 1,
      seen: i,
    } as const;
    applyLeaseRecord(state, claim, { offset: i, index: 0 }, i);
  }
  return state;
}

function microsecondsPerRenewal(shards: number): number {
  const state = leasesOf(shards);
  const spent = cpuMicroseconds(() => {
    for (let i = 0; i < RENEWALS; i++) {
      const position = { offset: shards + i, index: 0 };
      applyLeaseRecord(state, RENEWAL, position, i);
    }
  });
  return spent / RENEWALS;
}

function renewalBytes(owners: number): number {
  const batch = encodeBatch([leaseEnvelope('entry-1/1/12345', RENEWAL)]);
  return owners * batch.length;
}

/** Measures the role. */
export function measureLeaseFollower(): void {
  const role = 'lease follower';
  const common = {
    role,
    per: 'shards',
    sizes: SIZES,
    designed: DESIGNED_SHARDS,
  };
  measure({
    ...common,
    quantity: 'state',
    unit: 'bytes',
    at: shards => retainedBytes(() => leasesOf(shards)),
  });
  measure({
    ...common,
    quantity: 'processor time a renewal of all shards',
    unit: 'microseconds',
    at: microsecondsPerRenewal,
  });
  measure({
    role,
    quantity: 'bytes of one round of renewals',
    unit: 'bytes',
    per: 'owners',
    sizes: [3, 9, 30],
    designed: 9,
    at: renewalBytes,
  });
}
