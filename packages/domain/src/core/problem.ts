/** Problems of declarations, with their place. */
import { appError, type AppError } from '../errors/app-error.js';

/** What is wrong, and where. */
export interface Problem {
  /** Place in the input, such as `changes[0].declaration.slots` or `service/web.team`. */
  readonly path: string;
  /** A short sentence for a person. */
  readonly message: string;
}

const SHOWN_PROBLEMS = 5;

/** Returns the `invalid` error for one problem. */
export function problemError({ path, message }: Problem): AppError {
  return appError('invalid', `${path}: ${message}`, { path });
}

/** Returns one `invalid` error for `problems`, at the place of the first. */
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

/** Joins the segments of a path, numbers in brackets. */
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
