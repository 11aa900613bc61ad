/** Checks of declarations, one by one and together. */
import { parseObject } from '../declarations/parse.js';
import type { ConfigObject } from '../declarations/schemas.js';
import { charsOf, crossProblems } from './rules.js';
import { MAX_DECLARATION_CHARS } from './change-set.js';
import type { Problem } from '../core/problem.js';
import { objectKey } from './state.js';

/** The objects that are valid by themselves, and everything that is wrong. */
export interface Validation {
  readonly objects: readonly ConfigObject[];
  readonly problems: readonly Problem[];
}

/** Checks one declaration; `path` is its place in the input. */
export function validateObject(input: unknown, path: string): Validation {
  const parsed = parseObject(input, path);
  if (parsed.isErr) {
    return { objects: [], problems: parsed.error };
  }
  const chars = charsOf(parsed.value);
  if (chars > MAX_DECLARATION_CHARS) {
    const message = `${chars} characters, at most ${MAX_DECLARATION_CHARS} are kept`;
    return { objects: [], problems: [{ path, message }] };
  }
  return { objects: [parsed.value], problems: [] };
}

/**
 * Checks declarations as a whole configuration: each by the schema, at `paths[i]` or `[i]`,
 * and then the rules between those that are valid.
 */
export function validateObjects(
  inputs: readonly unknown[],
  paths: readonly string[] = [],
): Validation {
  const checked = inputs.map((input, index) =>
    validateObject(input, paths[index] ?? `[${index}]`),
  );
  const objects = checked.flatMap(each => each.objects);
  const problems = checked.flatMap(each => each.problems);
  return {
    objects,
    problems: [
      ...problems,
      ...repeated(objects),
      // A broken object would be missed by those that refer to it.
      ...(problems.length === 0 ? crossProblems(objects) : []),
    ],
  };
}

function repeated(objects: readonly ConfigObject[]): Problem[] {
  const seen = new Set<string>();
  const problems: Problem[] = [];
  for (const object of objects) {
    const key = objectKey(object.kind, object.name);
    if (seen.has(key)) {
      problems.push({ path: key, message: 'is declared twice' });
    }
    seen.add(key);
  }
  return problems;
}
