import assert from 'node:assert/strict';
import test from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  createSnapshotAssembler,
  decodeBatch,
  seededRandom,
} from '@paddlewind/domain';

import { completedTasks, runningNow, watchPlaces } from './checks.js';
import {
  SHARD_LEASE_MS,
  TASK_TIMING,
  createVirtualHosts,
  sleepJob,
  type Cluster,
  type EntryHost,
} from './hosts.js';

/** A completion is recorded once an owner decides again, at worst after a whole lease. */
const REPORT_LIMIT_MS = 60_000;
const CAPACITY = { cpu: 8, memoryMiB: 16_384, accelerators: 0 };

interface Bed extends Cluster {
  readonly violations: string[];
}

/** Starts 3 entry hosts and 2 shards of 4 workers, and lets them settle. */
async function setUp(seed = 1): Promise<Bed> {
  const cluster = createVirtualHosts({
    zones: ['z'],
    entryHosts: 3,
    shards: 2,
    workers: 4,
    capacity: CAPACITY,
    seed,
  });
  const violations = watchPlaces(cluster);
  await cluster.time.advance(3_000);
  return { ...cluster, violations };
}

async function answerOf<T>(bed: Cluster, call: Promise<T>): Promise<T> {
  let answer: T | undefined;
  void call.then(value => {
    answer = value;
  });
  await bed.time.until(() => answer !== undefined, 60_000);
  return answer as T;
}

function anyHost(bed: Cluster): EntryHost {
  const [host] = bed.entryHosts.values();
  assert.ok(host);
  return host;
}

async function submit(
  bed: Cluster,
  job: ReturnType<typeof sleepJob>,
): Promise<string> {
  const deadline = bed.time.clock() + 10_000;
  const call = anyHost(bed).scheduler.submit(job.name, job, deadline);
  const result = await answerOf(bed, call);
  assert.ok(result.isOk);
  return result.value;
}

async function phaseOf(bed: Cluster, job: string): Promise<string> {
  const deadline = bed.time.clock() + 10_000;
  const call = anyHost(bed).scheduler.status(job, deadline);
  const result = await answerOf(bed, call);
  return result.isOk ? result.value.state : result.error.kind;
}

function ownerOf(bed: Cluster, shard: string): EntryHost {
  const [owner] = bed.owners(shard);
  assert.ok(owner);
  return owner;
}

async function assertDone(
  bed: Bed,
  job: string,
  tasks: number,
  limit = 300_000,
  reportLimit = REPORT_LIMIT_MS,
): Promise<void> {
  await bed.time.until(() => completedTasks(bed, job).size === tasks, limit);
  const reportedBy = bed.time.clock() + reportLimit;
  while ((await phaseOf(bed, job)) !== 'completed') {
    assert.ok(bed.time.clock() < reportedBy, `${job} is not reported done`);
    await bed.time.advance(500);
  }
  assert.deepEqual(bed.violations, []);
}

test('a job is placed, runs under leases and is reported done', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 12, 60));
  await assertDone(bed, 'j', 12);
  assert.equal(bed.workers.runs.length, 12);
});

test('a submission repeated to another entry host runs once', async () => {
  const bed = await setUp();
  const job = sleepJob('j', 2, 10);
  for (const host of bed.entryHosts.values()) {
    const deadline = bed.time.clock() + 10_000;
    const again = await answerOf(
      bed,
      host.scheduler.submit('j', job, deadline),
    );
    assert.ok(again.isOk);
  }
  const other = { ...job, tasks: 3 };
  const deadline = bed.time.clock() + 10_000;
  const call = anyHost(bed).scheduler.submit('j', other, deadline);
  const clash = await answerOf(bed, call);
  assert.equal(clash.isErr && clash.error.kind, 'conflict');
  await assertDone(bed, 'j', 2);
  assert.equal(bed.workers.runs.length, 2);
});

