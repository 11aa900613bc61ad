/** Parses and validates declarations; problems are reported with their paths. */
import { Result } from 'true-myth';
import type { z } from 'zod';

import { joinPath, type Problem } from '../core/problem.js';
import {
  jobSchema,
  objectSchema,
  type ConfigObject,
  type JobSpec,
} from './schemas.js';

/** Parses a configuration object; fails with all problems found. */
export function parseObject(
  value: unknown,
  path = '',
): Result<ConfigObject, Problem[]> {
  return parseWith(objectSchema, value, path);
}

/** Parses a job declaration; fails with all problems found. */
export function parseJob(
  value: unknown,
  path = '',
): Result<JobSpec, Problem[]> {
  return parseWith(jobSchema, value, path);
}

/** Validates `value` against `schema`; each problem has its path, what was expected and what was found. */
export function parseWith<T>(
  schema: z.ZodType<T>,
  value: unknown,
  path = '',
): Result<T, Problem[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  return Result.err(
    parsed.error.issues.map(issue => problemOf(issue, value, path)),
  );
}

const MAX_SHOWN_VALUE_CHARS = 60;

function problemOf(
  issue: z.core.$ZodIssue,
  root: unknown,
  base: string,
): Problem {
  const path = joinPath(base, issue.path);
  const found = showValue(valueAt(root, issue.path));
  return { path, message: `${issue.message}; found ${found}` };
}

function valueAt(root: unknown, steps: readonly PropertyKey[]): unknown {
  let value = root;
  for (const step of steps) {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

function showValue(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_VALUE_CHARS
    ? `${text.slice(0, MAX_SHOWN_VALUE_CHARS)}…`
    : text;
}
