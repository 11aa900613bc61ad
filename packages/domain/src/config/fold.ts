/** Folds the configuration stream; all hosts reach the same verdict on each record. */
import { z } from 'zod';

import { appError, type AppError } from '../errors/app-error.js';
import type { StreamRecord } from '../streams/record.js';
import {
  CONFIG_CHANGE_KIND,
  CONFIG_RULES_VERSION,
  MAX_CHANGE_SET_CHARS,
  changeSetBodySchema,
} from './change-set.js';
import { joinPath, problemsError, type Problem } from '../core/problem.js';
import { problemsAfter } from './affected.js';
import {
  objectKey,
  type ConfigState,
  type ObjectKey,
  type VersionedObject,
} from './state.js';
import { validateObject } from './validate.js';

/** The verdict on a record. */
export type ConfigVerdict =
  /** In force on all hosts whose configuration has reached `offset`. */
  | { readonly kind: 'accepted'; readonly offset: number }
  | { readonly kind: 'conflict'; readonly error: AppError }
  | { readonly kind: 'invalid'; readonly error: AppError }
  /** Needs newer rules than this build has; the fold must stop here. */
  | { readonly kind: 'unsupported'; readonly error: AppError }
  /** Not a change set; a chunk of a snapshot, for example. */
  | { readonly kind: 'ignored' };

/** The verdict on a record and the state after it. */
export interface ConfigOutcome {
  readonly verdict: ConfigVerdict;
  readonly state: ConfigState;
}

type Body = z.output<typeof changeSetBodySchema>;

/** The configuration before the first entry. */
export const EMPTY_CONFIG: ConfigState = { offset: 0, objects: new Map() };

/**
 * Applies a record of the entry before offset `next`; the state changes only if the record is accepted.
 * Objects that it writes get version `next`, which is never 0, since version 0 means that there is no object.
 */
export function applyConfigRecord(
  state: ConfigState,
  record: StreamRecord,
  next: number,
): ConfigOutcome {
  if (record.kind !== CONFIG_CHANGE_KIND) {
    return { verdict: { kind: 'ignored' }, state };
  }
  const newer = newerRulesError(record);
  if (newer !== undefined) {
    return { verdict: { kind: 'unsupported', error: newer }, state };
  }
  const body = changeSetBodySchema.safeParse(record.body);
  if (!body.success) {
    return invalidOutcome(state, problemsIn(body.error));
  }
  return applyChanges(state, body.data, record, next);
}

function newerRulesError(record: StreamRecord): AppError | undefined {
  const head = z.object({ rules: z.int().positive() }).safeParse(record.body);
  if (!head.success || head.data.rules <= CONFIG_RULES_VERSION) {
    return undefined;
  }
  return appError(
    'unsupported_record',
    `Change set ${record.id} needs rules ${head.data.rules}, this host has ${CONFIG_RULES_VERSION}.`,
  );
}

function problemsIn(error: z.ZodError): Problem[] {
  return error.issues.map(issue => ({
    path: joinPath('', issue.path),
    message: issue.message,
  }));
}

function applyChanges(
  state: ConfigState,
  body: Body,
  record: StreamRecord,
  next: number,
): ConfigOutcome {
  if (JSON.stringify(record).length > MAX_CHANGE_SET_CHARS) {
    const message = `is larger than ${MAX_CHANGE_SET_CHARS} characters`;
    return invalidOutcome(state, [{ path: 'changes', message }]);
  }
  const conflict = findConflict(state, body);
  if (conflict !== undefined) {
    return { verdict: { kind: 'conflict', error: conflict }, state };
  }
  const objects = new Map(state.objects);
  const problems = body.changes.flatMap((change, index) =>
    applyChange(objects, change, `changes[${index}]`, next),
  );
  if (problems.length > 0) {
    return invalidOutcome(state, problems);
  }
  const ruleViolations = problemsAfter(state, objects, body.changes);
  if (ruleViolations.length > 0) {
    return invalidOutcome(state, ruleViolations);
  }
  return {
    verdict: { kind: 'accepted', offset: next },
    state: { offset: state.offset, objects },
  };
}

function findConflict(state: ConfigState, body: Body): AppError | undefined {
  const seen = new Set<ObjectKey>();
  for (const [index, change] of body.changes.entries()) {
    const key = objectKey(change.kind, change.name);
    const current = state.objects.get(key)?.version ?? 0;
    const path = `changes[${index}]`;
    if (seen.has(key)) {
      return appError('conflict', `${key} is changed twice in one set.`, {
        path,
      });
    }
    if (current !== change.baseVersion) {
      return appError(
        'conflict',
        staleBaseMessage(key, change.baseVersion, current),
        {
          path,
        },
      );
    }
    seen.add(key);
  }
  return undefined;
}

function staleBaseMessage(key: string, base: number, current: number): string {
  const present =
    current === 0 ? 'does not exist now' : `is at version ${current} now`;
  const basis = base === 0 ? 'would create it' : `was based on version ${base}`;
  return `${key} ${present}, the change ${basis}: read it again, compare and apply anew.`;
}

function applyChange(
  objects: Map<ObjectKey, VersionedObject>,
  change: Body['changes'][number],
  path: string,
  version: number,
): Problem[] {
  const key = objectKey(change.kind, change.name);
  if (change.declaration === null) {
    return objects.delete(key)
      ? []
      : [{ path, message: `${key} does not exist` }];
  }
  const declarationPath = `${path}.declaration`;
  const { objects: valid, problems } = validateObject(
    change.declaration,
    declarationPath,
  );
  const object = valid[0];
  if (object === undefined) {
    return [...problems];
  }
  if (object.kind !== change.kind || object.name !== change.name) {
    const found = objectKey(object.kind, object.name);
    return [
      { path: declarationPath, message: `declares ${found}, not ${key}` },
    ];
  }
  objects.set(key, { object, version });
  return [];
}

function invalidOutcome(
  state: ConfigState,
  problems: readonly Problem[],
): ConfigOutcome {
  return {
    verdict: { kind: 'invalid', error: problemsError(problems) },
    state,
  };
}
