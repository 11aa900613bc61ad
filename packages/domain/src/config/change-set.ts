/** Change sets, which operators write to the configuration stream. */
import { z } from 'zod';

import type { ConfigObject, ObjectKind } from '../declarations/schemas.js';
import type { StreamRecord } from '../streams/record.js';

/** Kind of the records that contain a change set. */
export const CONFIG_CHANGE_KIND = 'config.change';

/**
 * Version of the rules for validating change sets. It is incremented with every change to a schema
 * or rule, so that hosts of different versions never reach different verdicts on the same record.
 */
export const CONFIG_RULES_VERSION = 1;

/** Maximum number of changes in a set. */
export const MAX_CHANGES = 500;
/** Maximum size of a declaration as JSON. */
export const MAX_DECLARATION_CHARS = 16 * 1024;
/** Maximum size of a change set as JSON, since a record must fit into a batch of the log. */
export const MAX_CHANGE_SET_CHARS = 192 * 1024;
/** Maximum number of objects in the configuration. */
export const MAX_OBJECTS = 10_000;
/** Maximum size of the whole configuration as JSON. */
export const MAX_CONFIG_CHARS = 4 * 1024 * 1024;

/** All kinds of configuration objects. */
export const OBJECT_KINDS = [
  'service',
  'team',
  'policy',
  'shard',
  'weights',
  'worker',
] as const satisfies readonly ObjectKind[];

/** A change proposed by an operator, not yet validated. */
export interface ProposedChange {
  readonly kind: string;
  readonly name: string;
  /** Version of the object on which the change is based; 0 to create the object. */
  readonly baseVersion: number;
  /** The new declaration, or null to delete the object. */
  readonly declaration: unknown;
}

/** A validated change. */
export interface ConfigChange extends ProposedChange {
  readonly kind: ObjectKind;
  readonly declaration: ConfigObject | null;
}

/** Changes that are accepted or rejected together; a retry has the same id. */
export interface ChangeSet {
  readonly id: string;
  readonly changes: readonly ProposedChange[];
}

/** Schema of the body of a change set's record; declarations are validated separately, one by one. */
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

/** Returns the record that writes a change set to the stream. */
export function changeSetRecord(set: ChangeSet): StreamRecord {
  return {
    id: set.id,
    kind: CONFIG_CHANGE_KIND,
    body: { rules: CONFIG_RULES_VERSION, changes: set.changes },
  };
}
