/** Reads and validates the settings file. */
import { readFileSync } from 'node:fs';

import {
  appError,
  parseWith,
  problemError,
  type AppError,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import { settingsSchema, type Settings } from './schema.js';

/** Reads and validates the settings; fails with one `invalid` error per problem. */
export function readSettings(file: string): Result<Settings, AppError[]> {
  const text = readText(file);
  if (text.isErr) {
    return Result.err([text.error]);
  }
  return parseSettings(text.value, file);
}

/** Validates settings given as JSON text; `file` is named in syntax errors. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, AppError[]> {
  try {
    const value = JSON.parse(text) as unknown;
    return parseWith(settingsSchema, value).mapErr(problems =>
      problems.map(problemError),
    );
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err([appError('invalid', `${file}: ${reason}`)]);
  }
}

function readText(file: string): Result<string, AppError> {
  try {
    return Result.ok(readFileSync(file, 'utf8'));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      appError('invalid', `settings cannot be read: ${reason}`),
    );
  }
}