test('a job for one zone is held there, whoever accepts it', async () => {
  const bed = createVirtualHosts({
    zones: ['x', 'y', 'z'],
    entryHosts: 1,
    shards: 1,
    workers: 2,
    capacity: CAPACITY,
  });
  await bed.time.advance(3_000);
  const hosts = [...bed.entryHosts.values()];
  for (const zone of ['x', 'y', 'z']) {
    const workers = { labels: { site: zone } };
    const job = sleepJob(`job-${zone}`, 2, 10, { workers });
    for (const { scheduler } of hosts) {
      const deadline = bed.time.clock() + 10_000;
      const call = scheduler.submit(job.name, job, deadline);
      const shard = await answerOf(bed, call);
      assert.equal(shard.unwrapOr(''), `${zone}-0`);
    }
  }
  await bed.time.advance(30_000);
  assert.equal(bed.workers.runs.length, 6);
  for (const zone of ['x', 'y', 'z']) {
    assert.equal(await phaseOf(bed, `job-${zone}`), 'completed');
  }
});

test('an owner paused past its lease changes nothing when it goes on', async () => {
  const bed = await setUp();
  const shard = await submit(bed, sleepJob('j', 20, 120));
  const old = ownerOf(bed, shard);
  old.pausable.pause();
  await bed.time.advance(30_000);
  const now = ownerOf(bed, shard);
  assert.notEqual(now.id, old.id);
  old.pausable.resume();
  await assertDone(bed, 'j', 20);
  assert.equal(bed.workers.runs.length, 20);
});

test('an owner killed in mid-start loses and doubles no task', async () => {
  for (const delay of [1, 3, 5, 8, 20]) {
    const bed = await setUp(delay);
    bed.log.setDelay({ appendMs: 4 });
    const shard = await submit(bed, sleepJob('j', 20, 120));
    await bed.time.advance(delay);
    ownerOf(bed, shard).kill();
    await assertDone(bed, 'j', 20);
    assert.equal(bed.workers.runs.length, 20);
  }
});

test('a planned stop moves the shard without waiting for a lease', async () => {
  const bed = await setUp();
  const shard = await submit(bed, sleepJob('j', 20, 60));
  await bed.time.advance(5_000);
  const old = ownerOf(bed, shard);
  void old.stop();
  await bed.time.until(
    () =>
      bed.owners(shard).some(host => host.scheduler.deciding().includes(shard)),
    2_000,
  );
  await assertDone(bed, 'j', 20);
  assert.equal(bed.workers.runs.length, 20);
});

test('lost answers to commands start nothing twice', async () => {
  const bed = await setUp();
  for (const { id } of bed.hosts) {
    bed.workers.setFaults(id, { loseAnswers: 3 });
  }
  await submit(bed, sleepJob('j', 30, 30));
  await assertDone(bed, 'j', 30);
  assert.equal(bed.workers.runs.length, 30);
});

test('tasks of a restarted agent begin anew', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 8, 60));
  await bed.time.advance(10_000);
  const [run] = runningNow(bed);
  assert.ok(run);
  bed.workers.restart(run.worker);
  await assertDone(bed, 'j', 8);
  const attempts = bed.workers.runs.filter(each => each.task === run.task);
  assert.deepEqual(
    attempts.map(each => each.attempt),
    [1, 2],
  );
});

test('tasks of a silent worker move only after their leases lapsed', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 8, 600));
  await bed.time.advance(10_000);
  const [run] = runningNow(bed);
  assert.ok(run);
  bed.workers.setFaults(run.worker, { unreachable: true });
  const cutAt = bed.time.clock();
  const moved = (): boolean =>
    bed.workers.runs.some(each => each.task === run.task && each.attempt === 2);
  await bed.time.until(moved, 120_000);
  const { leaseMs, marginMs, suspectMs, syncEveryMs } = TASK_TIMING;
  const waited = bed.time.clock() - cutAt;
  assert.ok(waited >= leaseMs + marginMs - syncEveryMs, `${waited}`);
  assert.ok(
    waited <= leaseMs + marginMs + suspectMs + syncEveryMs,
    `${waited}`,
  );
  assert.deepEqual(bed.violations, []);
});

