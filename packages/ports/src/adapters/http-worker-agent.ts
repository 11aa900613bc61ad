/** HTTP adapter of worker agents; defines their paths, fields and status codes. */
import { appError, resourcesSchema, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';
import { z } from 'zod';

import type {
  AttemptReport,
  WorkerAgent,
  WorkerReport,
} from '../worker-agent.js';
import {
  createHttpClient,
  type AdapterOptions,
  type CallResult,
} from './http-client.js';

/** Worker agents, with connections that have to be closed. */
export interface HttpWorkerAgent extends WorkerAgent {
  close(): Promise<void>;
}

const attemptSchema = z.object({
  task: z.string().min(1),
  attempt: z.int().nonnegative(),
  job: z.string(),
  state: z.enum(['running', 'stopping', 'completed', 'failed', 'stopped']),
  usage: resourcesSchema,
  progress: z.number().min(0).max(1),
  checkpoint: z.string().exactOptional(),
  message: z.string().exactOptional(),
}) satisfies z.ZodType<AttemptReport>;

const reportSchema = z.object({
  worker: z.string().min(1),
  boot: z.string().min(1),
  attempts: z.array(attemptSchema),
  lagMs: z.number().nonnegative(),
}) satisfies z.ZodType<WorkerReport>;

/** Creates the adapter for all worker agents; each call names the agent by its address. */
export function createHttpWorkerAgent(
  options: AdapterOptions = {},
): HttpWorkerAgent {
  const client = createHttpClient({ connections: 4, ...options });
  const post = (address: string, path: string, body: unknown) =>
    client.call({ method: 'POST', address, path, body });
  return {
    async command(address, command) {
      const body = await post(address, '/commands', command);
      return acceptedBody(body).map(() => undefined);
    },
    async sync(address, req) {
      const body = await post(address, '/sync', req);
      return acceptedBody(body).andThen(checkedReport);
    },
    close: () => client.close(),
  };
}

/** Returns the response body if the agent accepted the call. */
function acceptedBody(res: CallResult): Result<unknown, AppError> {
  if (res.kind === 'failed') {
    return failed(res.reason, res.outcome);
  }
  switch (res.status) {
    case 200:
      return Result.ok(res.body);
    case 400:
      return Result.err(
        appError('invalid', 'The worker agent refused the call as malformed.'),
      );
    case 409:
      return Result.err(
        appError('conflict', 'The worker agent has seen a newer fence.'),
      );
    default:
      return failed(`status ${res.status}`, 'unknown');
  }
}

function checkedReport(body: unknown): Result<WorkerReport, AppError> {
  const parsed = reportSchema.safeParse(body);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const path = parsed.error.issues[0]?.path.join('.') ?? '';
  return failed(`malformed report at ${path}`, 'unknown');
}

function failed(
  reason: string,
  outcome: 'not_run' | 'unknown',
): Result<never, AppError> {
  const message = `The worker agent did not answer: ${reason}.`;
  return Result.err(appError('backend_failed', message, { outcome }));
}
