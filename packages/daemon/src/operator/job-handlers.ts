/** Operators' calls on jobs. */
import type { HandlerContext } from '@connectrpc/connect';
import {
  appError,
  parseJob,
  parseJson,
  problemsError,
  type AppError,
  type JobSpec,
} from '@paddlewind/domain';
import type {
  CancelJobRequest,
  JobStatusRequest,
  ReleaseJobRequest,
  SubmitJobRequest,
} from '@paddlewind/protocol';
import { Result } from 'true-myth';

import { toConnectError, unwrap } from './connect-error.js';
import { callDeadline } from './deadline.js';
import type { OperatorDeps } from './deps.js';

/** Accepts a job; answers once its record is in the log. */
export async function submitHandler(
  deps: OperatorDeps,
  req: SubmitJobRequest,
  ctx: HandlerContext,
) {
  const spec = unwrap(readJob(req));
  const deadline = callDeadline(ctx, deps.clock());
  const shard = unwrap(await deps.jobs.submit(req.id, spec, deadline));
  return { shard };
}

function readJob(req: SubmitJobRequest): Result<JobSpec, AppError> {
  const value = parseJson(req.declarationJson);
  const spec = parseJob(value);
  if (spec.isErr) {
    return Result.err(problemsError(spec.error));
  }
  if (spec.value.name !== req.id) {
    return Result.err(
      appError('invalid', `name: expected the id ${req.id}`, { path: 'name' }),
    );
  }
  return Result.ok(spec.value);
}

/** Cancels a job and its tasks. */
export async function cancelHandler(
  deps: OperatorDeps,
  req: CancelJobRequest,
  ctx: HandlerContext,
) {
  const deadline = callDeadline(ctx, deps.clock());
  unwrap(await deps.jobs.cancel(req.id, deadline));
  return {};
}

/** Lifts every hold of a job. */
export async function releaseHandler(
  deps: OperatorDeps,
  req: ReleaseJobRequest,
  ctx: HandlerContext,
) {
  if (req.request === '') {
    throw toConnectError(appError('invalid', 'A release needs a request id.'));
  }
  const deadline = callDeadline(ctx, deps.clock());
  unwrap(await deps.jobs.release(req.id, req.request, deadline));
  return {};
}

/** Answers with the state of a job and its tasks. */
export async function statusHandler(
  deps: OperatorDeps,
  req: JobStatusRequest,
  ctx: HandlerContext,
) {
  const deadline = callDeadline(ctx, deps.clock());
  return unwrap(await deps.jobs.status(req.id, deadline));
}