test('tasks held for an operator run again only after a release, and once', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 1, 60, { onLostWorker: 'hold' }));
  await bed.time.until(() => runningNow(bed).length === 1);
  const [run] = runningNow(bed);
  bed.workers.setFaults(run?.worker ?? '', { unreachable: true });
  await bed.time.advance(600_000);
  assert.equal(bed.workers.runs.length, 1);

  for (const request of ['r1', 'r1']) {
    const deadline = bed.time.clock() + 10_000;
    const call = anyHost(bed).scheduler.release('j', request, deadline);
    assert.ok((await answerOf(bed, call)).isOk);
  }
  await assertDone(bed, 'j', 1);
  assert.equal(bed.workers.runs.length, 2);
});

test('a held task of a killed owner does not begin again at a restarted agent', async () => {
  // The task still runs at the restart, or has completed unrecorded; the next owner syncs later.
  for (const seconds of [600, 4]) {
    const bed = await setUp();
    const job = sleepJob('j', 1, seconds, { onLostWorker: 'hold' });
    const shard = await submit(bed, job);
    await bed.time.until(() => runningNow(bed).length === 1);
    const [run] = runningNow(bed);
    ownerOf(bed, shard).kill();
    await bed.time.advance(5_000);
    bed.workers.restart(run?.worker ?? '');
    await bed.time.advance(300_000);
    assert.equal(bed.workers.runs.length, 1, `a task of ${seconds} s`);

    const deadline = bed.time.clock() + 10_000;
    const call = anyHost(bed).scheduler.release('j', 'r1', deadline);
    assert.ok((await answerOf(bed, call)).isOk);
    await assertDone(bed, 'j', 1, 900_000);
    assert.equal(bed.workers.runs.length, 2);
  }
});

test('a held task whose lease lapsed at its worker waits for an operator', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 1, 600, { onLostWorker: 'hold' }));
  await bed.time.until(() => runningNow(bed).length === 1);
  const [run] = runningNow(bed);
  const worker = run?.worker ?? '';
  bed.workers.setFaults(worker, { unreachable: true });
  await bed.time.until(() => runningNow(bed).length === 0, 60_000);
  bed.workers.setFaults(worker, { unreachable: false });
  await bed.time.advance(300_000);
  assert.equal(bed.workers.runs.length, 1);
});

test('a worker back before its leases lapse keeps its tasks', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 8, 60));
  await bed.time.advance(10_000);
  const [run] = runningNow(bed);
  assert.ok(run);
  bed.workers.setFaults(run.worker, { unreachable: true });
  await bed.time.advance(12_000);
  bed.workers.setFaults(run.worker, { unreachable: false });
  await assertDone(bed, 'j', 8);
  assert.equal(bed.workers.runs.length, 8);
});

test('a silent worker under a killed owner waits for what that one may have renewed', async () => {
  const bed = await setUp();
  const shard = await submit(bed, sleepJob('j', 8, 600));
  await bed.time.advance(10_000);
  const [run] = runningNow(bed);
  assert.ok(run);
  const killedAt = bed.time.clock();
  ownerOf(bed, shard).kill();
  bed.workers.setFaults(run.worker, { unreachable: true });
  const moved = (): boolean =>
    bed.workers.runs.some(each => each.task === run.task && each.attempt === 2);
  await bed.time.until(moved, 300_000);
  const waited = bed.time.clock() - killedAt;
  const { leaseMs, marginMs, renewOnlyWindowMs } = TASK_TIMING;
  assert.ok(waited > SHARD_LEASE_MS + leaseMs + marginMs + renewOnlyWindowMs);
  assert.ok(waited < 90_000, `${waited}`);
  assert.deepEqual(bed.violations, []);
});

test('running tasks outlive outages of the log of seconds and of minutes', async () => {
  for (const outage of [4_000, 40_000, 600_000]) {
    const bed = await setUp();
    await submit(bed, sleepJob('long', 20, (outage + 60_000) / 1_000));
    await submit(bed, sleepJob('short', 8, 10));
    await bed.time.advance(5_000);
    const begun = bed.workers.runs.length;
    bed.log.setOutage(true);
    await bed.time.advance(outage);
    assert.equal(bed.workers.runs.length, begun);
    bed.log.setOutage(false);
    await assertDone(bed, 'short', 8);
    await assertDone(bed, 'long', 20);
    assert.equal(bed.workers.runs.length, 28, `outage of ${outage} ms`);
  }
});

