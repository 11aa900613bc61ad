/** A simulated deployment with a long-running job next to a job that crashes its workers. */
import type { Millis } from '@paddlewind/domain';
import { FaultTimes, type TaskScript } from '@paddlewind/stand-ins/jobs';

import { Simulation, type TestStep } from './simulation.fixture.test.js';

/** The long-running job and its number of tasks. */
export const NEIGHBOUR_JOB = '00000000000000f1';
export const NEIGHBOUR_TASKS = 8;
/** The first job that crashes its workers. */
export const CRASHING_JOB = '00000000000000f2';

/** Seeds of each scenario. */
export const SEEDS = [1, 2, 3];
/** How long the deployment is observed after such a job was submitted. */
export const OBSERVATION_MS = 60_000;
/** Maximum number of workers that a task may crash: callers accept three, plus two more starts. */
export const MAX_CRASHES = 5;
/** Time from a crash until the worker is back. */
export const WORKER_RESTART_MS = 2_500;
export const LONG_WORKER_RESTART_MS = 6_000;
/** A job of many short tasks. */
export const SHORT_TASKS_JOB = '00000000000000f3';

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'];
/** Machines of the workers. */
export const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
const ENDLESS = { runMs: 10_000_000, failures: 0 };
/** Time until a host leads and the long-running job runs. */
const SETTLE_MS = 4_000;
/** Interval at which callers query the state of each job. */
const QUERY_INTERVAL_MS = 250;

/** Starts six hosts, six workers of four cores and the long-running job. */
export async function deploymentWithNeighbours(
  seed: number,
  workerRestartMs?: Millis,
  keepsIds = false,
): Promise<Simulation> {
  const site = new Simulation(
    seed,
    workerRestartMs === undefined
      ? { keepsIds }
      : { workerRestartMs, keepsIds },
  );
  site.history.faults = new FaultTimes();
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks: NEIGHBOUR_TASKS, after: [], lasting: true };
  void site.submit(NEIGHBOUR_JOB, [step], ENDLESS);
  await site.time.advance(SETTLE_MS);
  void queryStates(site);
  return site;
}

/** Queries the state of each job on the hosts in turn, as callers do. */
async function queryStates(site: Simulation): Promise<void> {
  for (let turn = 0; ; turn += 1) {
    await site.wait(QUERY_INTERVAL_MS);
    const name = HOSTS[turn % HOSTS.length] ?? '';
    const found = site.hosts.get(name);
    if (found?.alive !== true) {
      continue;
    }
    const askedAt = site.time.clock();
    for (const id of site.history.jobs.keys()) {
      void found.host.service.status(id).then(result => {
        if (result.kind !== 'unavailable') {
          const state = result.kind === 'known' ? result.status : result.kind;
          site.history.recordStatus(id, askedAt, state);
        }
      });
    }
  }
}

/** A job whose tasks crash their workers. */
export interface CrashingJob {
  readonly steps: TestStep[];
  readonly script: TaskScript;
}

/** Returns a job with one task that crashes its worker `afterMs` after it started. */
export function crashingJob(
  afterMs: Millis,
  step: Partial<TestStep> = {},
): CrashingJob {
  return {
    steps: [{ tasks: 1, after: [], ...step }],
    script: { runMs: 6_000, failures: 0, crash: { afterMs } },
  };
}

/** Kills the leader every `everyMs` and restarts it soon after. */
export async function killLeaders(
  site: Simulation,
  everyMs: Millis,
): Promise<void> {
  for (;;) {
    await site.wait(everyMs);
    const name = site.leader();
    const from = site.time.clock();
    const until = from + RESTART_MS;
    site.history.faults?.add({ from, until, of: { host: name } });
    site.kill(name);
    await site.wait(RESTART_MS);
    site.startHost(name);
  }
}

const RESTART_MS = 500;

/** Freezes the leader for `span` every `everyMs`. */
export async function freezeLeaders(
  site: Simulation,
  everyMs: Millis,
  span: Millis,
): Promise<void> {
  for (;;) {
    await site.wait(everyMs);
    const name = site.leader();
    const from = site.time.clock();
    site.history.faults?.add({ from, until: from + span, of: { host: name } });
    site.freeze(name, span);
  }
}
