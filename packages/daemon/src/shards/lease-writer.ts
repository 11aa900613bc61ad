/** Writes lease records, one id each, and knows whether the log answers. */
import {
  leaseEnvelope,
  leaseStream,
  type Instant,
  type LeaseRecord,
} from '@paddlewind/domain';

import type { Committer, PartContext, StreamFollower } from '../parts.js';
import type { OwnLeases } from './own-leases.js';

/** What the writer is given. */
export interface LeaseWriterParts {
  readonly ctx: PartContext;
  readonly committer: Committer;
  readonly follower: () => StreamFollower;
  readonly own: OwnLeases;
  readonly region: string;
  /** Prefix of record ids, unique to this start of the process. */
  readonly prefix: string;
}

/** Writes lease records. */
export interface LeaseWriter {
  /** Resolves to whether the record was recorded and read back by the deadline. */
  write(record: LeaseRecord, deadline: Instant): Promise<boolean>;
  /** Since when the log has answered without a failure; infinity in an outage. */
  goodSince(): Instant;
}

/** Creates a writer that has not yet heard of the log. */
export function createLeaseWriter(parts: LeaseWriterParts): LeaseWriter {
  const { ctx, committer, own } = parts;
  const stream = leaseStream(parts.region);
  let sequence = 0;
  let goodSince: Instant = ctx.clock();

  async function write(
    record: LeaseRecord,
    deadline: Instant,
  ): Promise<boolean> {
    const id = `${parts.prefix}/${sequence++}`;
    own.sending(id, ctx.clock());
    const envelope = leaseEnvelope(id, record);
    const result = await committer.commit(stream, envelope, deadline);
    if (result.isErr) {
      goodSince = Number.POSITIVE_INFINITY;
      const { kind } = record;
      ctx.log.warn({ kind, err: result.error }, 'shards: not recorded');
      return false;
    }
    goodSince = Math.min(goodSince, ctx.clock());
    const next = result.value.offset + 1;
    const read = await parts.follower().waitForOffset(next, deadline);
    if (read.isErr) {
      goodSince = Number.POSITIVE_INFINITY;
    }
    return read.isOk;
  }

  return { write, goodSince: () => goodSince };
}
