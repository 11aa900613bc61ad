/** `report burn`: how fast services spend their error budgets. */
import { appError } from '@paddlewind/domain';
import type { BurnResponse } from '@paddlewind/protocol';

import type { CommandContext } from '../command.js';
import { fail, succeed, table } from '../output.js';

/** Prints the report on service-level burn. */
export async function report(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  if (ctx.args[0] !== 'burn') {
    return fail(io, flags.json, [
      appError('invalid', 'usage: paddlewind report burn'),
    ]);
  }
  const burn = await ctx.operators.call(client => client.burn({}));
  if (burn.isErr) {
    return fail(io, flags.json, [burn.error]);
  }
  return succeed(io, flags.json, burn.value, burnText(burn.value));
}

function burnText(burn: BurnResponse): string {
  const rows = burn.windows.map(window => [
    window.service,
    window.availabilityZone,
    window.objective,
    `${window.windowSeconds} s`,
    String(window.requests),
    String(window.bad),
    window.burnRate.toFixed(2),
    window.batchNeighbours.join(','),
  ]);
  const header = [
    'SERVICE',
    'ZONE',
    'OBJECTIVE',
    'WINDOW',
    'REQUESTS',
    'BAD',
    'BURN',
    'BATCH',
  ];
  return `${table(header, rows)}\nevictions ${burn.evictions}, batch tasks completed ${burn.batchCompleted}`;
}
