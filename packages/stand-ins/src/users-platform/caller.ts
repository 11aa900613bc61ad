/** A caller of the one queue of the small deployment. */
import { request, type Dispatcher } from 'undici';

import type { TaskScript } from '../jobs/memory-worker.js';

const HEADERS = { host: 'bank.example' };

/** A step of a job: tasks of one core, after the steps given. */
export interface CallerStep {
  readonly tasks: number;
  readonly after: readonly number[];
}

/** Submits a job through the host at `url`; resolves with the status of the answer. */
export async function submitJob(
  url: string,
  id: string,
  steps: readonly CallerStep[],
  script: TaskScript,
): Promise<number> {
  const body = JSON.stringify({
    spec: JSON.stringify(script),
    phases: steps.map(({ tasks, after }) => ({
      count: tasks,
      cpu: 1_000,
      memMb: 100,
      estimateMs: script.runMs,
      dependsOn: after,
    })),
  });
  const res = await ask(url, id, 'POST', body);
  await res.body.dump();
  return res.statusCode;
}

/** Returns the state that the host at `url` shows, undefined where it answers otherwise. */
export async function stateOfJob(
  url: string,
  id: string,
): Promise<string | undefined> {
  const res = await ask(url, id, 'GET');
  const text = await res.body.text();
  return res.statusCode === 200
    ? (JSON.parse(text) as { state: string }).state
    : undefined;
}

/** Cancels a job; resolves with the status of the answer. */
export async function cancelJob(url: string, id: string): Promise<number> {
  const res = await ask(url, id, 'DELETE');
  await res.body.dump();
  return res.statusCode;
}

/** Tells whether the host with this address for checks is ready. */
export async function isReadyAt(url: string): Promise<boolean> {
  const res = await request(`${url}/v1/readiness`);
  await res.body.dump();
  return res.statusCode === 200;
}

function ask(
  url: string,
  id: string,
  method: 'GET' | 'POST' | 'DELETE',
  body?: string,
): Promise<Dispatcher.ResponseData> {
  return request(`${url}/checks/${id}`, {
    method,
    headers: HEADERS,
    body: body ?? null,
  });
}
