/** Problems found in declarations and their paths. */
import { appError, type AppError } from '../errors/app-error.js';

/** Problem at a path of the input. */
export interface Problem {
  /** Path in the input, such as `changes[0].declaration.slots` or `service/web.team`. */
  readonly path: string;
  /** Short, human-readable description. */
  readonly message: string;
}

const SHOWN_PROBLEMS = 5;

/** Creates the `invalid` error of one problem. */
export function problemError({ path, message }: Problem): AppError {
  return appError('invalid', `${path}: ${message}`, { path });
}

/** Creates one `invalid` error for `problems`, with the path of the first. */
export function problemsError(problems: readonly Problem[]): AppError {
  const shown = problems
    .slice(0, SHOWN_PROBLEMS)
    .map(({ path, message }) => `${path}: ${message}`);
  const hidden = problems.length - shown.length;
  const more = hidden > 0 ? ` (and ${hidden} more)` : '';
  return appError('invalid', `${shown.join('; ')}${more}`, {
    path: problems[0]?.path ?? '',
  });
}

/** Appends segments to a path; numbers are put in brackets. */
export function joinPath(
  base: string,
  segments: readonly PropertyKey[],
): string {
  return segments.reduce<string>((path, segment) => {
    if (typeof segment === 'number') {
      return `${path}[${segment}]`;
    }
    return path === '' ? String(segment) : `${path}.${String(segment)}`;
  }, base);
}
