/** The fold of a stream of idempotency keys: which claim of a key counts, and how its request ended. */
import { z } from 'zod';

import type { Position, StreamRecord } from '../streams/record.js';

/** Kinds of records in a stream of keys. */
export const KEY_CLAIMED = 'key_claimed';
export const KEY_DONE = 'key_done';
export const KEY_RELEASED = 'key_released';
export const KEY_HORIZON = 'key_horizon';

const keySchema = z.object({
  service: z.string().min(1),
  key: z.string().min(1),
});

const claimSchema = keySchema.extend({
  host: z.string(),
  incarnation: z.string(),
  requestHash: z.string(),
});

const doneSchema = keySchema.extend({ claim: z.string(), status: z.int() });

const releaseSchema = keySchema.extend({ claim: z.string() });

const horizonSchema = z.object({ offset: z.int().nonnegative() });

/** Body of `key_claimed`; the record's id names the claim. */
export type KeyClaim = z.output<typeof claimSchema>;
/** Body of `key_done`: the request was answered with this status. */
export type KeyDone = z.output<typeof doneSchema>;
/** Body of `key_released`: the claimant sent nothing, so the key is free again. */
export type KeyRelease = z.output<typeof releaseSchema>;
/** Body of `key_horizon`: what was claimed before this offset has expired. */
export type KeyHorizon = z.output<typeof horizonSchema>;

/** What is known of a key. */
export interface KeyState {
  /** Id of the claim that counts. */
  readonly claim: string;
  readonly requestHash: string;
  /** Status that the request was answered with; undefined while unknown. */
  readonly status: number | undefined;
  /** Offset of the claim. */
  readonly offset: number;
}

/** A record and where it stands. */
export interface PlacedRecord extends StreamRecord {
  readonly position: Position;
}

/** The keys of a region. */
export interface KeyTable {
  /** Folds the next record; malformed and foreign ones change nothing. */
  readonly apply: (record: PlacedRecord) => void;
  /** What is known of a key. */
  readonly lookup: (service: string, key: string) => KeyState | undefined;
  /** Offset before which claims have expired. */
  readonly horizon: () => number;
  /** Keys remembered. */
  readonly size: () => number;
}

interface TableState {
  /** In the order of their claims. */
  readonly keys: Map<string, KeyState>;
  /** Offsets of releases by claim, for claims that a slow append lets arrive after them. */
  readonly released: Map<string, number>;
  horizon: number;
}

/** Creates an empty table; no clock takes part, so every host decides alike. */
export function createKeyTable(): KeyTable {
  const table: TableState = {
    keys: new Map(),
    released: new Map(),
    horizon: 0,
  };
  return {
    apply: record => {
      apply(table, record);
    },
    lookup: (service, key) => table.keys.get(keyId(service, key)),
    horizon: () => table.horizon,
    size: () => table.keys.size,
  };
}

function apply(table: TableState, record: PlacedRecord): void {
  const { offset } = record.position;
  switch (record.kind) {
    case KEY_CLAIMED:
      withBody(claimSchema, record, body => {
        applyClaim(table, record.id, body, offset);
      });
      return;
    case KEY_DONE:
      withBody(doneSchema, record, body => {
        applyDone(table, body);
      });
      return;
    case KEY_RELEASED:
      withBody(releaseSchema, record, body => {
        applyRelease(table, body, offset);
      });
      return;
    case KEY_HORIZON:
      withBody(horizonSchema, record, body => {
        applyHorizon(table, Math.min(body.offset, offset));
      });
  }
}

function applyClaim(
  table: TableState,
  claim: string,
  body: KeyClaim,
  offset: number,
): void {
  const id = keyId(body.service, body.key);
  if (!table.keys.has(id) && !table.released.has(claim)) {
    const { requestHash } = body;
    table.keys.set(id, { claim, requestHash, status: undefined, offset });
  }
}

function applyDone(table: TableState, body: KeyDone): void {
  const id = keyId(body.service, body.key);
  const state = table.keys.get(id);
  if (state?.claim === body.claim) {
    table.keys.set(id, { ...state, status: body.status });
  }
}

function applyRelease(
  table: TableState,
  body: KeyRelease,
  offset: number,
): void {
  const id = keyId(body.service, body.key);
  const state = table.keys.get(id);
  if (state?.claim === body.claim && state.status === undefined) {
    table.keys.delete(id);
  }
  table.released.set(body.claim, offset);
}

function applyHorizon(table: TableState, horizon: number): void {
  table.horizon = Math.max(table.horizon, horizon);
  for (const [id, { offset }] of table.keys) {
    if (offset >= table.horizon) {
      break;
    }
    table.keys.delete(id);
  }
  for (const [claim, offset] of table.released) {
    if (offset >= table.horizon) {
      break;
    }
    table.released.delete(claim);
  }
}

function keyId(service: string, key: string): string {
  return `${service}\u0000${key}`;
}

function withBody<T>(
  schema: z.ZodType<T>,
  record: StreamRecord,
  use: (body: T) => void,
): void {
  const parsed = schema.safeParse(record.body);
  if (parsed.success) {
    use(parsed.data);
  }
}
