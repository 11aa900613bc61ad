/** Checked reading of declarations, with the place of each fault. */
import { Result } from 'true-myth';
import type { z } from 'zod';

import { appError, type AppError } from '../errors/app-error.js';
import {
  jobSchema,
  objectSchema,
  type ConfigObject,
  type JobSpec,
} from './schemas.js';

/** Reads one configuration object; fails with `invalid`, one error for each fault. */
export function parseObject(
  value: unknown,
  path = '',
): Result<ConfigObject, AppError[]> {
  return parseWith(objectSchema, value, path);
}

/** Reads a job's declaration; fails with `invalid`, one error for each fault. */
export function parseJob(
  value: unknown,
  path = '',
): Result<JobSpec, AppError[]> {
  return parseWith(jobSchema, value, path);
}

/** Checks `value` by `schema`; each error tells path, value and what is expected. */
export function parseWith<T>(
  schema: z.ZodType<T>,
  value: unknown,
  path: string,
): Result<T, AppError[]> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  return Result.err(
    parsed.error.issues.map(issue => faultOf(issue, value, path)),
  );
}

const MAX_SHOWN_VALUE = 60;

function faultOf(
  issue: z.core.$ZodIssue,
  root: unknown,
  path: string,
): AppError {
  const place = joinPath(path, issue.path);
  const found = showValue(valueAt(root, issue.path));
  return appError('invalid', `${place}: ${issue.message}; found ${found}`, {
    path: place,
  });
}

function joinPath(base: string, steps: readonly PropertyKey[]): string {
  let place = base;
  for (const step of steps) {
    if (typeof step === 'number') {
      place += `[${step}]`;
    } else {
      place += place === '' ? String(step) : `.${String(step)}`;
    }
  }
  return place === '' ? '(root)' : place;
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
  return text.length > MAX_SHOWN_VALUE
    ? `${text.slice(0, MAX_SHOWN_VALUE)}…`
    : text;
}
