/** Time until shards are decided on again after their owners fail, on a virtual clock; flags: --seeds N. */
import { parseArgs } from 'node:util';

import type { Millis } from '@paddlewind/domain';

import { report } from '../report.js';
import { runningNow, watchPlaces } from '../virtual-hosts/checks.js';
import {
  createVirtualHosts,
  sleepJob,
  type Cluster,
  type ClusterOptions,
} from '../virtual-hosts/hosts.js';
import { quantile } from '../virtual-hosts/quantile.js';

const TASKS = 740;
const WORKERS = 31;
const RACK_WORKERS = 8;
const SETTLE_MS = 30_000;
const LIMIT_MS = 600_000;

/** One kind of failure and what counts as recovered. */
interface Scenario {
  readonly name: string;
  readonly cluster: ClusterOptions;
  /** Brings the failure about and returns the condition of recovery. */
  readonly fail: (cluster: Cluster) => () => boolean;
}

const ONE_SHARD: ClusterOptions = {
  zones: ['olympia'],
  entryHosts: 3,
  shards: 1,
  workers: WORKERS,
  capacity: { cpu: 40, memoryMiB: 65_536, accelerators: 0 },
};
const THREE_ZONES: ClusterOptions = {
  ...ONE_SHARD,
  zones: ['olympia', 'tacoma', 'salem'],
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'owner killed',
    cluster: ONE_SHARD,
    fail: cluster => {
      cluster.owners('olympia-0')[0]?.kill();
      return () => isDecided(cluster, 'olympia-0');
    },
  },
  {
    name: 'owner stopped as planned',
    cluster: ONE_SHARD,
    fail: cluster => {
      const [old] = cluster.owners('olympia-0');
      void old?.stop();
      return () => isDecided(cluster, 'olympia-0');
    },
  },
  {
    name: 'every entry host killed and started anew',
    cluster: THREE_ZONES,
    fail: cluster => {
      const hosts = [...cluster.entryHosts.values()];
      for (const host of hosts) {
        host.kill();
      }
      for (const { zone, id } of hosts) {
        cluster.start(zone, `${id}-next`);
      }
      return () => cluster.shardNames().every(name => isDecided(cluster, name));
    },
  },
  {
    name: 'rack lost: its tasks run elsewhere',
    cluster: ONE_SHARD,
    fail: cluster => {
      const rack = cluster.hosts.slice(0, RACK_WORKERS).map(host => host.id);
      return loseWorkers(cluster, rack);
    },
  },
  {
    name: 'zone lost: its shards are decided on from elsewhere',
    cluster: THREE_ZONES,
    fail: cluster => {
      for (const host of [...cluster.entryHosts.values()]) {
        if (host.zone === 'olympia') {
          host.kill();
        }
      }
      for (const host of cluster.hosts) {
        if (host.availabilityZone === 'olympia') {
          cluster.workers.setFaults(host.id, { unreachable: true });
        }
      }
      return () => isDecided(cluster, 'olympia-0');
    },
  },
];

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { seeds: { type: 'string', default: '5' } },
  });
  for (const scenario of SCENARIOS) {
    await measure(scenario, Number(values.seeds));
  }
}

async function measure(scenario: Scenario, seeds: number): Promise<void> {
  const times: Millis[] = [];
  let violations = 0;
  let begun = 0;
  for (let seed = 1; seed <= seeds; seed++) {
    const cluster = createVirtualHosts({ ...scenario.cluster, seed });
    const seen = watchPlaces(cluster);
    await fill(cluster);
    // Failures fall at any point between two renewals.
    await cluster.time.advance((3_000 * seed) / seeds);
    const before = cluster.workers.runs.length;
    const failedAt = cluster.time.clock();
    const recovered = scenario.fail(cluster);
    await cluster.time.until(recovered, LIMIT_MS);
    times.push(cluster.time.clock() - failedAt);
    await cluster.time.advance(SETTLE_MS);
    violations += seen.length;
    begun += cluster.workers.runs.length - before;
  }
  report({
    bench: 'recovery',
    scenario: scenario.name,
    tasks: TASKS,
    workers: WORKERS * scenario.cluster.zones.length,
    runs: seeds,
    p50Ms: quantile(times, 0.5),
    maxMs: quantile(times, 1),
    attemptsBegunAfter: begun / seeds,
    violations,
  });
}

/** Fills the cluster with long tasks. */
async function fill(cluster: Cluster): Promise<void> {
  const { time } = cluster;
  cluster.log.setDelay({ appendMs: 20, readMs: 1 });
  await time.advance(5_000);
  const [host] = cluster.entryHosts.values();
  for (let i = 0; i < TASKS / 20; i++) {
    const job = sleepJob(`job-${i}`, 20, 36_000);
    void host?.scheduler.submit(job.name, job, time.clock() + 60_000);
  }
  await time.until(() => runningNow(cluster).length === TASKS, LIMIT_MS);
  await time.advance(5_000);
}

function isDecided(cluster: Cluster, shard: string): boolean {
  return [...cluster.entryHosts.values()].some(host =>
    host.scheduler.deciding().includes(shard),
  );
}

function loseWorkers(cluster: Cluster, ids: readonly string[]): () => boolean {
  const lost = new Set(ids);
  const tasks = runningNow(cluster)
    .filter(run => lost.has(run.worker))
    .map(run => run.task);
  for (const id of ids) {
    cluster.workers.setFaults(id, { unreachable: true });
  }
  return () => {
    const running = runningNow(cluster);
    const elsewhere = new Set(
      running.filter(run => !lost.has(run.worker)).map(run => run.task),
    );
    return tasks.every(task => elsewhere.has(task));
  };
}
