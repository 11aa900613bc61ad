/** Compares declarations with the configuration in force. */
import type { ConfigObject } from '../declarations/schemas.js';
import type { ConfigChange } from './change-set.js';
import { joinPath } from '../core/problem.js';
import { objectKey, type ConfigState, type ObjectKey } from './state.js';

/** A field that differs; a missing value is undefined. */
export interface FieldDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** An object that differs from its declaration, and the change that would apply the declaration. */
export interface ObjectDifference {
  readonly action: 'create' | 'update' | 'delete';
  readonly key: ObjectKey;
  readonly change: ConfigChange;
  readonly fields: readonly FieldDifference[];
}

/** What happens to objects that are in force but not declared. */
export type UndeclaredHandling = 'keep' | 'delete';

/** Returns the differences between `state` and the declared objects `wanted`, sorted by key. */
export function diffObjects(
  state: ConfigState,
  wanted: readonly ConfigObject[],
  undeclared: UndeclaredHandling = 'keep',
): ObjectDifference[] {
  const differences = wanted.flatMap(object => diffObject(state, object));
  if (undeclared === 'delete') {
    differences.push(...deletions(state, wanted));
  }
  return differences.sort((a, b) => (a.key < b.key ? -1 : 1));
}

function diffObject(
  state: ConfigState,
  object: ConfigObject,
): ObjectDifference[] {
  const { kind, name } = object;
  const key = objectKey(kind, name);
  const present = state.objects.get(key);
  const baseVersion = present?.version ?? 0;
  const fields = diffFields(present?.object, object, '');
  if (present !== undefined && fields.length === 0) {
    return [];
  }
  const action = present === undefined ? 'create' : 'update';
  const change = { kind, name, baseVersion, declaration: object };
  return [{ action, key, change, fields }];
}

function deletions(
  state: ConfigState,
  wanted: readonly ConfigObject[],
): ObjectDifference[] {
  const declaredKeys = new Set<string>(
    wanted.map(object => objectKey(object.kind, object.name)),
  );
  const differences: ObjectDifference[] = [];
  for (const [key, { object, version }] of state.objects) {
    if (!declaredKeys.has(key)) {
      const { kind, name } = object;
      const change = { kind, name, baseVersion: version, declaration: null };
      const fields = diffFields(object, undefined, '');
      differences.push({ action: 'delete', key, change, fields });
    }
  }
  return differences;
}

function diffFields(
  before: unknown,
  after: unknown,
  path: string,
): FieldDifference[] {
  if (!isPlainObject(before) || !isPlainObject(after)) {
    const isSame = JSON.stringify(before) === JSON.stringify(after);
    return isSame ? [] : [{ path, before, after }];
  }
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names]
    .sort()
    .flatMap(name =>
      diffFields(before[name], after[name], joinPath(path, [name])),
    );
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
