/** Clients of a run: they submit jobs and ask for their states, at any host that runs. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@paddlewind/domain';
import type { JobHistory, TaskScript } from '@paddlewind/stand-ins/jobs';
import {
  askForJob,
  submitJob,
  type CallerStep,
} from '@paddlewind/stand-ins/users-platform';

import type { PlatformHost } from '../demo/platform-hosts.js';
import { until } from '../processes/until.js';

/** What clients use. */
export interface TrafficOptions {
  readonly hosts: () => readonly PlatformHost[];
  readonly history: JobHistory;
  readonly random: Random;
  /** Whether some tasks crash their workers. */
  readonly crashes: boolean;
  readonly jobEveryMs: number;
}

/** A job that was shown as failed; `at` is by the history's clock. */
export interface FailedJob {
  readonly id: string;
  readonly at: number;
  readonly host: string;
  readonly reason: string;
}

/** Clients at work. */
export interface Traffic {
  /** Jobs shown as failed, each once. */
  readonly failed: readonly FailedJob[];
  /** Submits no more; waits until the jobs have ended, but no longer than `limitMs`. */
  settle(limitMs: number): Promise<void>;
}

interface DrawnJob {
  readonly steps: readonly CallerStep[];
  readonly script: TaskScript;
}

const MAX_ATTEMPTS = 3;
const MAX_TASKS = 8;
const POLL_EVERY_MS = 1_000;
const SUBMIT_TRIES = 8;
const SUBMIT_RETRY_MS = 400;
const ACCEPTED = 200;
const LASTING_JOBS = 3;
/** A job in so many crashes its workers. */
const CRASH_JOB_EVERY = 25;
/** Share of jobs whose tasks take 2 to 9 s; those of others take 0.5 to 2 s. */
const LONG_SHARE = 0.5;
const LASTING_MS = 1_000_000;
const ENDED = new Set(['completed', 'failed', 'cancelled']);

/** Starts the clients. */
export function startTraffic(options: TrafficOptions): Traffic {
  const { random, jobEveryMs } = options;
  const failed: FailedJob[] = [];
  const open = new Set<string>();
  const lasting = new Set<string>();
  let stopped = false;

  async function follow(id: string, job: DrawnJob): Promise<void> {
    open.add(id);
    await submit(options, id, job);
    while (open.has(id)) {
      const state = await ask(options, id, failed);
      if (ENDED.has(state ?? '') || (stopped && lasting.has(id))) {
        open.delete(id);
      }
      await sleep(POLL_EVERY_MS);
    }
  }

  async function submitJobs(): Promise<void> {
    for (let number = 1; !stopped; number += 1) {
      const id = number.toString(16).padStart(16, '0');
      const job = drawJob(options, number);
      if (job.steps.some(step => step.lasting)) {
        lasting.add(id);
      }
      void follow(id, job);
      await sleep(number <= LASTING_JOBS ? 0 : 2 * random() * jobEveryMs);
    }
  }

  const work = submitJobs();
  return {
    failed,
    async settle(limitMs) {
      stopped = true;
      await work;
      await until(() => (open.size === 0 ? true : undefined), limitMs);
      open.clear();
    },
  };
}

function drawJob(
  { random, crashes }: TrafficOptions,
  number: number,
): DrawnJob {
  const tasks = 1 + Math.floor(random() * MAX_TASKS);
  if (number <= LASTING_JOBS) {
    const steps = [{ tasks: 2, after: [], lasting: true }];
    return { steps, script: { runMs: LASTING_MS, failures: 0 } };
  }
  if (crashes && number % CRASH_JOB_EVERY === 0) {
    const crash = { afterMs: Math.round(100 + 900 * random()), index: 1 };
    const script = { runMs: 1_500, failures: 0, crash };
    return { steps: [{ tasks, after: [] }], script };
  }
  const second = { tasks: 1 + Math.floor(random() * 2), after: [0] };
  const steps = [{ tasks, after: [] }, ...(random() < 0.4 ? [second] : [])];
  const script = { runMs: drawRunMs(random), failures: drawFailures(random) };
  return { steps, script };
}

function drawRunMs(random: Random): number {
  const isLong = random() < LONG_SHARE;
  return Math.round(isLong ? 2_000 + 7_000 * random() : 500 + 1_500 * random());
}

/** Most tasks never fail, some fail less often than they may, few as often. */
function drawFailures(random: Random): number {
  const draw = random();
  if (draw < 0.03) {
    return MAX_ATTEMPTS;
  }
  return draw < 0.25 ? 1 + Math.floor(random() * (MAX_ATTEMPTS - 1)) : 0;
}

async function submit(
  options: TrafficOptions,
  id: string,
  { steps, script }: DrawnJob,
): Promise<void> {
  const { history } = options;
  const job = { steps, maxAttempts: MAX_ATTEMPTS, cancelledAt: Infinity };
  history.jobs.set(id, job);
  for (let tries = 0; tries < SUBMIT_TRIES; tries += 1) {
    const status = await submitJob(
      drawHost(options).callers,
      id,
      steps,
      script,
    ).catch(() => undefined);
    if (status === ACCEPTED) {
      history.jobs.set(id, { ...job, acceptedAt: performance.now() });
      return;
    }
    await sleep(SUBMIT_RETRY_MS);
  }
}

/** Asks a host for the state of a job; undefined without an answer. */
async function ask(
  options: TrafficOptions,
  id: string,
  failed: FailedJob[],
): Promise<string | undefined> {
  const { history } = options;
  const host = drawHost(options);
  const requestedAt = performance.now();
  const told = await askForJob(host.callers, id).catch(() => undefined);
  if (told === undefined) {
    return undefined;
  }
  if (told === 'no_such_job') {
    history.recordStatus(id, requestedAt, told);
    return undefined;
  }
  const { state, reason = '' } = told;
  history.recordStatus(id, requestedAt, state as 'running');
  if (state === 'failed') {
    failed.push({ id, at: performance.now(), host: host.name, reason });
  }
  return state;
}

function drawHost({ hosts, random }: TrafficOptions): PlatformHost {
  const running = hosts();
  const host = running[Math.floor(random() * running.length)];
  if (host === undefined) {
    throw new Error('no host runs');
  }
  return host;
}
