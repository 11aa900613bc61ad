/** `diff PATH`: shows what `apply` would change. */
import type { CommandContext } from '../command.js';
import { EXIT_DIFFERENT, EXIT_OK, fail, succeed } from '../output.js';
import { describeChanges, planChanges, summarize } from './changes.js';

/** Prints the differences; exits with 20 if there are any. */
export async function diff(ctx: CommandContext): Promise<number> {
  const changes = await planChanges(ctx, 'diff');
  if (changes.isErr) {
    return fail(ctx.io, ctx.flags.json, changes.error);
  }
  const value = { changes: summarize(changes.value) };
  succeed(ctx.io, ctx.flags.json, value, describeChanges(changes.value));
  return changes.value.length === 0 ? EXIT_OK : EXIT_DIFFERENT;
}
