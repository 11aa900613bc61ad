/** `job submit FILE | status ID | cancel ID | release ID`. */
import { appError } from '@paddlewind/domain';
import type { JobStatusResponse } from '@paddlewind/protocol';

import type { CommandContext } from '../command.js';
import { readJob } from '../declarations/read.js';
import { fail, succeed, table } from '../output.js';

const USAGE =
  'usage: paddlewind job submit FILE | job status ID | job cancel ID | job release ID';

/** Submits, shows, cancels or releases a job; the job's name is its id, which makes a retry safe. */
export async function job(ctx: CommandContext): Promise<number> {
  const [action, operand] = ctx.args;
  if (operand === undefined) {
    return fail(ctx.io, ctx.flags.json, [appError('invalid', USAGE)]);
  }
  switch (action ?? '') {
    case 'submit':
      return submit(ctx, operand);
    case 'status':
      return status(ctx, operand);
    case 'cancel':
      return cancel(ctx, operand);
    case 'release':
      return release(ctx, operand);
    default:
      return fail(ctx.io, ctx.flags.json, [appError('invalid', USAGE)]);
  }
}

async function submit(ctx: CommandContext, file: string): Promise<number> {
  const { io, flags } = ctx;
  const spec = await readJob(file);
  if (spec.isErr) {
    return fail(io, flags.json, spec.error);
  }
  const id = flags.id ?? spec.value.name;
  const declarationJson = JSON.stringify({ ...spec.value, name: id });
  const submitted = await ctx.operators.call(client =>
    client.submitJob({ id, declarationJson }, { timeoutMs: flags.timeoutMs }),
  );
  if (submitted.isErr) {
    return fail(io, flags.json, [submitted.error]);
  }
  const { shard } = submitted.value;
  return succeed(
    io,
    flags.json,
    { id, shard },
    `job ${id} is accepted by shard ${shard}`,
  );
}

async function status(ctx: CommandContext, id: string): Promise<number> {
  const found = await ctx.operators.call(client => client.jobStatus({ id }));
  if (found.isErr) {
    return fail(ctx.io, ctx.flags.json, [found.error]);
  }
  return succeed(ctx.io, ctx.flags.json, found.value, statusText(found.value));
}

function statusText(status: JobStatusResponse): string {
  const reason = status.reason === '' ? '' : `: ${status.reason}`;
  const rows = status.tasks.map(task => [
    task.id,
    task.state,
    String(task.attempt),
    task.worker,
    `${Math.round(task.progress * 100)} %`,
    task.reason,
  ]);
  const header = ['TASK', 'STATE', 'ATTEMPT', 'WORKER', 'PROGRESS', 'REASON'];
  return `job ${status.id} is ${status.state}${reason}\n${table(header, rows)}`;
}

async function cancel(ctx: CommandContext, id: string): Promise<number> {
  const canceled = await ctx.operators.call(client => client.cancelJob({ id }));
  if (canceled.isErr) {
    return fail(ctx.io, ctx.flags.json, [canceled.error]);
  }
  return succeed(ctx.io, ctx.flags.json, { id }, `job ${id} is canceled`);
}

async function release(ctx: CommandContext, id: string): Promise<number> {
  const request = ctx.flags.id ?? ctx.newId();
  const released = await ctx.operators.call(client =>
    client.releaseJob({ id, request }),
  );
  if (released.isErr) {
    return fail(ctx.io, ctx.flags.json, [released.error]);
  }
  const text = `the holds of job ${id} are lifted`;
  return succeed(ctx.io, ctx.flags.json, { id }, text);
}
