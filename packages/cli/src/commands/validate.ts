/** `validate PATH`: checks declarations without calling any host. */
import { appError } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { readTree } from '../declarations/read.js';
import { fail, succeed } from '../output.js';

/** Checks each declaration under the path, and the consistency of all of them. */
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
