import assert from 'node:assert/strict';
import test from 'node:test';

import {
  applyLeaseRecord,
  createLeaseState,
  decodeBatch,
  decodeLeaseRecord,
  leaseStream,
  seededRandom,
} from '@paddlewind/domain';
import {
  createMemoryLog,
  createPausable,
  createVirtualTime,
  pausableLog,
  type MemoryLog,
  type Pausable,
  type VirtualTime,
} from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import { createCommitter, followFold } from '../log/index.js';
import type { PartContext, Peer, PeerView } from '../parts.js';
import { startShardOwnership } from './ownership.js';
import type { ShardOwnership } from './types.js';

const TIMING = {
  drift: 0.001,
  marginMs: 500,
  claimStepMs: 500,
  aliveGraceMs: 5_000,
  settleMs: 20_000,
};
const LEASE_MS = 10_000;
const SHARDS = ['s0', 's1', 's2', 's3', 's4', 's5'].map(name => ({
  kind: 'shard' as const,
  name,
  region: 'r',
  availabilityZone: 'z',
  racks: ['rack'],
}));

/** Ids that cannot read the decisions; every test leaves it empty. */
const unread = new Set<string>();

interface Process {
  readonly id: string;
  readonly ownership: ShardOwnership;
  readonly pausable: Pausable;
  readonly events: string[];
  kill(): void;
}

interface Cluster {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly processes: Map<string, Process>;
  /** Ids that count as live for everyone. */
  readonly live: Set<string>;
  start(id: string, incarnation?: string): Process;
  owners(shard: string): string[];
}

function createVirtualHosts(): Cluster {
  const time = createVirtualTime();
  const log = createMemoryLog({ clock: time.clock, schedule: time.schedule });
  const processes = new Map<string, Process>();
  const live = new Set<string>();

  function start(id: string, incarnation = '1'): Process {
    const pausable = createPausable(time.schedule);
    const seenLog = pausableLog(log, pausable);
    const ctx: PartContext = {
      clock: time.clock,
      schedule: pausable.schedule,
      random: seededRandom(processes.size),
      log: pino({ level: 'silent' }),
      metrics: new Registry(),
    };
    const committer = createCommitter({ log: seenLog, ctx });
    const ownership = startShardOwnership({
      ctx,
      cfg: {
        region: 'r',
        availabilityZone: 'z',
        incarnation,
        leaseMs: LEASE_MS,
        renewEveryMs: 3_000,
        timing: TIMING,
      },
      shards: () => SHARDS,
      peers: peerView(id, live),
      committer,
      follow: (stream, state) =>
        followFold({ log: seenLog, stream, ctx, state }),
      canRead: () => !unread.has(id),
    });
    const events: string[] = [];
    ownership.onAcquire(({ shard, epoch }) =>
      events.push(`+${shard}@${epoch}`),
    );
    ownership.onLose((shard, epoch, reason) => {
      events.push(`-${shard}@${epoch} ${reason}`);
      return Promise.resolve();
    });
    const kill = (): void => {
      pausable.pause();
      live.delete(id);
    };
    const process = { id, ownership, pausable, events, kill };
    processes.set(`${id}/${incarnation}`, process);
    live.add(id);
    return process;
  }

  function owners(shard: string): string[] {
    return [...processes]
      .filter(([, process]) => process.ownership.owned().has(shard))
      .map(([name]) => name);
  }

  return { time, log, processes, live, start, owners };
}

function peerView(self: string, live: ReadonlySet<string>): PeerView {
  const toPeer = (id: string): Peer => ({
    id,
    address: '',
    region: 'r',
    availabilityZone: 'z',
    incarnation: '1',
    state: 'ready',
    configOffset: 0,
    heardAt: 0,
  });
  return {
    self,
    peers: () => [...live].filter(id => id !== self).map(toPeer),
    onChange: () => () => undefined,
  };
}

function allOwned(cluster: Cluster): boolean {
  return SHARDS.every(({ name }) => cluster.owners(name).length === 1);
}

/** Advances in steps, checking that no shard ever has two owners. */
async function run(cluster: Cluster, span: number): Promise<void> {
  for (let passed = 0; passed < span; passed += 250) {
    await cluster.time.advance(250);
    for (const { name } of SHARDS) {
      assert.ok(cluster.owners(name).length <= 1, `two owners of ${name}`);
    }
  }
}

test('processes share the shards out and keep them', async () => {
  const cluster = createVirtualHosts();
  const processes = ['a', 'b', 'c'].map(id => cluster.start(id));
  await run(cluster, 5_000);
  assert.ok(allOwned(cluster));
  const before = processes.map(process => process.events.length);
  await run(cluster, 60_000);
  assert.deepEqual(
    processes.map(process => process.events.length),
    before,
  );
  assert.ok(processes.every(({ ownership }) => ownership.owned().size <= 3));
});

test('a killed owner is replaced within the lease, the margin and a step', async () => {
  const cluster = createVirtualHosts();
  const a = cluster.start('a');
  cluster.start('b');
  await run(cluster, 30_000);
  assert.ok(a.ownership.owned().size > 0);
  a.kill();
  await run(cluster, LEASE_MS + TIMING.marginMs + 500);
  assert.ok(allOwned(cluster));
  assert.equal(a.ownership.owned().size, 0);
});

test('a planned stop hands the shards over at once', async () => {
  const cluster = createVirtualHosts();
  const a = cluster.start('a');
  cluster.start('b');
  await run(cluster, 30_000);
  cluster.live.delete('a');
  const released = a.ownership.releaseAll(cluster.time.clock() + 5_000);
  await run(cluster, 750);
  await released;
  assert.ok(allOwned(cluster));
  assert.ok(a.events.some(event => event.endsWith('released')));
});

