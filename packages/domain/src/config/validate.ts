/** Validates declarations, both individually and as a whole configuration. */
import { parseObject } from '../declarations/parse.js';
import type { ConfigObject } from '../declarations/schemas.js';
import { jsonChars, crossProblems } from './rules.js';
import { MAX_DECLARATION_CHARS } from './change-set.js';
import type { Problem } from '../core/problem.js';
import { objectKey } from './state.js';

/** The objects that are valid by themselves, and all problems. */
export interface Validation {
  readonly objects: readonly ConfigObject[];
  readonly problems: readonly Problem[];
}

/** Validates one declaration; `path` is its path in the input. */
export function validateObject(input: unknown, path: string): Validation {
  const parsed = parseObject(input, path);
  if (parsed.isErr) {
    return { objects: [], problems: parsed.error };
  }
  const chars = jsonChars(parsed.value);
  if (chars > MAX_DECLARATION_CHARS) {
    const message = `${chars} characters, at most ${MAX_DECLARATION_CHARS} are kept`;
    return { objects: [], problems: [{ path, message }] };
  }
  return { objects: [parsed.value], problems: [] };
}

/**
 * Validates declarations as a whole configuration: each against its schema, with problems at `paths[i]`
 * or `[i]`, and, if all are valid, the rules between them.
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
      ...duplicateProblems(objects),
      // An invalid object would be missing, so that references to it would be reported as well.
      ...(problems.length === 0 ? crossProblems(objects) : []),
    ],
  };
}

function duplicateProblems(objects: readonly ConfigObject[]): Problem[] {
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
