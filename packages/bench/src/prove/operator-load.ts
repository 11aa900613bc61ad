/** What operators do during a run: jobs, cancellations and racing changes of the configuration. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@paddlewind/domain';

import type { EntryHost } from '../cluster/entry-hosts.js';
import { jobState, submitJob } from '../cluster/jobs.js';
import {
  connectOperator,
  runOperator,
  type OperatorClient,
} from '../cluster/operators.js';
import type { Recorder } from '../cluster/recorder.js';
import { until } from '../processes/until.js';

/** What the operators work with. */
export interface OperatorLoadOptions {
  readonly entries: readonly EntryHost[];
  readonly recorder: Recorder;
  readonly random: Random;
  /** Directory for declarations. */
  readonly directory: string;
}

/** Operators at work. */
export interface OperatorLoad {
  /** Ends the work and waits until the jobs have ended; resolves to those that have not. */
  settle(limitMs: number): Promise<string[]>;
}

const JOB_EVERY_MS = 1_500;
const RACE_EVERY_MS = 2_000;
const CALL_TIMEOUT_MS = 5_000;
const CANCEL_SHARE = 0.15;
const HOLD_SHARE = 0.25;
const MAX_TASKS = 16;
const MAX_SECONDS = 8;
const CLASSES = [
  { team: 'statements', labels: { app: 'statements' } },
  { team: 'payments', labels: { app: 'payment-posting' } },
  { team: 'analytics', labels: { app: 'analytics' } },
];
/** States of a job that go no further by themselves. */
const ENDED = new Set(['completed', 'cancelled', 'failed', 'held']);

/** Starts the operators. */
export function startOperatorLoad(options: OperatorLoadOptions): OperatorLoad {
  let stopped = false;
  const jobs: string[] = [];

  async function submitJobs(): Promise<void> {
    for (let i = 1; !stopped; i++) {
      const job = await submitDrawn(options, `job-${i}`);
      if (job !== undefined) {
        jobs.push(job);
      }
      await sleep(JOB_EVERY_MS);
    }
  }

  async function raceChanges(): Promise<void> {
    const clients = options.entries.map(entry => connectOperator(entry));
    for (let i = 1; !stopped; i++) {
      await race(options, clients, i);
      await sleep(RACE_EVERY_MS);
    }
  }

  const work = Promise.all([submitJobs(), raceChanges()]);
  return {
    async settle(limitMs) {
      stopped = true;
      await work;
      const waits = jobs.map(job => waitForEnd(options.entries, job, limitMs));
      const ended = await Promise.all(waits);
      return jobs.filter((_, i) => !ended[i]);
    },
  };
}

/** Submits a job; returns its name when it was accepted. */
async function submitDrawn(
  { entries, recorder, random, directory }: OperatorLoadOptions,
  name: string,
): Promise<string | undefined> {
  const file = join(directory, `${name}.json`);
  writeFileSync(file, JSON.stringify(drawJob(random, name)));
  const cancel = random() < CANCEL_SHARE;
  const { code } = await submitJob(entries, recorder, file);
  if (code !== 0) {
    return undefined;
  }
  if (cancel) {
    // Recorded first: from here on it may be canceled, whatever the answer.
    recorder.record({ type: 'job_canceled', job: name });
    await runOperator(entries, ['job', 'cancel', name]);
  }
  return name;
}

function drawJob(random: Random, name: string): object {
  const seconds = (0.3 + MAX_SECONDS * random()).toFixed(2);
  const drawnClass = CLASSES[Math.floor(random() * CLASSES.length)];
  return {
    kind: 'job',
    name,
    ...drawnClass,
    tasks: 1 + Math.floor(random() * MAX_TASKS),
    size: {
      cpu: 1 + Math.floor(random() * 4),
      memoryMiB: 1_024 * (1 + Math.floor(random() * 8)),
    },
    command: ['sleep', seconds],
    expectedSeconds: 2,
    maxAttempts: 100,
    onLostWorker: random() < HOLD_SHARE ? 'hold' : 'resume',
  };
}

async function waitForEnd(
  entries: readonly EntryHost[],
  job: string,
  limitMs: number,
): Promise<boolean> {
  const ended = await until(
    async () => {
      const state = await jobState(entries, job);
      return state !== undefined && ENDED.has(state) ? true : undefined;
    },
    limitMs,
    2_000,
  );
  return ended ?? false;
}

/** Two operators change the weights from one version, each through another entry host. */
async function race(
  { recorder }: OperatorLoadOptions,
  clients: readonly OperatorClient[],
  round: number,
): Promise<void> {
  const first = clients[round % clients.length];
  const second = clients[(round + 1) % clients.length];
  const version = await currentVersion(first);
  if (version === undefined) {
    return;
  }
  const answers = await Promise.all(
    [first, second].map((client, i) =>
      change(client, `race-${round}-${i}`, version, round),
    ),
  );
  for (const offset of answers) {
    if (offset !== undefined) {
      const what = { object: 'weights/default', base: version, offset };
      recorder.record({ type: 'config_accepted', ...what });
    }
  }
}

async function currentVersion(
  client: OperatorClient | undefined,
): Promise<number | undefined> {
  try {
    const found = await client?.get(
      { kind: 'weights' },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const [weights] = found?.objects ?? [];
    return weights === undefined ? undefined : Number(weights.version);
  } catch {
    return undefined;
  }
}

async function change(
  client: OperatorClient | undefined,
  id: string,
  version: number,
  tailLatency: number,
): Promise<number | undefined> {
  const declaration = {
    kind: 'weights',
    name: 'default',
    tailLatency,
    batchThroughput: 1,
    evictions: 1,
  };
  const changed = {
    kind: 'weights',
    name: 'default',
    baseVersion: BigInt(version),
    declarationJson: JSON.stringify(declaration),
  };
  try {
    const applied = await client?.apply(
      { id, changes: [changed] },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    return applied === undefined ? undefined : Number(applied.offset);
  } catch {
    return undefined;
  }
}
