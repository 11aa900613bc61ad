/** `drain WORKER [--undo]`: takes a worker out of service gracefully, or returns it to service. */
import { appError } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { fail, succeed } from '../output.js';

/** Publishes the worker's administrative state. */
export async function drain(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  const [worker] = ctx.args;
  if (worker === undefined) {
    return fail(io, flags.json, [
      appError('invalid', 'usage: paddlewind drain WORKER [--undo]'),
    ]);
  }
  const { undo } = flags;
  const drained = await ctx.operators.call(client =>
    client.drain({ worker, undo }),
  );
  if (drained.isErr) {
    return fail(io, flags.json, [drained.error]);
  }
  const { offset } = drained.value;
  const text = undo
    ? `worker ${worker} is back in service`
    : `worker ${worker} is draining`;
  return succeed(io, flags.json, { worker, drained: !undo, offset }, text);
}
