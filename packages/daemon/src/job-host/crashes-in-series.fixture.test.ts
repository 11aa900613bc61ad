/** A simulated deployment with long-running and short jobs, whose workers fail together in series. */
import type { Millis } from '@paddlewind/domain';
import type { LogMode } from '@paddlewind/stand-ins/jobs';

import { Simulation, type TestStep } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];
const ENDLESS = { runMs: 10_000_000, failures: 0 };
/** Tasks of each long-running job; there is one job for two workers. */
const LONG_RUNNING_TASKS = 3;
const MAX_SHORT_TASKS = 4;
const MAX_NEXT_TASKS = 3;
const MIN_RUN_MS: Millis = 500;
const MAX_RUN_MS: Millis = 2_000;
/** Interval between short jobs for one worker; they take about half of the capacity. */
const SHORT_JOB_INTERVAL_MS: Millis = 3_000;
/** Time until a host leads and the long-running jobs run. */
const SETTLE_MS: Millis = 4_000;
/** Time in which short jobs run before the first fault. */
const CALM_MS: Millis = 6_000;
/** Time after the last fault in which all jobs are observed. */
const RECOVERY_MS: Millis = 20_000;
/** Interval at which callers query the state of each job. */
const QUERY_INTERVAL_MS: Millis = 500;

/** Workers that crash or are cut off together, again and again. */
export interface CrashSeries {
  /** Probability with which each worker is affected each time. */
  readonly share: number;
  readonly everyMs: Millis;
  readonly rounds: number;
  /** Time until a worker is back; after a crash with another id. */
  readonly downtimeMs: Millis;
}

/** Settings of a deployment. */
export interface BusyDeployment {
  readonly seed: number;
  readonly workers: number;
}

/** Faults that are injected into a deployment; resolves after the last one. */
export type Faults = (
  site: Simulation,
  machines: readonly string[],
) => Promise<void>;

/** Returns the jobs that callers saw as failed, none of whose tasks fails or crashes a worker. */
export async function jobsSeenAsFailed(
  deployment: BusyDeployment,
  faults: Faults,
): Promise<string[]> {
  const site = await busyDeployment(deployment);
  await site.time.advance(CALM_MS);
  await faults(site, machinesOf(deployment));
  await site.time.advance(RECOVERY_MS);
  const { history } = site;
  return [...history.jobs.keys()].filter(id =>
    history.reportedStates(id).includes('failed'),
  );
}

/** Starts hosts, workers and long-running jobs, and submits short jobs. */
async function busyDeployment(deployment: BusyDeployment): Promise<Simulation> {
  const { seed, workers } = deployment;
  const site = new Simulation(seed);
  machinesOf(deployment).forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  for (let at = 0; at < workers / 2; at += 1) {
    const step = { tasks: LONG_RUNNING_TASKS, after: [], lasting: true };
    void site.submit(jobId('d', at), [step], ENDLESS);
  }
  await site.time.advance(SETTLE_MS);
  void submitShortJobs(site, SHORT_JOB_INTERVAL_MS / workers);
  void queryStates(site);
  return site;
}

function machinesOf({ workers }: BusyDeployment): string[] {
  return Array.from({ length: workers }, (_, at) => `w${at + 1}`);
}

async function submitShortJobs(
  site: Simulation,
  intervalMs: Millis,
): Promise<void> {
  const { random } = site;
  for (let at = 0; ; at += 1) {
    const steps: TestStep[] = [
      { tasks: 1 + Math.floor(random() * MAX_SHORT_TASKS), after: [] },
    ];
    if (at % 2 === 1) {
      const tasks = 1 + Math.floor(random() * MAX_NEXT_TASKS);
      steps.push({ tasks, after: [0] });
    }
    const runMs = MIN_RUN_MS + random() * (MAX_RUN_MS - MIN_RUN_MS);
    void site.submit(jobId('5', at), steps, { runMs, failures: 0 });
    await site.wait(intervalMs);
  }
}

function jobId(prefix: string, at: number): string {
  return `${prefix}${at.toString(16).padStart(15, '0')}`;
}

/** Queries the state of each unfinished job on the hosts in turn, as callers do. */
async function queryStates(site: Simulation): Promise<void> {
  const { history, time } = site;
  const finished = new Set<string>();
  for (let turn = 0; ; turn += 1) {
    await site.wait(QUERY_INTERVAL_MS);
    const found = site.hosts.get(HOSTS[turn % HOSTS.length] ?? '');
    const open = [...history.jobs.keys()].filter(id => !finished.has(id));
    for (const id of found?.alive === true ? open : []) {
      const askedAt = time.clock();
      void found?.host.service.status(id).then(result => {
        if (result.kind !== 'known') {
          return;
        }
        const { status } = result;
        history.recordStatus(id, askedAt, status);
        if (status === 'failed' || status === 'completed') {
          finished.add(id);
        }
      });
    }
  }
}

/** Crashes workers in series. */
export async function crashInSeries(
  site: Simulation,
  machines: readonly string[],
  { share, everyMs, rounds, downtimeMs }: CrashSeries,
): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const machine of machines) {
      if (site.random() < share && site.fleet.at(machine) !== undefined) {
        site.restartWorker(machine, downtimeMs);
      }
    }
    await site.time.advance(everyMs);
  }
}

/** Cuts workers off from all hosts in series; they run on. */
export async function disconnectInSeries(
  site: Simulation,
  machines: readonly string[],
  { share, everyMs, rounds, downtimeMs }: CrashSeries,
): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const machine of machines) {
      if (site.random() < share) {
        disconnect(site, machine, downtimeMs);
      }
    }
    await site.time.advance(everyMs);
  }
}

function disconnect(site: Simulation, machine: string, span: Millis): void {
  const { brokenLinks } = site.fleet;
  for (const host of HOSTS) {
    const link = `${host}>${machine}`;
    brokenLinks.add(link);
    site.time.schedule(span, () => brokenLinks.delete(link));
  }
}

/** Makes the log and the registry unavailable to all hosts for `span`. */
export function disconnectStore(
  site: Simulation,
  mode: LogMode,
  span: Millis,
): void {
  HOSTS.forEach(name => site.log.hostModes.set(name, mode));
  site.fleet.registryUnavailable = true;
  site.time.schedule(span, () => {
    site.log.hostModes.clear();
    site.fleet.registryUnavailable = false;
  });
}
