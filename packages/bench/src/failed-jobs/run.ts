/** One run of daemon processes under the faults of an arm. */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { hash32, seededRandom } from '@paddlewind/domain';
import { JobHistory } from '@paddlewind/stand-ins/jobs';
import { StoreServer, WorkerPool } from '@paddlewind/stand-ins/users-platform';

import type { ProcessGroup } from '../processes/process-group.js';
import { readEvidence, type Evidence } from './evidence.js';
import { drawFaults, type Arm, type PlannedFault } from './fault-plan.js';
import { runFaults } from './fault-runner.js';
import { HostPool } from './host-pool.js';
import { startTraffic, type FailedJob } from './traffic.js';

/** What a run is started with. */
export interface RunOptions {
  readonly arm: Arm;
  readonly seed: number;
  /** Time under faults. */
  readonly seconds: number;
  readonly group: ProcessGroup;
  /** Directory for the settings and logs of the hosts. */
  readonly directory: string;
  readonly hosts?: number;
  readonly workers?: number;
}

/** What clients and workers saw, and what the logs say. */
export interface RunReport {
  readonly arm: Arm;
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly jobs: number;
  /** Jobs shown as failed, with or without cause. */
  readonly failed: readonly FailedJob[];
  /** Jobs shown as failed though no task had spent its attempts or crashed its workers. */
  readonly unfounded: readonly FailedJob[];
  /** Tasks for which a leader counted more failed attempts than workers reported. */
  readonly overcounted: readonly string[];
  /** Other guarantees that were violated. */
  readonly violations: readonly string[];
  readonly crashedWorkers: number;
  readonly evidence: Evidence;
}

const DEFAULT_HOSTS = 4;
const DEFAULT_WORKERS = 24;
const SETTLE_LIMIT_MS = 8_000;
const JOB_EVERY_MS = 250;

/** Runs daemon processes under faults. */
export async function runUnderFaults(options: RunOptions): Promise<RunReport> {
  const { arm, seed, group } = options;
  const directory = join(options.directory, `${arm}-${seed}`);
  mkdirSync(directory, { recursive: true });
  const random = (use: string) => seededRandom(hash32(`${seed} ${arm} ${use}`));
  const history = new JobHistory(() => performance.now());
  const store = new StoreServer();
  await store.start();
  const workers = new WorkerPool({ store, history, random: random('workers') });
  const hosts = new HostPool({ group, directory, store });
  try {
    await startAll(options, workers, hosts);
    const faults = drawFaults(random('faults'), arm, options.seconds);
    const traffic = startTraffic({
      hosts: () => hosts.running,
      history,
      random: random('traffic'),
      crashes: arm === 'single' || arm === 'all',
      jobEveryMs: JOB_EVERY_MS,
    });
    const over = sleep(options.seconds * 1_000);
    const targets = { hosts, store, workers, random: random('targets') };
    await runFaults(targets, faults);
    await over;
    await traffic.settle(SETTLE_LIMIT_MS);
    await hosts.close();
    const evidence = readEvidence(directory, {
      crashes: workers.crashes,
      fleetSize: options.workers ?? DEFAULT_WORKERS,
    });
    return report(
      options,
      { faults, history, workers, evidence },
      traffic.failed,
    );
  } finally {
    await hosts.close();
    await workers.close();
    await store.stop();
  }
}

async function startAll(
  options: RunOptions,
  workers: WorkerPool,
  hosts: HostPool,
): Promise<void> {
  const {
    hosts: hostCount = DEFAULT_HOSTS,
    workers: workerCount = DEFAULT_WORKERS,
  } = options;
  workers.publishConfig();
  for (let number = 0; number < workerCount; number += 1) {
    await workers.add();
  }
  const names = Array.from({ length: hostCount }, (_, at) => `host-${at + 1}`);
  await Promise.all(names.map(name => hosts.start(name)));
  await hosts.untilReady();
}

interface Observed {
  readonly faults: readonly PlannedFault[];
  readonly history: JobHistory;
  readonly workers: WorkerPool;
  readonly evidence: Evidence;
}

function report(
  { arm, seed }: RunOptions,
  { faults, history, workers, evidence }: Observed,
  failed: readonly FailedJob[],
): RunReport {
  const violations = history.check();
  const unfounded = new Set(
    violations
      .filter(({ guarantee }) => guarantee === 'failed_when_spent')
      .map(({ task }) => task),
  );
  const failedRuns = history.failedRuns();
  return {
    arm,
    seed,
    faults,
    jobs: history.jobs.size,
    failed,
    unfounded: failed.filter(({ id }) => unfounded.has(id)),
    overcounted: [...evidence.attempts]
      .filter(([task, counted]) => counted > (failedRuns.get(task) ?? 0))
      .map(([task]) => task),
    violations: violations
      .filter(({ guarantee }) => guarantee !== 'failed_when_spent')
      .map(({ guarantee, task, detail }) => `${guarantee}: ${task}: ${detail}`),
    crashedWorkers: workers.crashes.size,
    evidence,
  };
}
