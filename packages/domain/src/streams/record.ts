/** Record envelope of all streams, with encoding and validated decoding. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { parseJson } from '../core/json.js';
import { appError, type AppError } from '../errors/app-error.js';

/** Newest record format that this version reads, and the one it writes. */
export const RECORD_FORMAT = 1;

/** Stream of configuration changes; docs/design/streams.md describes all streams. */
export const CONFIG_STREAM = 'config';

/** Returns the name of the stream of shard leases of `region`. */
export function leaseStream(region: string): string {
  return `leases.${region}`;
}

/** Returns the name of the stream of scheduling decisions of one availability zone. */
export function decisionStream(availabilityZone: string): string {
  return `decisions.${availabilityZone}`;
}

/** Returns the name of the stream of idempotency keys of `region`. */
export function keyStream(region: string): string {
  return `keys.${region}`;
}

/** Position of a record in its stream: the offset of its entry and its index in the batch. */
export interface Position {
  readonly offset: number;
  readonly index: number;
}

/** Compares two positions, for use with `Array.sort`. */
export function comparePositions(a: Position, b: Position): number {
  return a.offset - b.offset || a.index - b.index;
}

/** Record with a unique id; a retry has the same id and only the first one is applied. */
export interface StreamRecord {
  readonly id: string;
  readonly kind: string;
  readonly body: unknown;
}

/** Records committed together in one log entry. */
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

/** Decodes a payload; fails with `invalid` if it is malformed, `unsupported_record` if its format is newer. */
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
