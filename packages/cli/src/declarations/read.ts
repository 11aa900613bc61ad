/** Reads declarations from JSON files of a tree. */
import { readFile, readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';

import {
  appError,
  parseJob,
  parseObject,
  type AppError,
  type ConfigObject,
  type JobSpec,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

/** An object and the file that declares it. */
export interface DeclaredObject {
  readonly file: string;
  readonly object: ConfigObject;
}

/** What a tree declares; jobs are submitted, not applied. */
export interface DeclaredTree {
  readonly objects: readonly DeclaredObject[];
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
  const objects: DeclaredObject[] = [];
  const jobs: JobSpec[] = [];
  const faults: AppError[] = [];
  for (const file of files.value) {
    for (const { value, place } of await readValues(file, faults)) {
      if (isJob(value)) {
        collect(parseJob(value, place), faults, job => jobs.push(job));
      } else {
        collect(parseObject(value, place), faults, object =>
          objects.push({ file, object }),
        );
      }
    }
  }
  faults.push(...duplicates(objects));
  return faults.length > 0 ? Result.err(faults) : Result.ok({ objects, jobs });
}

/** Reads one file that declares one job. */
export async function readJob(
  file: string,
): Promise<Result<JobSpec, AppError[]>> {
  const faults: AppError[] = [];
  const values = await readValues(file, faults);
  const [first, ...rest] = values;
  if (first === undefined || rest.length > 0) {
    if (faults.length === 0) {
      faults.push(appError('invalid', `${file}: expected one job`));
    }
    return Result.err(faults);
  }
  return parseJob(first.value, first.place);
}

function isJob(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    'kind' in value &&
    value.kind === 'job'
  );
}

function collect<T>(
  parsed: Result<T, AppError[]>,
  faults: AppError[],
  keep: (value: T) => void,
): void {
  if (parsed.isErr) {
    faults.push(...parsed.error);
  } else {
    keep(parsed.value);
  }
}

function duplicates(objects: readonly DeclaredObject[]): AppError[] {
  const seen = new Map<string, string>();
  const faults: AppError[] = [];
  for (const { file, object } of objects) {
    const key = `${object.kind}/${object.name}`;
    const earlier = seen.get(key);
    if (earlier !== undefined) {
      faults.push(
        appError(
          'invalid',
          `${file}: ${key} is already declared in ${earlier}`,
        ),
      );
    }
    seen.set(key, file);
  }
  return faults;
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

interface PlacedValue {
  readonly value: unknown;
  readonly place: string;
}

async function readValues(
  file: string,
  faults: AppError[],
): Promise<PlacedValue[]> {
  try {
    const value = JSON.parse(await readFile(file, 'utf8')) as unknown;
    return Array.isArray(value)
      ? value.map((item: unknown, i) => ({
          value: item,
          place: `${file}[${i}]`,
        }))
      : [{ value, place: `${file}:` }];
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    faults.push(appError('invalid', `${file}: ${reason}`, { path: file }));
    return [];
  }
}
