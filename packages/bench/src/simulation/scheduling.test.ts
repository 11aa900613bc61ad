import assert from 'node:assert/strict';
import test from 'node:test';

import { createCluster, sleepJob, type Cluster } from './cluster.js';

const CAPACITY = { cpu: 8, memoryMiB: 16_384, accelerators: 0 };

function smallCluster(seed = 1): Cluster {
  const cluster = createCluster({
    zones: ['z'],
    entryHosts: 3,
    shards: 2,
    workers: 4,
    capacity: CAPACITY,
    seed,
  });
  watchPlaces(cluster);
  return cluster;
}

/** Fails as soon as a task begins in a second place or a worker is given more than it can hold. */
function watchPlaces({ workers }: Cluster): void {
  workers.onBegin(run => {
    const others = workers.runs.filter(each => each.endedAt === undefined);
    const twin = others.find(each => each.task === run.task);
    assert.equal(twin, undefined, `${run.task} runs in two places`);
    const here = others.filter(each => each.worker === run.worker);
    const cpu = here.reduce((sum, each) => sum + each.spec.size.cpu, 0);
    assert.ok(cpu + run.spec.size.cpu <= CAPACITY.cpu, `${run.worker} is full`);
  });
}

async function submit(
  cluster: Cluster,
  job: ReturnType<typeof sleepJob>,
): Promise<void> {
  const [host] = cluster.entryHosts.values();
  assert.ok(host);
  const deadline = cluster.time.clock() + 10_000;
  let shard: string | undefined;
  void host.scheduler.submit(job.name, job, deadline).then(result => {
    shard = result.unwrapOr('');
  });
  await cluster.time.until(() => shard !== undefined);
  assert.notEqual(shard, '');
}

function completed({ workers }: Cluster, job: string): Set<string> {
  const runs = workers.runs.filter(
    run => run.spec.job === job && run.state === 'completed',
  );
  assert.equal(new Set(runs.map(run => run.task)).size, runs.length);
  return new Set(runs.map(run => run.task));
}

async function phaseOf(cluster: Cluster, job: string): Promise<string> {
  const [host] = cluster.entryHosts.values();
  let phase: string | undefined;
  const deadline = cluster.time.clock() + 10_000;
  void host?.scheduler.status(job, deadline).then(result => {
    phase = result.isOk ? result.value.state : result.error.kind;
  });
  await cluster.time.until(() => phase !== undefined);
  return phase ?? '';
}

test('a job is placed, runs under leases and is reported done', async () => {
  const cluster = smallCluster();
  await cluster.time.advance(3_000);
  await submit(cluster, sleepJob('j', 12, 60));
  await cluster.time.advance(120_000);
  assert.equal(completed(cluster, 'j').size, 12);
  assert.equal(cluster.workers.runs.length, 12);
  assert.equal(await phaseOf(cluster, 'j'), 'completed');
});
