/** What one change set can break, so that a change costs by its own size and not by the whole. */
import type { Problem } from '../core/problem.js';
import type { ConfigObject, ObjectKind } from '../declarations/schemas.js';
import type { ConfigChange } from './change-set.js';
import { charsOf, ruleProblems, sizeProblems } from './rules.js';
import type { ConfigState, ObjectKey, VersionedObject } from './state.js';

type Objects = ReadonlyMap<ObjectKey, VersionedObject>;
type ChangeOutline = Pick<ConfigChange, 'kind' | 'name'> & {
  readonly declaration: unknown;
};

/** Characters of configurations, which are never changed; counted anew where they are not known. */
const knownChars = new WeakMap<Objects, number>();

/** Returns what is wrong between the objects after `changes`, when nothing was before them. */
export function problemsAfter(
  before: ConfigState,
  after: Objects,
  changes: readonly ChangeOutline[],
): Problem[] {
  const chars = charsAfter(before.objects, after, changes);
  knownChars.set(after, chars);
  const kinds = kindsAtRisk(changes);
  return [
    ...sizeProblems(after.size, chars),
    ...(kinds.size > 0 ? ruleProblems(specsOf(after), kinds) : []),
  ];
}

/** Kinds whose rules may be broken: putting a team breaks none, deleting breaks only a team's. */
function kindsAtRisk(changes: readonly ChangeOutline[]): Set<ObjectKind> {
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
  let chars = knownChars.get(before) ?? countChars(before);
  for (const { kind, name } of changes) {
    const key: ObjectKey = `${kind}/${name}`;
    chars += charsAt(after, key) - charsAt(before, key);
  }
  return chars;
}

function countChars(objects: Objects): number {
  return specsOf(objects).reduce((sum, object) => sum + charsOf(object), 0);
}

function charsAt(objects: Objects, key: ObjectKey): number {
  const held = objects.get(key);
  return held === undefined ? 0 : charsOf(held.object);
}

function specsOf(objects: Objects): ConfigObject[] {
  return [...objects.values()].map(({ object }) => object);
}
