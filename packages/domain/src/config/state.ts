/** The configuration in force, which is the folded state of the configuration stream. */
import type { ConfigObject, ObjectKind } from '../declarations/schemas.js';

/** An object and its version, which is the offset after the entry that wrote it and never 0. */
export interface VersionedObject {
  readonly object: ConfigObject;
  readonly version: number;
}

/** Key of an object: `kind/name`. */
export type ObjectKey = `${ObjectKind}/${string}`;

/** The configuration after all entries before `offset`. */
export interface ConfigState {
  readonly offset: number;
  readonly objects: ReadonlyMap<ObjectKey, VersionedObject>;
}

/** Returns the key of the object of `kind` and `name`. */
export function objectKey(kind: ObjectKind, name: string): ObjectKey {
  return `${kind}/${name}`;
}

/** Returns the objects of one kind, sorted by name. */
export function objectsOf<K extends ObjectKind>(
  state: ConfigState,
  kind: K,
): Extract<ConfigObject, { kind: K }>[] {
  const found: Extract<ConfigObject, { kind: K }>[] = [];
  for (const { object } of state.objects.values()) {
    if (object.kind === kind) {
      found.push(object as Extract<ConfigObject, { kind: K }>);
    }
  }
  return found.sort((a, b) => (a.name < b.name ? -1 : 1));
}
