/**
 * A simulated deployment whose workers restart under their ids while a long-running job and jobs of
 * short tasks run.
 */
import assert from 'node:assert/strict';

import type { Millis } from '@paddlewind/domain';
import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from './simulation.fixture.test.js';

/** The long-running job and its number of tasks. */
export const LONG_RUNNING_JOB = '00000000000000d1';
export const LONG_RUNNING_TASKS = 8;
const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5'];
/** Machines of the workers. */
export const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
const SHORT_TASKS = 6;
const SHORT_RUN_MS = 700;
const SHORT_JOBS = 49;
const SHORT_JOB_INTERVAL_MS = 900;
/** Time until a host leads and the long-running job runs. */
const SETTLE_MS = 4_000;
/** Pause between restarts. */
const RESTART_INTERVAL_MS = 5_000;
/** Number of restarts. */
export const RESTART_ROUNDS = 6;
/** Seeds of each scenario. */
export const SEEDS = [1, 2, 3, 4];
/** Time after the last restart in which all remaining work completes. */
const RECOVERY_MS = 30_000;

/** Restarts workers; `turn` counts from 0. */
export type Restart = (site: Simulation, turn: number) => void | Promise<void>;

/** Settings of a deployment and the restarts in it. */
export interface RestartsScenario {
  readonly seed: number;
  readonly restart: Restart;
  readonly keepsIds?: boolean;
  readonly maxLeaseMs?: Millis;
  /** Initial offset of the workers' time of day. */
  readonly wallOffset?: Millis;
}

/** Starts hosts, workers and the long-running job. */
export async function deploymentWithRestarts({
  seed,
  keepsIds = true,
  maxLeaseMs = 6_000,
  wallOffset = 0,
}: Omit<RestartsScenario, 'restart'>): Promise<Simulation> {
  const site = new Simulation(seed, { keepsIds, maxLeaseMs });
  site.workerWallOffset = wallOffset;
  site.history.faults = new FaultTimes();
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: LONG_RUNNING_TASKS, after: [], lasting: true };
  void site.submit(LONG_RUNNING_JOB, [step], {
    runMs: 10_000_000,
    failures: 0,
  });
  await site.time.advance(SETTLE_MS);
  assert.equal(
    site.history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
  );
  return site;
}

/** Runs restarts while jobs are submitted; returns the deployment once all jobs should be done. */
export async function runRestarts(
  scenario: RestartsScenario,
): Promise<Simulation> {
  const site = await deploymentWithRestarts(scenario);
  void submitShortJobs(site);
  for (let turn = 0; turn < RESTART_ROUNDS; turn += 1) {
    await site.time.advance(RESTART_INTERVAL_MS);
    void scenario.restart(site, turn);
  }
  await site.time.advance(
    Math.max(RECOVERY_MS, SHORT_JOBS * SHORT_JOB_INTERVAL_MS),
  );
  return site;
}

async function submitShortJobs(site: Simulation): Promise<void> {
  for (let index = 0; index < SHORT_JOBS; index += 1) {
    const step = { tasks: SHORT_TASKS, after: [] };
    const script = { runMs: SHORT_RUN_MS, failures: 0 };
    void site.submit(shortJob(index), [step], script);
    await site.wait(SHORT_JOB_INTERVAL_MS);
  }
}

function shortJob(index: number): string {
  return `5${index.toString(16).padStart(15, '0')}`;
}

/** Returns the short jobs that are not done. */
export function unfinishedShortJobs(site: Simulation): string[] {
  const all = Array.from({ length: SHORT_JOBS }, (_, at) => shortJob(at));
  return all.filter(id => !site.history.isDone(id));
}

/** Restarts workers and records that as a fault, since some guarantees hold only in fault-free times. */
export function restartWorkers(
  site: Simulation,
  machines: readonly string[],
  downtimeMs: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + downtimeMs, of: 'workers' });
  for (const machine of machines) {
    site.restartWorker(machine, downtimeMs);
  }
}

/** Returns a restart of one worker after the other, each unavailable for `downtimeMs`. */
export function restartOneByOne(downtimeMs: number): Restart {
  return (site, turn) => {
    restartWorkers(site, WORKERS.slice(turn, turn + 1), downtimeMs);
  };
}

/** Restarts all hosts at the same moment. */
export function restartHosts(site: Simulation): void {
  for (const host of HOSTS) {
    restartHost(site, host, 0);
  }
}

/** Kills a host and restarts it after `downtimeMs`. */
export function restartHost(
  site: Simulation,
  host: string,
  downtimeMs: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + downtimeMs, of: { host } });
  site.kill(host);
  site.time.schedule(downtimeMs, () => site.startHost(host));
}

/** Disconnects a worker from all hosts for `span`. */
export function disconnectWorker(
  site: Simulation,
  machine: string,
  span: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + span, of: 'workers' });
  const pairs = HOSTS.map(host => `${host}>${machine}`);
  pairs.forEach(pair => site.fleet.brokenLinks.add(pair));
  site.time.schedule(span, () => {
    pairs.forEach(pair => site.fleet.brokenLinks.delete(pair));
  });
}

/** Asserts that every guarantee was kept, all short jobs are done and the long-running tasks run. */
export function assertNothingLost(site: Simulation, note: string): void {
  assert.deepEqual(site.history.check(), [], note);
  assert.deepEqual(unfinishedShortJobs(site), [], note);
  const running = site.history.countActiveRuns(LONG_RUNNING_JOB);
  assert.equal(running, LONG_RUNNING_TASKS, note);
}
