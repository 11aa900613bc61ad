/** Client of the only queue of the test deployment. */
import { request, type Dispatcher } from 'undici';

import type { TaskScript } from '../jobs/memory-worker.js';

const HEADERS = { host: 'bank.example' };

/** A step of a job with tasks of one core; `after` lists the steps it depends on. */
export interface CallerStep {
  readonly tasks: number;
  readonly after: readonly number[];
  /** Whether its tasks run until the job is cancelled. */
  readonly lasting?: boolean;
}

/** State of a job as a host tells it, with the reason of a failure. */
export interface ToldState {
  readonly state: string;
  readonly reason?: string;
}

/** Time after which a client no longer waits for a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 3_000;
/** Status of a request for a job that the host does not know. */
const GONE = 410;

/** Submits a job through the host at `url`; returns the response status. */
export async function submitJob(
  url: string,
  id: string,
  steps: readonly CallerStep[],
  script: TaskScript,
): Promise<number> {
  const body = JSON.stringify({
    spec: JSON.stringify(script),
    phases: steps.map(({ tasks, after, lasting }) => ({
      count: tasks,
      cpu: 1_000,
      memMb: 100,
      estimateMs: script.runMs,
      dependsOn: after,
      longRunning: lasting ?? false,
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
  const told = await askForJob(url, id);
  return told === 'no_such_job' ? undefined : told?.state;
}

/** Asks the host at `url` for a job; undefined if it tells neither a state nor that there is no such job. */
export async function askForJob(
  url: string,
  id: string,
): Promise<ToldState | 'no_such_job' | undefined> {
  const res = await sendRequest(url, id, 'GET');
  const text = await res.body.text();
  switch (res.statusCode) {
    case 200:
      return JSON.parse(text) as ToldState;
    case GONE:
      return 'no_such_job';
    default:
      return undefined;
  }
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
    headersTimeout: RESPONSE_TIMEOUT_MS,
  });
}
