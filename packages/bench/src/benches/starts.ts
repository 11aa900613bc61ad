/** Submit-to-start times through a log of few appends, on a virtual clock; flags: --seconds N --seed N. */
import { parseArgs } from 'node:util';

import { createCommitter, type Committer } from '@paddlewind/daemon';
import {
  encodeBatch,
  policySchema,
  seededRandom,
  type Instant,
  type Random,
} from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import { report } from '../report.js';
import { runningNow, watchPlaces } from '../virtual-hosts/checks.js';
import {
  createVirtualHosts,
  sleepJob,
  type Cluster,
  type CommitterFactory,
} from '../virtual-hosts/hosts.js';
import { quantile } from '../virtual-hosts/quantile.js';

const LOG_APPENDS_PER_SECOND = 300;
const OTHERS_PER_SECOND = 90;
const APPEND_MS = 20;
const STARTS_PER_SECOND = 310;
const TASKS_PER_JOB = 10;
const TASK_SECONDS = 10;
const WARM_UP_MS = 3_000;
const DRAIN_MS = 1_000;
const ZONES = ['olympia', 'tacoma', 'salem', 'yakima'];

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seconds: { type: 'string', default: '20' },
      seed: { type: 'string', default: '1' },
    },
  });
  const seconds = Number(values.seconds);
  const seed = Number(values.seed);
  await measureStarts('grouped', undefined, seconds, seed);
  await measureStarts('single', singleCommitter, seconds, seed);
  await measureUrgent(seconds, seed);
}

async function measureStarts(
  commit: string,
  committer: CommitterFactory | undefined,
  seconds: number,
  seed: number,
): Promise<void> {
  const cluster = createVirtualHosts({
    zones: ZONES,
    entryHosts: 2,
    shards: 2,
    workers: 31,
    capacity: { cpu: 32, memoryMiB: 65_536, accelerators: 0 },
    seed,
    ...(committer === undefined ? {} : { committer }),
  });
  const violations = watchPlaces(cluster);
  await loadLog(cluster);
  const times = await submitJobs(cluster, seconds, seededRandom(seed));
  const others = cluster.log.entries('others').length;
  const appends = cluster.log.totals().appends - others;
  report({
    bench: 'starts',
    commit,
    simulatedSeconds: seconds,
    submittedTasks: times.submitted,
    startedTasks: times.waits.length,
    p50Ms: quantile(times.waits, 0.5),
    p99Ms: quantile(times.waits, 0.99),
    maxMs: quantile(times.waits, 1),
    ownAppendsPerSecond: Math.round(appends / (seconds + DRAIN_MS / 1_000)),
    violations: violations.length,
  });
}

/** Limits the log, lets others use their part of it, and waits until owners decide. */
async function loadLog(cluster: Cluster): Promise<void> {
  const { time, log } = cluster;
  await time.advance(WARM_UP_MS);
  log.setDelay({ appendMs: APPEND_MS, readMs: 1 });
  log.limitAppends(LOG_APPENDS_PER_SECOND);
  const appendOther = (): void => {
    time.schedule(1_000 / OTHERS_PER_SECOND, appendOther);
    void log.append('others', '{}');
  };
  appendOther();
}

interface StartTimes {
  readonly submitted: number;
  readonly waits: number[];
}

async function submitJobs(
  cluster: Cluster,
  seconds: number,
  random: Random,
): Promise<StartTimes> {
  const { time, workers } = cluster;
  const submittedAt = new Map<string, Instant>();
  const waits: number[] = [];
  workers.onBegin(run => {
    waits.push(time.clock() - (submittedAt.get(run.spec.job) ?? 0));
  });
  const jobsPerMs = STARTS_PER_SECOND / TASKS_PER_JOB / 1_000;
  const end = time.clock() + seconds * 1_000;
  const hosts = [...cluster.entryHosts.values()];
  for (let i = 0; time.clock() < end; i++) {
    const name = `job-${i}`;
    const host = hosts[i % hosts.length];
    submittedAt.set(name, time.clock());
    const job = sleepJob(name, TASKS_PER_JOB, TASK_SECONDS);
    void host?.scheduler.submit(name, job, time.clock() + 60_000);
    await time.advance(-Math.log(1 - random()) / jobsPerMs);
  }
  await time.advance(DRAIN_MS);
  return { submitted: submittedAt.size * TASKS_PER_JOB, waits };
}

