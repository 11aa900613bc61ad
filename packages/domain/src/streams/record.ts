/** The record envelope of every stream, and its checked decoding. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { parseJson } from '../core/json.js';
import { appError, type AppError } from '../errors/app-error.js';

/** The newest record format that this build reads and writes. */
export const RECORD_FORMAT = 1;

/** Streams of the log. Decisions are grouped by availability zone, see docs/design/streams.md. */
export const CONFIG_STREAM = 'config';

/** Returns the stream of shard leases of one region. */
export function leaseStream(region: string): string {
  return `leases.${region}`;
}

/** Returns the stream of scheduling decisions of one availability zone. */
export function decisionStream(availabilityZone: string): string {
  return `decisions.${availabilityZone}`;
}

/** Returns the stream of idempotency keys of one region. */
export function keyStream(region: string): string {
  return `keys.${region}`;
}

/** Where a record stands in its stream: the log's offset, then the place in the batch. */
export interface Position {
  readonly offset: number;
  readonly index: number;
}

/** Compares two positions, as for `Array.sort`. */
export function comparePositions(a: Position, b: Position): number {
  return a.offset - b.offset || a.index - b.index;
}

/** A record with a unique id; a retry carries the same id and the fold takes the first. */
export interface StreamRecord {
  readonly id: string;
  readonly kind: string;
  readonly body: unknown;
}

/** One log entry: a group of records committed together. */
export interface Batch {
  readonly format: number;
  readonly records: readonly StreamRecord[];
}

const batchSchema = z.object({
  format: z.int().positive(),
  records: z.array(
    z.object({
      id: z.string().min(1),
      kind: z.string().min(1),
      body: z.unknown(),
    }),
  ),
});

/** Encodes `records` as the payload of one log entry. */
export function encodeBatch(records: readonly StreamRecord[]): string {
  return JSON.stringify({ format: RECORD_FORMAT, records });
}

/** Decodes a payload; fails with `invalid` when malformed and `unsupported_record` when newer. */
export function decodeBatch(payload: string): Result<Batch, AppError> {
  const json = parseJson(payload);
  if (json === undefined) {
    return Result.err(appError('invalid', 'The entry is not JSON.'));
  }
  const parsed = batchSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue?.path.join('.') ?? '';
    return Result.err(
      appError('invalid', `The entry is malformed at ${path}.`, { path }),
    );
  }
  if (parsed.data.format > RECORD_FORMAT) {
    const found = parsed.data.format;
    return Result.err(
      appError(
        'unsupported_record',
        `Format ${found} is newer than ${RECORD_FORMAT}.`,
      ),
    );
  }
  return Result.ok(parsed.data);
}
