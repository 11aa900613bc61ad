/** Reads declarations from JSON files of a tree. */
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

/** What a tree declares; jobs are submitted, not applied. */
export interface DeclaredTree {
  readonly objects: readonly ConfigObject[];
  readonly jobs: readonly JobSpec[];
}

/** Reads every `.json` file at or under `path`; fails with `invalid` or `not_found`, all faults at once. */
export async function readTree(
  path: string,
): Promise<Result<DeclaredTree, AppError[]>> {
  const files = await listFiles(path);
  if (files.isErr) {
    return Result.err([files.error]);
  }
  const values: PlacedValue[] = [];
  const faults: AppError[] = [];
  for (const file of files.value) {
    const read = await readValues(file);
    if (read.isErr) {
      faults.push(read.error);
    } else {
      values.push(...read.value);
    }
  }
  return checkTree(values, faults);
}

/** Reads one file that declares one job. */
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

/** A declaration as read, and its place. */
interface PlacedValue {
  readonly value: unknown;
  readonly place: string;
}

function checkTree(
  values: readonly PlacedValue[],
  faults: AppError[],
): Result<DeclaredTree, AppError[]> {
  const jobs: JobSpec[] = [];
  for (const value of values.filter(isJob)) {
    const job = checkJob(value);
    if (job.isErr) {
      faults.push(...job.error);
    } else {
      jobs.push(job.value);
    }
  }
  const declared = values.filter(value => !isJob(value));
  const { objects, problems } = validateObjects(
    declared.map(({ value }) => value),
    declared.map(({ place }) => place),
  );
  faults.push(...problems.map(problemError));
  return faults.length > 0 ? Result.err(faults) : Result.ok({ objects, jobs });
}

function checkJob({ value, place }: PlacedValue): Result<JobSpec, AppError[]> {
  return parseJob(value, place).mapErr(problems => problems.map(problemError));
}

function isJob({ value }: PlacedValue): boolean {
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
): Promise<Result<PlacedValue[], AppError>> {
  try {
    const value = JSON.parse(await readFile(file, 'utf8')) as unknown;
    const placed = Array.isArray(value)
      ? value.map((item: unknown, i) => ({
          value: item,
          place: `${file}[${i}]`,
        }))
      : [{ value, place: `${file}:` }];
    return Result.ok(placed);
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(
      appError('invalid', `${file}: ${reason}`, { path: file }),
    );
  }
}