test('a submission in an outage is refused as not run, at once where it is known', async () => {
  const bed = await setUp();
  bed.log.setOutage(true);
  await bed.time.advance(20_000);
  const job = sleepJob('j', 4, 10);
  for (const { scheduler } of bed.entryHosts.values()) {
    for (const limit of [5_000, 0]) {
      const before = bed.time.clock();
      const call = scheduler.submit('j', job, before + 10_000);
      const refused = await answerOf(bed, call);
      assert.ok(refused.isErr);
      assert.equal(refused.error.kind, 'log_unavailable');
      assert.equal(refused.error.outcome, 'not_run');
      assert.ok((refused.error.retryAfterMs ?? 0) > 0);
      assert.ok(bed.time.clock() - before <= limit);
    }
  }
  bed.log.setOutage(false);
  await bed.time.advance(30_000);
  assert.equal(bed.workers.runs.length, 0);
});

test('every entry host at once: the next ones take over what runs', async () => {
  const bed = await setUp();
  await submit(bed, sleepJob('j', 20, 120));
  await bed.time.advance(10_000);
  for (const host of [...bed.entryHosts.values()]) {
    host.kill();
  }
  await bed.time.advance(2_000);
  for (const id of ['n0', 'n1', 'n2']) {
    bed.start('z', id);
  }
  await assertDone(bed, 'j', 20);
  assert.equal(bed.workers.runs.length, 20);
});

test('entry hosts that start after records expired go on from snapshots', async () => {
  const bed = await setUp();
  const streams = ['leases.region', 'decisions.z'];
  await submit(bed, sleepJob('j', 20, 600));
  await untilWorked(bed, 5_000, () =>
    streams.every(stream => snapshotOffset(bed, stream) > 0),
  );
  for (const stream of streams) {
    bed.log.trim(stream, snapshotOffset(bed, stream));
  }
  for (const host of [...bed.entryHosts.values()]) {
    host.kill();
  }
  const started = ['n0', 'n1'].map(id => bed.start('z', id));
  await untilWorked(bed, 10, () =>
    started.every(host => host.scheduler.counts().length === 2),
  );
  await assertDone(bed, 'j', 20, 900_000);
  assert.equal(bed.workers.runs.length, 20);
});

test('entry hosts that cannot read the decisions leave the shards to one that can', async () => {
  const bed = createVirtualHosts({
    zones: ['z'],
    entryHosts: 2,
    shards: 1,
    workers: 4,
    capacity: CAPACITY,
  });
  await bed.time.advance(3_000);
  const shard = await submit(bed, sleepJob('j', 4, 600));
  bed.log.trim('decisions.z', bed.log.head('decisions.z'));
  for (const id of ['n0', 'n1', 'n2', 'n3']) {
    bed.start('z', id);
  }
  await bed.time.advance(2_000);
  ownerOf(bed, shard).kill();
  const decided = (): boolean =>
    bed.owners(shard).some(host => host.scheduler.deciding().includes(shard));
  await bed.time.until(decided, 30_000);
  assert.match(ownerOf(bed, shard).id, /entry/);
  assert.equal(bed.workers.runs.length, 4);
});

/** Advances in steps, giving work outside the virtual time, such as compression, its real time. */
async function untilWorked(
  bed: Bed,
  step: number,
  done: () => boolean,
): Promise<void> {
  for (let steps = 0; !done(); steps++) {
    assert.ok(steps < 1_000, 'the condition was not met in time');
    await bed.time.advance(step);
    await sleep(5);
  }
}

/** Returns the offset that the newest snapshot in the stream stands for, 0 without one. */
function snapshotOffset(bed: Bed, stream: string): number {
  const assembler = createSnapshotAssembler();
  let newest = 0;
  for (const { payload } of bed.log.entries(stream)) {
    const batch = decodeBatch(payload).unwrapOr(undefined);
    batch?.records.forEach(record => {
      const whole = assembler.add(record);
      newest = Math.max(newest, whole?.offset ?? 0);
    });
  }
  return newest;
}

