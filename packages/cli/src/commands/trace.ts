/** `trace ID [FILE…]`: shows a job's history and causes of delay, from the logs of several hosts. */
import { appError } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { fail, succeed } from '../output.js';
import { readTexts } from '../read-texts.js';
import { readHistory, type TraceLine } from '../trace/history.js';

/** Prints the log lines of a job and its causes of delay; reads standard input when no file is given. */
export async function trace(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  const [id, ...files] = ctx.args;
  if (id === undefined) {
    const usage = appError('invalid', 'usage: paddlewind trace ID [FILE…]');
    return fail(io, flags.json, [usage]);
  }
  const texts = await readTexts(files);
  if (texts.isErr) {
    return fail(io, flags.json, [texts.error]);
  }
  const history = readHistory(id, texts.value);
  if (history.lines.length === 0) {
    return fail(io, flags.json, [
      appError('not_found', `no line tells of ${id}`),
    ]);
  }
  const lines = history.lines.map(lineText);
  const causes = history.causes.map(cause => `cause: ${cause}`);
  return succeed(io, flags.json, history, [...lines, ...causes].join('\n'));
}

function lineText({ time, host, msg, fields }: TraceLine): string {
  const details = Object.entries(fields).map(
    ([name, value]) =>
      `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
  );
  return [time, host, msg, ...details].join(' ');
}
