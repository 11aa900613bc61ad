/** Jobs submitted and followed on the command line. */
import { readFileSync } from 'node:fs';

import { jobSchema, type JobSpec } from '@paddlewind/domain';

import { until } from '../processes/until.js';
import type { EntryHost } from './entry-hosts.js';
import { runOperator, type CliResult } from './operators.js';
import type { Recorder } from './recorder.js';

const STATUS_POLL_MS = 500;

/** Reads a job's declaration. */
export function readJobFile(file: string): JobSpec {
  return jobSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

/** Submits the job in `file`, and records it when it was accepted. */
export async function submitJob(
  entries: readonly EntryHost[],
  recorder: Recorder,
  file: string,
): Promise<CliResult> {
  const { name, tasks, onLostWorker } = readJobFile(file);
  const result = await runOperator(entries, ['job', 'submit', file]);
  if (result.code === 0) {
    const what = { job: name, tasks, onLostWorker };
    recorder.record({ type: 'job_submitted', ...what });
  }
  return result;
}

/** Returns the state of a job; undefined while no entry host tells. */
export async function jobState(
  entries: readonly EntryHost[],
  job: string,
): Promise<string | undefined> {
  const args = ['job', 'status', job, '--json'];
  const { code, out } = await runOperator(entries, args);
  if (code !== 0) {
    return undefined;
  }
  return (JSON.parse(out) as { readonly state: string }).state;
}

/** Waits until a job is in `state`; false when it is not in time. */
export async function reachesState(
  entries: readonly EntryHost[],
  job: string,
  state: string,
  limitMs: number,
): Promise<boolean> {
  const reached = await until(
    async () => ((await jobState(entries, job)) === state ? true : undefined),
    limitMs,
    STATUS_POLL_MS,
  );
  return reached ?? false;
}