test('a burst of cancellations stops what runs and starts nothing more', async () => {
  const bed = await setUp();
  const names = Array.from({ length: 200 }, (_, i) => `j${i}`);
  const host = anyHost(bed);
  const deadline = bed.time.clock() + 60_000;
  await answerOf(
    bed,
    Promise.all(
      names.map(name =>
        host.scheduler.submit(name, sleepJob(name, 2, 600), deadline),
      ),
    ),
  );
  await bed.time.advance(5_000);
  assert.equal(runningNow(bed).length, 64);
  await answerOf(
    bed,
    Promise.all(names.map(name => host.scheduler.cancel(name, deadline))),
  );
  await bed.time.advance(5_000);
  assert.equal(runningNow(bed).length, 0);
  assert.equal(await phaseOf(bed, 'j7'), 'cancelled');
  assert.equal(bed.workers.runs.length, 64);
});

test('work flows around a worker that fails everything', async () => {
  const bed = await setUp();
  const [first] = bed.hosts;
  bed.workers.setFaults(first?.id ?? '', { failEverything: true });
  for (let i = 0; i < 6; i++) {
    await submit(bed, sleepJob(`j${i}`, 4, 20));
  }
  await bed.time.advance(200_000);
  for (let i = 0; i < 6; i++) {
    assert.equal(completedTasks(bed, `j${i}`).size, 4);
  }
  assert.deepEqual(bed.violations, []);
});

test('faults in any order run no task in two places and lose none', async () => {
  for (const seed of [1, 2, 3, 102, 112]) {
    await runWithFaults(seed);
  }
});

async function runWithFaults(seed: number): Promise<void> {
  const bed = await setUp(seed);
  const random = seededRandom(seed);
  const faults = createFaults(bed, random);
  await submit(bed, sleepJob('a', 20, 30));
  await submit(bed, sleepJob('b', 30, 90));
  for (let i = 0; i < 25; i++) {
    faults[Math.floor(random() * faults.length)]?.();
    await bed.time.advance(1_000 + 9_000 * random());
    assert.deepEqual(bed.violations, [], `seed ${seed}, step ${i}`);
  }
  bed.log.setOutage(false);
  bed.log.setDelay({ appendMs: 2, readMs: 1 });
  bed.entryHosts.forEach(host => {
    host.pausable.resume();
  });
  bed.hosts.forEach(({ id }) => {
    bed.workers.setFaults(id, { unreachable: false });
  });
  // A completion that was lost with its worker runs once more.
  await assertDone(bed, 'a', 20, 6_000_000, 600_000);
  await assertDone(bed, 'b', 30, 6_000_000, 600_000);
}

function createFaults(bed: Bed, random: () => number): (() => void)[] {
  let started = 0;
  const pick = <T>(from: Iterable<T>): T | undefined => {
    const all = [...from];
    return all[Math.floor(random() * all.length)];
  };
  const pickWorker = (): string => pick(bed.hosts)?.id ?? '';
  return [
    () => {
      bed.log.setOutage(true);
    },
    () => {
      bed.log.setOutage(false);
    },
    () => {
      bed.log.loseAnswers(3);
    },
    () => {
      bed.log.lateEffects(2, 10_000 * random());
    },
    () => {
      bed.log.duplicate(3);
    },
    () => {
      bed.log.setDelay({ appendMs: 2_000 * random(), readMs: 100 * random() });
    },
    () => {
      pick(bed.entryHosts.values())?.pausable.pause();
    },
    () => {
      bed.entryHosts.forEach(host => {
        host.pausable.resume();
      });
    },
    () => {
      if (bed.entryHosts.size > 2) {
        pick(bed.entryHosts.values())?.kill();
      }
    },
    () => {
      bed.start('z', `more-${started++}`);
    },
    () => {
      bed.workers.setFaults(pickWorker(), { unreachable: true });
    },
    () => {
      bed.workers.setFaults(pickWorker(), { unreachable: false });
    },
    () => {
      bed.workers.setFaults(pickWorker(), { loseAnswers: 2 });
    },
    () => {
      bed.workers.restart(pickWorker());
    },
  ];
}
