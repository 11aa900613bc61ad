/** Reads the texts that a command is given. */
import { readFileSync } from 'node:fs';
import { text } from 'node:stream/consumers';

import { appError, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';

/** Reads the named files, or standard input where none is named. */
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
