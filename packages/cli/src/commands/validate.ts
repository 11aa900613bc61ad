/** `validate PATH`: checks declarations without a call to any host. */
import { appError } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { readTree } from '../declarations/read.js';
import { fail, succeed } from '../output.js';

/** Checks every declaration under the path, each alone and all together. */
export async function validate(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  const [path] = ctx.args;
  if (path === undefined) {
    const usage = appError('invalid', 'usage: paddlewind validate PATH');
    return fail(io, flags.json, [usage]);
  }
  const tree = await readTree(path);
  if (tree.isErr) {
    return fail(io, flags.json, tree.error);
  }
  const { objects, jobs } = tree.value;
  const counts = { objects: objects.length, jobs: jobs.length };
  const text = `${path}: ${counts.objects} objects and ${counts.jobs} jobs are valid`;
  return succeed(io, flags.json, counts, text);
}
