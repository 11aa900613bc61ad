/** The folded configuration and the recent verdicts by record id, from which a host can continue the fold. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { parseJson } from '../core/json.js';
import { objectSchema } from '../declarations/schemas.js';
import { appError, type AppError } from '../errors/app-error.js';
import { ERROR_KINDS } from '../errors/kinds.js';
import type { StreamRecord } from '../streams/record.js';
import { CONFIG_RULES_VERSION } from './change-set.js';
import { EMPTY_CONFIG, applyConfigRecord, type ConfigVerdict } from './fold.js';
import {
  objectKey,
  type ConfigState,
  type ObjectKey,
  type VersionedObject,
} from './state.js';

/** Number of verdicts that are kept, so that a retry through another host gets the same answer. */
export const REMEMBERED_VERDICTS = 256;

/** A verdict that is kept: accepted at an offset, or rejected. */
export type KnownVerdict = Exclude<
  ConfigVerdict,
  { kind: 'ignored' } | { kind: 'unsupported' }
>;

/** Folds the configuration stream and keeps the recent verdicts. */
export interface ConfigLedger {
  /** Returns the configuration after the last folded entry. */
  state(): ConfigState;
  /** Returns the verdict on a change set, or undefined if it is not known or no longer kept. */
  verdictOf(id: string): KnownVerdict | undefined;
  /** Folds the new records of one entry; on `unsupported_record` it fails and changes nothing. */
  fold(
    records: readonly StreamRecord[],
    next: number,
  ): Result<readonly ConfigVerdict[], AppError>;
  /** Serializes the current state; the text is the same on all hosts at this offset. */
  capture(): string;
  /** Restores a captured state; fails with `invalid`, or with `unsupported_record` if it needs newer rules. */
  restore(text: string, offset: number): Result<ConfigState, AppError>;
}

const verdictSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), offset: z.int() }),
  z.object({
    kind: z.enum(['conflict', 'invalid']),
    error: z.object({
      kind: z.enum(ERROR_KINDS),
      message: z.string(),
      outcome: z.enum(['run', 'not_run', 'unknown']),
      path: z.string().optional(),
    }),
  }),
]);

const rulesSchema = z.object({ rules: z.int().positive() });

const snapshotSchema = rulesSchema.extend({
  objects: z.array(z.object({ version: z.int(), object: objectSchema })),
  verdicts: z.array(z.tuple([z.string(), verdictSchema])),
});

type Snapshot = z.output<typeof snapshotSchema>;

/** Creates a ledger with the empty configuration. */
export function createConfigLedger(): ConfigLedger {
  let state = EMPTY_CONFIG;
  let verdicts = new Map<string, KnownVerdict>();

  function fold(
    records: readonly StreamRecord[],
    next: number,
  ): Result<readonly ConfigVerdict[], AppError> {
    const newVerdicts: ConfigVerdict[] = [];
    const keptVerdicts = new Map(verdicts);
    let folded = state;
    for (const record of records) {
      const outcome = applyConfigRecord(folded, record, next);
      if (outcome.verdict.kind === 'unsupported') {
        return Result.err(outcome.verdict.error);
      }
      folded = outcome.state;
      newVerdicts.push(outcome.verdict);
      rememberVerdict(keptVerdicts, record.id, outcome.verdict);
    }
    state = { offset: next, objects: folded.objects };
    verdicts = keptVerdicts;
    return Result.ok(newVerdicts);
  }

  function restore(
    text: string,
    offset: number,
  ): Result<ConfigState, AppError> {
    const parsed = parseSnapshot(text, offset);
    if (parsed.isErr) {
      return Result.err(parsed.error);
    }
    state = { offset, objects: objectsOfSnapshot(parsed.value) };
    verdicts = new Map(parsed.value.verdicts as [string, KnownVerdict][]);
    return Result.ok(state);
  }

  return {
    state: () => state,
    verdictOf: id => verdicts.get(id),
    fold,
    capture: () => serialize(state, verdicts),
    restore,
  };
}

function rememberVerdict(
  known: Map<string, KnownVerdict>,
  id: string,
  verdict: ConfigVerdict,
): void {
  if (verdict.kind === 'ignored' || verdict.kind === 'unsupported') {
    return;
  }
  known.set(id, verdict);
  const [oldest] = known.keys();
  if (known.size > REMEMBERED_VERDICTS && oldest !== undefined) {
    known.delete(oldest);
  }
}

function serialize(
  state: ConfigState,
  verdicts: ReadonlyMap<string, KnownVerdict>,
): string {
  const objects = [...state.objects.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, { object, version }]) => ({ version, object }));
  return JSON.stringify({
    rules: CONFIG_RULES_VERSION,
    objects,
    verdicts: [...verdicts],
  });
}

function parseSnapshot(
  text: string,
  offset: number,
): Result<Snapshot, AppError> {
  const json = parseJson(text);
  const rules = rulesSchema.safeParse(json).data?.rules ?? 0;
  if (rules > CONFIG_RULES_VERSION) {
    const message = `The snapshot at ${offset} needs rules ${rules}, this host has ${CONFIG_RULES_VERSION}.`;
    return Result.err(appError('unsupported_record', message));
  }
  const parsed = snapshotSchema.safeParse(json);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(
        appError('invalid', `The snapshot at ${offset} is malformed.`),
      );
}

function objectsOfSnapshot(
  snapshot: Snapshot,
): Map<ObjectKey, VersionedObject> {
  return new Map(
    snapshot.objects.map(({ object, version }) => [
      objectKey(object.kind, object.name),
      { object, version },
    ]),
  );
}
