/** Records of the lease stream and their checked decoding. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { appError, type AppError } from '../errors/app-error.js';
import type { StreamRecord } from '../streams/record.js';

/** A process that may own shards: the host's id and the number of this start of its process. */
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
  /** Next offset of the lease stream that the claimer had still to read. */
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

/** Asks for a shard that is free, or whose lease the claimer saw lapse. */
export type ClaimRecord = z.output<typeof claimSchema>;
/** Prolongs the leases of every shard that the owner holds. */
export type RenewRecord = z.output<typeof renewSchema>;
/** Gives a shard up before its lease ends. */
export type ReleaseRecord = z.output<typeof releaseSchema>;
/** Any record of the lease stream. */
export type LeaseRecord = z.output<typeof leaseRecordSchema>;

/** Wraps a lease record in the envelope of streams; `id` is unique. */
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