/** Commits every record by an append of its own, with any number in flight. */
function singleCommitter(
  log: LogService,
  ctx: Parameters<CommitterFactory>[1],
): ReturnType<CommitterFactory> {
  const commit: Committer['commit'] = async (stream, record, deadline) => {
    for (;;) {
      const result = await log.append(stream, encodeBatch([record]));
      if (result.isOk) {
        return Result.ok({ offset: result.value, index: 0 });
      }
      if (ctx.clock() >= deadline) {
        return Result.err(result.error);
      }
      await new Promise<void>(resolve => {
        ctx.schedule?.(20 + 80 * ctx.random(), resolve);
      });
    }
  };
  // Leases keep their own committer, so that the comparison is of decisions only.
  const leases = createCommitter({ log, ctx });
  return {
    commit: (stream, record, deadline) =>
      stream.startsWith('leases')
        ? leases.commit(stream, record, deadline)
        : commit(stream, record, deadline),
    stop: () => {
      leases.stop();
    },
  };
}

const POLICIES = [
  policySchema.parse({
    kind: 'policy',
    name: 'urgent',
    order: 1,
    work: { labels: { tier: 'urgent' } },
    class: 'latency_critical',
    priority: 'urgent',
  }),
  policySchema.parse({
    kind: 'policy',
    name: 'batch',
    order: 2,
    work: { labels: { tier: 'batch' } },
    class: 'batch',
    preemptible: true,
    evictionsPerHour: 6,
  }),
];

/** Urgent tasks arrive at a fleet that preemptible batch work fills. */
async function measureUrgent(seconds: number, seed: number): Promise<void> {
  const cluster = createVirtualHosts({
    zones: ['olympia'],
    entryHosts: 2,
    shards: 2,
    workers: 31,
    capacity: { cpu: 16, memoryMiB: 65_536, accelerators: 0 },
    objects: POLICIES,
    seed,
  });
  const violations = watchPlaces(cluster);
  await loadLog(cluster);
  const { time } = cluster;
  for (let i = 0; i < 8; i++) {
    submitOne(cluster, `batch-${i}`, 200, 3_600, 'batch');
  }
  await time.advance(10_000);
  const filled = runningNow(cluster).length;
  const random = seededRandom(seed);
  const submittedAt = new Map<string, Instant>();
  const waits: number[] = [];
  cluster.workers.onBegin(run => {
    const at = submittedAt.get(run.spec.job);
    if (at !== undefined) {
      waits.push(time.clock() - at);
    }
  });
  const end = time.clock() + seconds * 1_000;
  for (let i = 0; time.clock() < end; i++) {
    const name = `urgent-${i}`;
    submittedAt.set(name, time.clock());
    submitOne(cluster, name, 1, 30, 'urgent');
    await time.advance(-Math.log(1 - random()) * 200);
  }
  await time.advance(10_000);
  report({
    bench: 'starts',
    commit: 'urgent at a full fleet',
    runningBatchBefore: filled,
    submittedTasks: submittedAt.size,
    startedTasks: waits.length,
    p50Ms: quantile(waits, 0.5),
    p99Ms: quantile(waits, 0.99),
    maxMs: quantile(waits, 1),
    violations: violations.length,
  });
}

function submitOne(
  { time, entryHosts }: Cluster,
  name: string,
  tasks: number,
  seconds: number,
  tier: string,
): void {
  const [host] = entryHosts.values();
  const job = sleepJob(name, tasks, seconds, { labels: { tier } });
  void host?.scheduler.submit(name, job, time.clock() + 60_000);
}
