/** The demo on the stand-in of the users' platform: jobs of steps outlive the loss of the leader. */
import { JobHistory } from '@paddlewind/stand-ins/jobs';
import {
  cancelJob,
  isReadyAt,
  publish,
  startWorker,
  stateOfJob,
  StoreServer,
  submitJob,
} from '@paddlewind/stand-ins/users-platform';

import { until } from '../processes/until.js';
import { startPlatformHost, type PlatformHost } from './platform-hosts.js';
import type { DemoOptions } from './run.js';

const HOSTS = ['host-1', 'host-2', 'host-3'];
const WORKERS = ['worker-1', 'worker-2', 'worker-3'];
const READY_LIMIT_MS = 10_000;
const JOB_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 8_000;
const MAX_ATTEMPTS = 3;

/** Six checks, then two that need all of them. */
const STEPS = [
  { tasks: 6, after: [] },
  { tasks: 2, after: [0] },
];
const SHORT_JOB = { id: '00000000000000d1', runMs: 300 };
const LONG_JOB = { id: '00000000000000d2', runMs: 1_500 };
const CANCELLED_JOB = { id: '00000000000000d3', runMs: 60_000 };

interface Scene extends DemoOptions {
  readonly hosts: readonly PlatformHost[];
  readonly history: JobHistory;
}

/** Runs the demo; resolves to what went wrong. */
export async function runDemoOnPlatform(
  options: DemoOptions,
): Promise<string[]> {
  const { group, directory, say } = options;
  const history = new JobHistory(() => performance.now());
  const store = new StoreServer();
  await store.start();
  const workers = await Promise.all(
    WORKERS.map(id => startWorker(id, history)),
  );
  publish(store, workers);
  try {
    const hosts = await Promise.all(
      HOSTS.map(name => startPlatformHost(group, directory, name, store)),
    );
    await untilReady(hosts);
    say(`${hosts.length} hosts and ${workers.length} workers are ready`);
    const failures = await play({ ...options, hosts, history });
    return [...failures, ...verdict(history)];
  } finally {
    await Promise.all(workers.map(worker => worker.stop()));
    await store.stop();
  }
}

async function untilReady(hosts: readonly PlatformHost[]): Promise<void> {
  for (const { name, readiness } of hosts) {
    const ready = await until(
      async () => (await isReadyAt(readiness)) || undefined,
      READY_LIMIT_MS,
    );
    if (ready === undefined) {
      throw new Error(`${name} did not become ready`);
    }
  }
}

async function play(scene: Scene): Promise<string[]> {
  const { hosts, say } = scene;
  const leader = await leaderOf(hosts);
  const [left, other] = hosts.filter(host => host !== leader);
  if (left === undefined || other === undefined) {
    throw new Error('the demo needs three hosts');
  }
  const failures = [await finish(scene, left, other, SHORT_JOB)];
  await submit(scene, left, CANCELLED_JOB);
  const status = await cancelJob(other.callers, CANCELLED_JOB.id);
  say(`cancelling through ${other.name} was answered with ${status}`);
  await submit(scene, left, LONG_JOB);
  leader.child.signal('SIGKILL');
  say(`${leader.name}, which led, was killed`);
  failures.push(await finish(scene, left, other, LONG_JOB));
  failures.push(await expectState(other, CANCELLED_JOB.id, 'cancelled'));
  failures.push(await stop(scene, left));
  return failures.filter(failure => failure !== undefined);
}

async function leaderOf(hosts: readonly PlatformHost[]): Promise<PlatformHost> {
  const found = await until(async () => {
    for (const host of hosts) {
      if (await host.hasLed()) {
        return host;
      }
    }
    return undefined;
  }, READY_LIMIT_MS);
  if (found === undefined) {
    throw new Error('no host came to lead');
  }
  return found;
}

interface DemoJob {
  readonly id: string;
  readonly runMs: number;
}

async function submit(
  { history, say }: Scene,
  through: PlatformHost,
  { id, runMs }: DemoJob,
): Promise<void> {
  history.jobs.set(id, {
    steps: STEPS,
    maxAttempts: MAX_ATTEMPTS,
    cancelledAt: Infinity,
  });
  const script = { runMs, failures: 0 };
  const status = await submitJob(through.callers, id, STEPS, script);
  say(`job ${id} through ${through.name} was answered with ${status}`);
}

/** Submits a job unless that was done, and waits for its end at another host. */
async function finish(
  scene: Scene,
  through: PlatformHost,
  asked: PlatformHost,
  job: DemoJob,
): Promise<string | undefined> {
  if (!scene.history.jobs.has(job.id)) {
    await submit(scene, through, job);
  }
  const failure = await expectState(asked, job.id, 'completed');
  scene.say(failure ?? `job ${job.id} is completed, as ${asked.name} tells`);
  return failure;
}

async function expectState(
  { callers }: PlatformHost,
  id: string,
  state: string,
): Promise<string | undefined> {
  const found = await until(
    async () => (await stateOfJob(callers, id)) === state || undefined,
    JOB_LIMIT_MS,
  );
  return found === undefined ? `job ${id} is not shown as ${state}` : undefined;
}

async function stop(
  { say }: Scene,
  { name, child }: PlatformHost,
): Promise<string | undefined> {
  child.signal('SIGTERM');
  const ended = await until(() => !child.running() || undefined, STOP_LIMIT_MS);
  say(`${name} was asked to stop`);
  return ended === undefined ? `${name} did not stop` : undefined;
}

/** What workers saw of all runs decides whether every promise was kept. */
function verdict(history: JobHistory): string[] {
  const broken = history
    .check()
    .map(
      ({ guarantee: promise, task, detail }) =>
        `${promise}: ${task}: ${detail}`,
    );
  const undone = [SHORT_JOB, LONG_JOB]
    .filter(({ id }) => !history.isDone(id))
    .map(({ id }) => `not every task of job ${id} has a run that is done`);
  return [...broken, ...undone];
}
