/** Reads the input files of a command. */
import { readFileSync } from 'node:fs';
import { text } from 'node:stream/consumers';

import { appError, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';

/** Reads the given files, or standard input if there are none. */
export async function readTexts(
  files: readonly string[],
): Promise<Result<string[], AppError>> {
  if (files.length === 0) {
    return Result.ok([await text(process.stdin)]);
  }
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'));
    } catch {
      return Result.err(appError('invalid', `${file}: can't be read`));
    }
  }
  return Result.ok(texts);
}
