/** A site whose workers start again under their ids, beside a lasting job and jobs of short tasks. */
import assert from 'node:assert/strict';

import type { Millis } from '@paddlewind/domain';
import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from './simulation.fixture.test.js';

/** The job that lasts, and its number of tasks. */
export const LONG_RUNNING_JOB = '00000000000000d1';
export const LONG_RUNNING_TASKS = 8;
const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5'];
/** Machines of the workers. */
export const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
const SHORT_TASKS = 6;
const SHORT_RUN_MS = 700;
const SHORT_JOBS = 49;
const SHORT_EVERY_MS = 900;
/** Time until a host leads and the lasting job runs. */
const SETTLE_MS = 4_000;
/** Pause between restarts. */
const EVERY_MS = 5_000;
/** How often workers start again. */
export const RESTART_ROUNDS = 6;
/** Seeds of each play. */
export const SEEDS = [1, 2, 3, 4];
/** Time after the last restart in which all that is left is done. */
const CALM_MS = 30_000;

/** Makes workers start again; `turn` counts from 0. */
export type Restart = (site: Simulation, turn: number) => void | Promise<void>;

/** What a site is like, and what happens there. */
export interface RestartsPlay {
  readonly seed: number;
  readonly restart: Restart;
  readonly keepsIds?: boolean;
  readonly maxLeaseMs?: Millis;
  /** What the workers' time of day is ahead by at first. */
  readonly wallOffset?: Millis;
}

/** Starts hosts, workers and the lasting job. */
export async function deploymentWithRestarts({
  seed,
  keepsIds = true,
  maxLeaseMs = 6_000,
  wallOffset = 0,
}: Omit<RestartsPlay, 'restart'>): Promise<Simulation> {
  const site = new Simulation(seed, { keepsIds, maxLeaseMs });
  site.workerWallOffset = wallOffset;
  site.history.faults = new FaultTimes();
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: LONG_RUNNING_TASKS, after: [], lasting: true };
  void site.submit(LONG_RUNNING_JOB, [step], { runMs: 10_000_000, failures: 0 });
  await site.time.advance(SETTLE_MS);
  assert.equal(site.history.runningOf(LONG_RUNNING_JOB), LONG_RUNNING_TASKS);
  return site;
}

/** Plays restarts beside jobs that come all the time; returns the site once all should be done. */
export async function runRestarts(play: RestartsPlay): Promise<Simulation> {
  const site = await deploymentWithRestarts(play);
  void submitShortJobs(site);
  for (let turn = 0; turn < RESTART_ROUNDS; turn += 1) {
    await site.time.advance(EVERY_MS);
    void play.restart(site, turn);
  }
  await site.time.advance(Math.max(CALM_MS, SHORT_JOBS * SHORT_EVERY_MS));
  return site;
}

async function submitShortJobs(site: Simulation): Promise<void> {
  for (let index = 0; index < SHORT_JOBS; index += 1) {
    const step = { tasks: SHORT_TASKS, after: [] };
    const script = { runMs: SHORT_RUN_MS, failures: 0 };
    void site.submit(shortJob(index), [step], script);
    await site.wait(SHORT_EVERY_MS);
  }
}

function shortJob(index: number): string {
  return `5${index.toString(16).padStart(15, '0')}`;
}

/** Short jobs that are not done. */
export function unfinished(site: Simulation): string[] {
  const all = Array.from({ length: SHORT_JOBS }, (_, at) => shortJob(at));
  return all.filter(id => !site.history.isDone(id));
}

/** Makes workers start again, as a fault that promises of calm times take into account. */
export function restartWorkers(
  site: Simulation,
  machines: readonly string[],
  awayMs: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + awayMs, of: 'workers' });
  for (const machine of machines) {
    site.restartWorker(machine, awayMs);
  }
}

/** One worker after the other, each away for `awayMs`. */
export function restartOneByOne(awayMs: number): Restart {
  return (site, turn) => {
    restartWorkers(site, WORKERS.slice(turn, turn + 1), awayMs);
  };
}

/** Makes all hosts start anew at the same moment. */
export function restartHosts(site: Simulation): void {
  for (const host of HOSTS) {
    restartHost(site, host, 0);
  }
}

/** Kills a host, which is there again after `awayMs`. */
export function restartHost(
  site: Simulation,
  host: string,
  awayMs: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + awayMs, of: { host } });
  site.kill(host);
  site.time.schedule(awayMs, () => site.startHost(host));
}

/** Cuts a worker off from all hosts for `span`. */
export function disconnectWorker(site: Simulation, machine: string, span: Millis): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + span, of: 'workers' });
  const pairs = HOSTS.map(host => `${host}>${machine}`);
  pairs.forEach(pair => site.fleet.cuts.add(pair));
  site.time.schedule(span, () => {
    pairs.forEach(pair => site.fleet.cuts.delete(pair));
  });
}

/** Asserts that every promise was kept, and that all was done and runs that should. */
export function assertNothingLost(site: Simulation, note: string): void {
  assert.deepEqual(site.history.check(), [], note);
  assert.deepEqual(unfinished(site), [], note);
  const running = site.history.runningOf(LONG_RUNNING_JOB);
  assert.equal(running, LONG_RUNNING_TASKS, note);
}
