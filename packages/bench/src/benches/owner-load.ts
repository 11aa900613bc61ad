/** Processor time of an owner of seven shards in a fleet of 3,100 workers, on a virtual clock; flags: --seconds N. */
import { parseArgs } from 'node:util';

import { report } from '../report.js';
import {
  createVirtualHosts,
  sleepJob,
  type Cluster,
} from '../virtual-hosts/hosts.js';

const SHARDS = 7;
const WORKERS = 31;
const FLEET = 3_100;

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { seconds: { type: 'string', default: '20' } },
  });
  const seconds = Number(values.seconds);
  for (const jobsPerSecond of [0, 2]) {
    await measure(seconds, jobsPerSecond);
  }
}

async function measure(seconds: number, jobsPerSecond: number): Promise<void> {
  const cluster = createVirtualHosts({
    zones: ['olympia'],
    entryHosts: 1,
    shards: SHARDS,
    workers: WORKERS,
    capacity: { cpu: 32, memoryMiB: 65_536, accelerators: 0 },
  });
  addOtherZones(cluster);
  const { time, workers } = cluster;
  await time.advance(15_000);
  const startedAt = process.cpuUsage();
  for (let i = 0; i < seconds; i++) {
    for (let j = 0; j < jobsPerSecond; j++) {
      submit(cluster, `job-${i}-${j}`);
    }
    await time.advance(1_000);
  }
  const { user, system } = process.cpuUsage(startedAt);
  report({
    bench: 'owner-load',
    fleet: cluster.hosts.length,
    shards: SHARDS,
    workers: SHARDS * WORKERS,
    jobsPerSecond,
    starts: workers.runs.length,
    cpuMsPerSecond: Math.round((user + system) / seconds / 100) / 10,
  });
}

function submit({ entryHosts, time }: Cluster, name: string): void {
  const [host] = entryHosts.values();
  const job = sleepJob(name, 10, 10);
  void host?.scheduler.submit(name, job, time.clock() + 60_000);
}

/** Lists the workers of other zones, which this owner has nothing to do with. */
function addOtherZones({ hosts }: Cluster): void {
  const [first] = hosts;
  for (let i = hosts.length; first !== undefined && i < FLEET; i++) {
    const zone = `zone-${i % 13}`;
    hosts.push({ ...first, id: `other-${i}`, availabilityZone: zone });
  }
}
