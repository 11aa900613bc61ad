/** Records of the lease stream and their validated decoding. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { appError, type AppError } from '../errors/app-error.js';
import type { StreamRecord } from '../streams/record.js';

/** Identifies a process that may own shards: the id of its host and the incarnation of the process. */
const ownerFields = {
  owner: z.string().min(1),
  incarnation: z.string().min(1),
};

const claimSchema = z.object({
  kind: z.literal('claim'),
  shard: z.string().min(1),
  epoch: z.int().positive(),
  ...ownerFields,
  leaseMs: z.int().positive(),
  /** Next offset of the lease stream that the claimer had not yet read. */
  seen: z.int().nonnegative(),
});

const renewSchema = z.object({
  kind: z.literal('renew'),
  ...ownerFields,
  leaseMs: z.int().positive(),
});

const releaseSchema = z.object({
  kind: z.literal('release'),
  shard: z.string().min(1),
  epoch: z.int().positive(),
  ...ownerFields,
});

const leaseRecordSchema = z.discriminatedUnion('kind', [
  claimSchema,
  renewSchema,
  releaseSchema,
]);

/** Claims a shard that is free or whose lease has expired for the claimer. */
export type ClaimRecord = z.output<typeof claimSchema>;
/** Extends the leases of all shards that the owner holds. */
export type RenewRecord = z.output<typeof renewSchema>;
/** Releases a shard before its lease expires. */
export type ReleaseRecord = z.output<typeof releaseSchema>;
/** Any record of the lease stream. */
export type LeaseRecord = z.output<typeof leaseRecordSchema>;

/** Wraps a lease record in a stream record with the unique `id`. */
export function leaseEnvelope(id: string, record: LeaseRecord): StreamRecord {
  const { kind, ...body } = record;
  return { id, kind, body };
}

/** Decodes a record of the lease stream; fails with `invalid`. */
export function decodeLeaseRecord(
  record: StreamRecord,
): Result<LeaseRecord, AppError> {
  const body = record.body as Record<string, unknown> | undefined;
  const parsed = leaseRecordSchema.safeParse({ ...body, kind: record.kind });
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const path = parsed.error.issues[0]?.path.join('.') ?? '';
  return Result.err(
    appError('invalid', `The lease record is malformed at ${path}.`, { path }),
  );
}
