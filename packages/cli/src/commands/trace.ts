/** `trace ID [FILE…]`: the history of a job from the logs of several hosts, with its cause. */
import { readFileSync } from 'node:fs';
import { text } from 'node:stream/consumers';

import { appError } from '@paddlewind/domain';

import type { CommandContext } from '../command.js';
import { fail, succeed } from '../output.js';
import { readHistory, type TraceLine } from '../trace/history.js';

/** Prints what the logs tell of a job; reads standard input where no file is named. */
export async function trace(ctx: CommandContext): Promise<number> {
  const { io, flags } = ctx;
  const [id, ...files] = ctx.args;
  if (id === undefined) {
    const usage = appError('invalid', 'usage: paddlewind trace ID [FILE…]');
    return fail(io, flags.json, [usage]);
  }
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'));
    } catch {
      return fail(io, flags.json, [
        appError('invalid', `${file}: can't be read`),
      ]);
    }
  }
  if (files.length === 0) {
    texts.push(await text(process.stdin));
  }
  const history = readHistory(id, texts);
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
