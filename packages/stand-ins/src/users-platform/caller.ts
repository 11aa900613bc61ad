/** Client of the only queue of the test deployment. */
import { request, type Dispatcher } from 'undici';

import type { TaskScript } from '../jobs/memory-worker.js';

const HEADERS = { host: 'bank.example' };

/** A step of a job with tasks of one core; `after` lists the steps it depends on. */
export interface CallerStep {
  readonly tasks: number;
  readonly after: readonly number[];
}

/** Submits a job through the host at `url`; returns the response status. */
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
  const res = await sendRequest(url, id, 'POST', body);
  await res.body.dump();
  return res.statusCode;
}

/** Returns the state of a job from the host at `url`; undefined if the response status is not 200. */
export async function stateOfJob(
  url: string,
  id: string,
): Promise<string | undefined> {
  const res = await sendRequest(url, id, 'GET');
  const text = await res.body.text();
  return res.statusCode === 200
    ? (JSON.parse(text) as { state: string }).state
    : undefined;
}

/** Cancels a job; returns the response status. */
export async function cancelJob(url: string, id: string): Promise<number> {
  const res = await sendRequest(url, id, 'DELETE');
  await res.body.dump();
  return res.statusCode;
}

/** Returns whether the host with the readiness listener at `url` is ready. */
export async function isReadyAt(url: string): Promise<boolean> {
  const res = await request(`${url}/v1/readiness`);
  await res.body.dump();
  return res.statusCode === 200;
}

function sendRequest(
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
