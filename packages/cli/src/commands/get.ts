/** `get [KIND [NAME]]` and `describe KIND NAME`: read the configuration in force. */
import { appError } from '@paddlewind/domain';
import type { ConfigObject } from '@paddlewind/protocol';

import type { CommandContext } from '../command.js';
import { fail, succeed, table } from '../output.js';

/** Lists objects of the configuration in force. */
export async function get(ctx: CommandContext): Promise<number> {
  const [kind = '', name = ''] = ctx.args;
  const found = await ctx.operators.call(client => client.get({ kind, name }));
  if (found.isErr) {
    return fail(ctx.io, ctx.flags.json, [found.error]);
  }
  const { objects, offset } = found.value;
  const rows = objects.map(object => [
    object.kind,
    object.name,
    String(object.version),
  ]);
  const value = { offset, objects: objects.map(toValue) };
  return succeed(
    ctx.io,
    ctx.flags.json,
    value,
    table(['KIND', 'NAME', 'VERSION'], rows),
  );
}

/** Prints one object with its version. */
export async function describe(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  const [kind, name] = ctx.args;
  if (kind === undefined || name === undefined) {
    return fail(io, flags.json, [
      appError('invalid', 'usage: paddlewind describe KIND NAME'),
    ]);
  }
  const found = await ctx.operators.call(client => client.get({ kind, name }));
  if (found.isErr) {
    return fail(io, flags.json, [found.error]);
  }
  const [object] = found.value.objects;
  if (object === undefined) {
    return fail(io, flags.json, [
      appError('not_found', `${kind}/${name} does not exist`),
    ]);
  }
  const value = toValue(object);
  const text = `${kind}/${name} at version ${object.version}\n${JSON.stringify(value.declaration, null, 2)}`;
  return succeed(io, flags.json, value, text);
}

function toValue(object: ConfigObject) {
  const { kind, name, version } = object;
  const declaration = JSON.parse(object.declarationJson) as unknown;
  return { kind, name, version, declaration };
}
