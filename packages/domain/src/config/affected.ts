/**
 * Checks only the rules that a change set can break, so that the cost of a change depends on its own size
 * rather than on the size of the configuration.
 */
import type { Problem } from '../core/problem.js';
import type { ConfigObject, ObjectKind } from '../declarations/schemas.js';
import type { ConfigChange } from './change-set.js';
import { jsonChars, ruleProblems, sizeProblems } from './rules.js';
import type { ConfigState, ObjectKey, VersionedObject } from './state.js';

type Objects = ReadonlyMap<ObjectKey, VersionedObject>;
type ChangeOutline = Pick<ConfigChange, 'kind' | 'name'> & {
  readonly declaration: unknown;
};

/** Size of each configuration in characters; an entry stays valid, since configurations are immutable. */
const charCounts = new WeakMap<Objects, number>();

/** Returns the problems between the objects after `changes`; assumes that there were none before them. */
export function problemsAfter(
  before: ConfigState,
  after: Objects,
  changes: readonly ChangeOutline[],
): Problem[] {
  const chars = charsAfter(before.objects, after, changes);
  charCounts.set(after, chars);
  const kinds = kindsToCheck(changes);
  return [
    ...sizeProblems(after.size, chars),
    ...(kinds.size > 0 ? ruleProblems(specsOf(after), kinds) : []),
  ];
}

/**
 * Returns the kinds whose rules the changes can break. Creating or updating a team breaks no rule;
 * a deletion can break a rule only if it is that of a team.
 */
function kindsToCheck(changes: readonly ChangeOutline[]): Set<ObjectKind> {
  const risky = changes.filter(({ kind, declaration }) =>
    kind === 'team' ? declaration === null : declaration !== null,
  );
  const kinds = risky.map(change => change.kind);
  return new Set(kinds.filter(kind => kind !== 'weights' && kind !== 'worker'));
}

function charsAfter(
  before: Objects,
  after: Objects,
  changes: readonly ChangeOutline[],
): number {
  let total = charCounts.get(before) ?? countChars(before);
  for (const { kind, name } of changes) {
    const key: ObjectKey = `${kind}/${name}`;
    total += jsonCharsAt(after, key) - jsonCharsAt(before, key);
  }
  return total;
}

function countChars(objects: Objects): number {
  return specsOf(objects).reduce((sum, object) => sum + jsonChars(object), 0);
}

function jsonCharsAt(objects: Objects, key: ObjectKey): number {
  const held = objects.get(key);
  return held === undefined ? 0 : jsonChars(held.object);
}

function specsOf(objects: Objects): ConfigObject[] {
  return [...objects.values()].map(({ object }) => object);
}
