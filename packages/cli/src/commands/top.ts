/** `top`: shows workers, shards and entry hosts as seen by one entry host. */
import type { TopResponse } from '@paddlewind/protocol';

import type { CommandContext } from '../command.js';
import { fail, succeed, table } from '../output.js';

/** Prints the state of the fleet. */
export async function top(ctx: CommandContext): Promise<number> {
  const fleet = await ctx.operators.call(client => client.top({}));
  if (fleet.isErr) {
    return fail(ctx.io, ctx.flags.json, [fleet.error]);
  }
  return succeed(ctx.io, ctx.flags.json, fleet.value, topText(fleet.value));
}

function topText(top: TopResponse): string {
  const members = top.members.map(member => [
    member.id,
    member.state,
    String(member.configOffset),
  ]);
  const shards = top.shards.map(shard => [
    shard.id,
    shard.owner,
    String(shard.epoch),
    String(shard.running),
    String(shard.queued),
  ]);
  const hosts = top.hosts.map(host => [
    host.id,
    host.availabilityZone,
    host.state,
    String(host.tasks),
    `${host.cpuUsed.toFixed(1)}/${host.cpuCapacity.toFixed(1)}`,
  ]);
  return [
    table(['ENTRY HOST', 'STATE', 'CONFIG OFFSET'], members),
    table(['SHARD', 'OWNER', 'EPOCH', 'RUNNING', 'QUEUED'], shards),
    table(['WORKER', 'ZONE', 'STATE', 'TASKS', 'CPU'], hosts),
  ].join('\n\n');
}
