/** Outages of the log and the return from them, on a virtual clock; flags: --minutes N,N,... */
import { parseArgs } from 'node:util';

import { report } from '../report.js';
import { runningNow, watchPlaces } from '../virtual-hosts/checks.js';
import {
  createVirtualHosts,
  sleepJob,
  type Cluster,
} from '../virtual-hosts/hosts.js';

const TASKS = 300;
const QUEUED = 60;
const LIMIT_MS = 600_000;
const LONG_SECONDS = 100_000;

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: { minutes: { type: 'string', default: '0.5,10,60' } },
  });
  for (const minutes of values.minutes.split(',').map(Number)) {
    await measure(minutes);
  }
}

async function measure(minutes: number): Promise<void> {
  const cluster = createVirtualHosts({
    zones: ['olympia', 'tacoma', 'salem'],
    entryHosts: 3,
    shards: 2,
    workers: 8,
    capacity: { cpu: 16, memoryMiB: 65_536, accelerators: 0 },
  });
  const { time, log, workers } = cluster;
  const violations = watchPlaces(cluster);
  log.setDelay({ appendMs: 20, readMs: 1 });
  await time.advance(5_000);
  submit(cluster, 'running', TASKS, LONG_SECONDS);
  await time.until(() => runningNow(cluster).length === TASKS, LIMIT_MS);
  await time.advance(5_000);
  const runsBefore = workers.runs.length;
  log.setOutage(true);
  await time.advance(minutes * 60_000);
  const kept = runningNow(cluster).length;
  const begunInOutage = workers.runs.length - runsBefore;
  log.setOutage(false);
  const backAt = time.clock();
  const appendsBefore = log.totals().appends;
  await time.until(() => allDecided(cluster), LIMIT_MS);
  const decidedMs = time.clock() - backAt;
  await time.advance(Math.max(0, 10_000 - decidedMs));
  const appends = log.totals().appends - appendsBefore;
  submit(cluster, 'after', QUEUED, LONG_SECONDS);
  const all = TASKS + QUEUED;
  const submittedAt = time.clock();
  await time.until(() => runningNow(cluster).length === all, LIMIT_MS);
  report({
    bench: 'log-outage',
    minutes,
    tasksBefore: TASKS,
    tasksKept: kept,
    begunInOutage,
    decidedAgainMs: Math.round(decidedMs),
    appendsInTenSecondsAfter: appends,
    startsAgainMs: Math.round(time.clock() - submittedAt),
    violations: violations.length,
  });
}

function submit(
  { entryHosts, time }: Cluster,
  name: string,
  tasks: number,
  seconds: number,
): void {
  const [host] = entryHosts.values();
  for (let i = 0; i < tasks / 10; i++) {
    const job = sleepJob(`${name}-${i}`, 10, seconds);
    void host?.scheduler.submit(job.name, job, time.clock() + 60_000);
  }
}

function allDecided(cluster: Cluster): boolean {
  return cluster
    .shardNames()
    .every(shard =>
      cluster
        .owners(shard)
        .some(host => host.scheduler.deciding().includes(shard)),
    );
}