test('an owner that cannot read the decisions gives its shards up until it can', async t => {
  t.after(() => {
    unread.clear();
  });
  const cluster = createVirtualHosts();
  const a = cluster.start('a');
  const b = cluster.start('b');
  await run(cluster, 30_000);
  const held = a.ownership.owned().size;
  assert.ok(held > 0);
  unread.add('a');
  await run(cluster, 2_000);
  assert.equal(a.ownership.owned().size, 0);
  assert.ok(allOwned(cluster));

  // Its peer offers each shard once and then keeps it for a while.
  const begun = b.events.length;
  await run(cluster, 300_000);
  const offers = b.events.slice(begun).filter(event => event.startsWith('-'));
  assert.equal(offers.length, held);
  assert.equal(a.ownership.owned().size, 0);
  assert.ok(allOwned(cluster));

  unread.delete('a');
  await run(cluster, 600_000);
  assert.equal(a.ownership.owned().size, held);
});

test('an owner paused past its lease owns nothing when it goes on', async () => {
  const cluster = createVirtualHosts();
  const a = cluster.start('a');
  cluster.start('b');
  await run(cluster, 30_000);
  const held = [...a.ownership.owned().keys()];
  a.pausable.pause();
  await run(cluster, 20_000);
  a.pausable.resume();
  assert.equal(a.ownership.owned().size, 0);
  await run(cluster, 1_000);
  for (const shard of held) {
    assert.ok(a.events.some(event => event.startsWith(`-${shard}@`)));
  }
  assert.ok(allOwned(cluster));
});

test('owners keep their shards and epochs through an outage of the log', async () => {
  const cluster = createVirtualHosts();
  cluster.start('a');
  cluster.start('b');
  await run(cluster, 30_000);
  const before = SHARDS.map(({ name }) => cluster.owners(name));
  cluster.log.setOutage(true);
  await run(cluster, 120_000);
  assert.ok(SHARDS.every(({ name }) => cluster.owners(name).length === 0));
  cluster.log.setOutage(false);
  await run(cluster, 15_000);
  assert.deepEqual(
    SHARDS.map(({ name }) => cluster.owners(name)),
    before,
  );
});

test('a member that joins takes its part one shard at a time', async () => {
  const cluster = createVirtualHosts();
  cluster.start('a');
  cluster.start('b');
  await run(cluster, 30_000);
  const c = cluster.start('c');
  await run(cluster, 10_000);
  assert.equal(c.ownership.owned().size, 0);
  await run(cluster, 90_000);
  assert.ok(allOwned(cluster));
  const moves = c.events.length;
  await run(cluster, 90_000);
  assert.equal(c.events.length, moves);
});

test('another start of a killed host waits like everyone', async () => {
  const cluster = createVirtualHosts();
  const a = cluster.start('a');
  await run(cluster, 5_000);
  assert.equal(a.ownership.owned().size, SHARDS.length);
  a.kill();
  const again = cluster.start('a', '2');
  await run(cluster, 5_000);
  assert.equal(again.ownership.owned().size, 0);
  await run(cluster, 10_000);
  assert.equal(again.ownership.owned().size, SHARDS.length);
});

test('faults in any order never give an epoch two owners', async () => {
  for (const seed of [1, 2, 3, 4]) {
    await runWithFaults(seed);
  }
});

async function runWithFaults(seed: number): Promise<void> {
  const cluster = createVirtualHosts();
  const random = seededRandom(seed);
  const processes = ['a', 'b', 'c'].map(id => cluster.start(id));
  const faults = [
    () => {
      cluster.log.setOutage(true);
    },
    () => {
      cluster.log.setOutage(false);
    },
    () => {
      cluster.log.loseAnswers(3);
    },
    () => {
      cluster.log.lateEffects(2, 12_000 * random());
    },
    () => {
      cluster.log.duplicate(2);
    },
    () => {
      cluster.log.setDelay({
        appendMs: 6_000 * random(),
        readMs: 500 * random(),
      });
    },
    () => {
      processes[Math.floor(random() * 3)]?.pausable.pause();
    },
    () => {
      processes.forEach(({ pausable }) => {
        pausable.resume();
      });
    },
  ];
  for (let i = 0; i < 30; i++) {
    faults[Math.floor(random() * faults.length)]?.();
    await run(cluster, 1_000 + Math.floor(8_000 * random()));
  }
  processes.forEach(({ pausable }) => {
    pausable.resume();
  });
  cluster.log.setOutage(false);
  cluster.log.setDelay({ appendMs: 0, readMs: 0 });
  await run(cluster, 60_000);
  assert.ok(allOwned(cluster), `seed ${seed}: a shard without an owner`);
  assertOneOwnerPerEpoch(cluster.log);
}

function assertOneOwnerPerEpoch(log: MemoryLog): void {
  const leases = createLeaseState();
  const claims = new Map<string, string>();
  for (const { offset, payload } of log.entries(leaseStream('r'))) {
    const records = decodeBatch(payload).unwrapOr({ format: 1, records: [] });
    records.records.forEach((record, index) => {
      const decoded = decodeLeaseRecord(record).unwrapOr(undefined);
      assert.ok(decoded);
      const verdict = applyLeaseRecord(leases, decoded, { offset, index }, 0);
      if (verdict.kind === 'claimed') {
        const { shard, epoch, holder } = verdict.lease;
        assert.ok(!claims.has(`${shard}@${epoch}`));
        claims.set(`${shard}@${epoch}`, holder?.owner ?? '');
      }
    });
  }
}
