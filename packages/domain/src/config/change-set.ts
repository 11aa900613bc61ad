/** Change sets: what operators write to the configuration stream. */
import { z } from 'zod';

import type { ConfigObject, ObjectKind } from '../declarations/schemas.js';
import type { StreamRecord } from '../streams/record.js';

/** Kind of the record that carries a change set. */
export const CONFIG_CHANGE_KIND = 'config.change';

/**
 * Version of the rules by which change sets are judged. It grows with every change of a
 * schema or rule, so that hosts of two versions never judge one record differently.
 */
export const CONFIG_RULES = 1;

/** Changes of one set. */
export const MAX_CHANGES = 500;
/** Characters of one declaration in JSON. */
export const MAX_DECLARATION_CHARS = 16 * 1024;
/** Characters of one change set in JSON; a record must fit into a batch of the log. */
export const MAX_CHANGE_SET_CHARS = 192 * 1024;
/** Objects of the whole configuration. */
export const MAX_OBJECTS = 10_000;
/** Characters of the whole configuration in JSON. */
export const MAX_CONFIG_CHARS = 4 * 1024 * 1024;

/** Kinds of objects. */
export const OBJECT_KINDS = [
  'service',
  'team',
  'policy',
  'shard',
  'weights',
  'worker',
] as const satisfies readonly ObjectKind[];

/** A change as an operator proposes it, not yet checked. */
export interface ProposedChange {
  readonly kind: string;
  readonly name: string;
  /** Version of the object that the change is based on; 0 to create. */
  readonly baseVersion: number;
  /** A new declaration, or null to delete the object. */
  readonly declaration: unknown;
}

/** A checked change. */
export interface ConfigChange extends ProposedChange {
  readonly kind: ObjectKind;
  readonly declaration: ConfigObject | null;
}

/** Changes that are accepted or refused together; a retry carries the same id. */
export interface ChangeSet {
  readonly id: string;
  readonly changes: readonly ProposedChange[];
}

/** Schema of a change set's record body; declarations are checked one by one. */
export const changeSetBodySchema = z.object({
  rules: z.int().positive(),
  changes: z
    .array(
      z.object({
        kind: z.enum(OBJECT_KINDS),
        name: z.string().min(1).max(63),
        baseVersion: z.int().nonnegative(),
        declaration: z.unknown(),
      }),
    )
    .min(1)
    .max(MAX_CHANGES),
});

/** Returns the record of a change set. */
export function changeSetRecord(set: ChangeSet): StreamRecord {
  return {
    id: set.id,
    kind: CONFIG_CHANGE_KIND,
    body: { rules: CONFIG_RULES, changes: set.changes },
  };
}
