/** Snapshots of a stream's state, stored as chunks in the stream itself. */
import { z } from 'zod';

import type { StreamRecord } from './record.js';

/** Kind of the records that contain one chunk each. */
export const SNAPSHOT_CHUNK_KIND = 'snapshot.chunk';

/** Characters per chunk; a batch has space for several chunks and other records. */
export const SNAPSHOT_CHUNK_CHARS = 48 * 1024;

/** Most snapshots assembled at a time; beyond it, the oldest one is discarded. */
const MAX_PARTIAL_SNAPSHOTS = 4;

/** State after all entries before `offset`. */
export interface Snapshot {
  readonly offset: number;
  readonly text: string;
  /** Digest of the text, by which a reader checks that it is intact. */
  readonly hash: string;
}

const chunkSchema = z.object({
  offset: z.int().nonnegative(),
  hash: z.string().min(1),
  index: z.int().nonnegative(),
  count: z.int().positive().max(10_000),
  data: z.string(),
});

/** Splits a snapshot into chunk records; equal snapshots give equal records. */
export function snapshotRecords(
  snapshot: Snapshot,
  chunkChars: number = SNAPSHOT_CHUNK_CHARS,
): StreamRecord[] {
  const { offset, text, hash } = snapshot;
  const count = Math.max(1, Math.ceil(text.length / chunkChars));
  return Array.from({ length: count }, (_, index) => ({
    id: `snapshot/${offset}/${hash.slice(0, 16)}/${index}`,
    kind: SNAPSHOT_CHUNK_KIND,
    body: {
      offset,
      hash,
      index,
      count,
      data: text.slice(index * chunkChars, (index + 1) * chunkChars),
    },
  }));
}

/** Assembles snapshots from chunks in any order. */
export interface SnapshotAssembler {
  /** Adds a record; returns the snapshot once all its chunks were added, without checking its hash. */
  add(record: StreamRecord): Snapshot | undefined;
  /** Offset of the newest snapshot that any added chunk belongs to. */
  newest(): number | undefined;
}

interface PartialSnapshot {
  readonly offset: number;
  readonly hash: string;
  readonly chunks: (string | undefined)[];
  missingCount: number;
}

/** Creates an assembler without chunks. */
export function createSnapshotAssembler(): SnapshotAssembler {
  const partials = new Map<string, PartialSnapshot>();
  let newest: number | undefined;

  function add(record: StreamRecord): Snapshot | undefined {
    if (record.kind !== SNAPSHOT_CHUNK_KIND) {
      return undefined;
    }
    const chunk = chunkSchema.safeParse(record.body).data;
    if (chunk === undefined || chunk.index >= chunk.count) {
      return undefined;
    }
    newest = Math.max(newest ?? 0, chunk.offset);
    const key = `${chunk.offset}/${chunk.hash}/${chunk.count}`;
    const partial = partials.get(key) ?? createPartial(chunk);
    partials.set(key, partial);
    evictOldest(partials);
    return addChunk(partials, key, partial, chunk);
  }

  return { add, newest: () => newest };
}

function createPartial(chunk: z.output<typeof chunkSchema>): PartialSnapshot {
  const { offset, hash, count } = chunk;
  return {
    offset,
    hash,
    chunks: new Array<string | undefined>(count).fill(undefined),
    missingCount: count,
  };
}

function addChunk(
  partials: Map<string, PartialSnapshot>,
  key: string,
  partial: PartialSnapshot,
  chunk: z.output<typeof chunkSchema>,
): Snapshot | undefined {
  if (partial.chunks[chunk.index] === undefined) {
    partial.missingCount--;
  }
  partial.chunks[chunk.index] = chunk.data;
  if (partial.missingCount > 0) {
    return undefined;
  }
  partials.delete(key);
  const { offset, hash } = partial;
  return { offset, hash, text: partial.chunks.join('') };
}

function evictOldest(partials: Map<string, PartialSnapshot>): void {
  const [oldest] = partials.keys();
  if (partials.size > MAX_PARTIAL_SNAPSHOTS && oldest !== undefined) {
    partials.delete(oldest);
  }
}
