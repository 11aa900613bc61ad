/** `report burn`: reports how fast services spend their error budgets. */
import { writeFile } from 'node:fs/promises';

import { appError } from '@paddlewind/domain';

import { type BurnReport, buildReport } from '../burn/model.js';
import { burnText } from '../burn/text.js';
import type { CommandContext } from '../command.js';
import { EXIT_OK, fail, succeed } from '../output.js';

/** Prints the burn report, or writes it as an HTML page with `--html`. */
export async function report(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  if (ctx.args[0] !== 'burn') {
    return fail(io, flags.json, [
      appError('invalid', 'usage: paddlewind report burn [--html FILE]'),
    ]);
  }
  const burn = await ctx.operators.call(client => client.burn({}));
  if (burn.isErr) {
    return fail(io, flags.json, [burn.error]);
  }
  const burnReport = buildReport(burn.value);
  if (flags.html !== undefined) {
    return writePage(ctx, flags.html, burnReport);
  }
  return succeed(io, flags.json, burn.value, burnText(burnReport));
}

async function writePage(
  ctx: CommandContext,
  file: string,
  burnReport: BurnReport,
): Promise<number> {
  const { io, flags } = ctx;
  try {
    // Loaded on demand: the chart library is slow to load and only needed here.
    const { burnPage } = await import('../burn/page.js');
    await writeFile(file, burnPage(burnReport, new Date().toISOString()));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return fail(io, flags.json, [
      appError('invalid', `the page cannot be written: ${reason}`),
    ]);
  }
  io.out(`Wrote ${file}.`);
  return EXIT_OK;
}
