/** `apply PATH [--wait] [--prune]`: publishes declarations as one change set. */
import { appError, type ObjectDifference } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { fail, succeed } from '../output.js';
import { describeChanges, planChanges, summarize } from './changes.js';

/** Publishes the differences atomically; with `--wait`, returns once they are in force on every live entry host. */
export async function apply(ctx: CommandContext): Promise<number> {
  const { io, flags, operators } = ctx;
  const changes = await planChanges(ctx, 'apply');
  if (changes.isErr) {
    return fail(io, flags.json, changes.error);
  }
  if (changes.value.length === 0) {
    return succeed(io, flags.json, { changes: [] }, 'nothing to change');
  }
  const id = flags.id ?? ctx.newId();
  const applied = await operators.call(client =>
    client.apply(
      { id, changes: changes.value.map(toMessage) },
      { timeoutMs: flags.timeoutMs },
    ),
  );
  if (applied.isErr) {
    return fail(io, flags.json, [applied.error]);
  }
  const { offset } = applied.value;
  if (flags.wait) {
    const waited = await waitInForce(ctx, offset);
    if (waited !== undefined) {
      return fail(io, flags.json, [waited]);
    }
  }
  const value = {
    offset,
    inForce: flags.wait,
    changes: summarize(changes.value),
  };
  const state = flags.wait ? 'in force on every entry host' : 'accepted';
  const text = `${describeChanges(changes.value)}\n${state} at offset ${offset}`;
  return succeed(io, flags.json, value, text);
}

function toMessage({ change }: ObjectDifference) {
  const { kind, name, baseVersion, declaration } = change;
  return {
    kind,
    name,
    baseVersion: BigInt(baseVersion),
    declarationJson: declaration === null ? '' : JSON.stringify(declaration),
  };
}

async function waitInForce(ctx: CommandContext, offset: bigint) {
  const { timeoutMs } = ctx.flags;
  const waited = await ctx.operators.call(client =>
    client.waitInForce({ offset, timeoutMs }, { timeoutMs: timeoutMs + 1_000 }),
  );
  if (waited.isErr) {
    return waited.error;
  }
  if (waited.value.inForce) {
    return undefined;
  }
  const names = waited.value.waitingFor.join(', ');
  return appError(
    'timeout',
    `accepted at offset ${offset}, but not yet in force on: ${names}`,
    {
      outcome: 'run',
    },
  );
}
