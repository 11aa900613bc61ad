/** Reads declarations from a directory tree of JSON files. */
import { readFile, readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';

import {
  appError,
  parseJob,
  problemError,
  validateObjects,
  type AppError,
  type ConfigObject,
  type JobSpec,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

/** Declarations of a tree; jobs are kept apart since they are submitted rather than applied. */
export interface DeclaredTree {
  readonly objects: readonly ConfigObject[];
  readonly jobs: readonly JobSpec[];
}

/** Reads every `.json` file at or under `path`; returns all `invalid` and `not_found` errors together. */
export async function readTree(
  path: string,
): Promise<Result<DeclaredTree, AppError[]>> {
  const files = await listFiles(path);
  if (files.isErr) {
    return Result.err([files.error]);
  }
  const values: LocatedValue[] = [];
  const errors: AppError[] = [];
  for (const file of files.value) {
    const read = await readValues(file);
    if (read.isErr) {
      errors.push(read.error);
    } else {
      values.push(...read.value);
    }
  }
  return checkTree(values, errors);
}

/** Reads a file that declares exactly one job. */
export async function readJob(
  file: string,
): Promise<Result<JobSpec, AppError[]>> {
  const values = await readValues(file);
  if (values.isErr) {
    return Result.err([values.error]);
  }
  const [first, ...rest] = values.value;
  if (first === undefined || rest.length > 0) {
    return Result.err([appError('invalid', `${file}: expected one job`)]);
  }
  return checkJob(first);
}

/** An unchecked declaration and its location. */
interface LocatedValue {
  readonly value: unknown;
  readonly location: string;
}

function checkTree(
  values: readonly LocatedValue[],
  errors: AppError[],
): Result<DeclaredTree, AppError[]> {
  const jobs: JobSpec[] = [];
  for (const value of values.filter(isJob)) {
    const job = checkJob(value);
    if (job.isErr) {
      errors.push(...job.error);
    } else {
      jobs.push(job.value);
    }
  }
  const declared = values.filter(value => !isJob(value));
  const { objects, problems } = validateObjects(
    declared.map(({ value }) => value),
    declared.map(({ location }) => location),
  );
  errors.push(...problems.map(problemError));
  return errors.length > 0 ? Result.err(errors) : Result.ok({ objects, jobs });
}

function checkJob({
  value,
  location,
}: LocatedValue): Result<JobSpec, AppError[]> {
  return parseJob(value, location).mapErr(problems =>
    problems.map(problemError),
  );
}

function isJob({ value }: LocatedValue): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    'kind' in value &&
    value.kind === 'job'
  );
}

async function listFiles(path: string): Promise<Result<string[], AppError>> {
  try {
    const info = await stat(path);
    if (!info.isDirectory()) {
      return Result.ok([path]);
    }
    const names = await readdir(path, { recursive: true });
    const files = names.filter(name => name.endsWith('.json')).sort();
    return Result.ok(files.map(name => join(path, name)));
  } catch {
    return Result.err(
      appError('not_found', `${path}: cannot be read; check the path`),
    );
  }
}

async function readValues(
  file: string,
): Promise<Result<LocatedValue[], AppError>> {
  try {
    const value = JSON.parse(await readFile(file, 'utf8')) as unknown;
    const located = Array.isArray(value)
      ? value.map((item: unknown, i) => ({
          value: item,
          location: `${file}[${i}]`,
        }))
      : [{ value, location: `${file}:` }];
    return Result.ok(located);
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      appError('invalid', `${file}: ${reason}`, { path: file }),
    );
  }
}
