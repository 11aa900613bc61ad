/** Snapshots of a stream's state, kept as chunks in the stream itself. */
import { z } from 'zod';

import type { StreamRecord } from './record.js';

/** Kind of the record that carries one chunk. */
export const SNAPSHOT_CHUNK_KIND = 'snapshot.chunk';

/** Characters of one chunk; several fit into a batch beside other records. */
export const SNAPSHOT_CHUNK_CHARS = 48 * 1024;

/** Snapshots being assembled at a time; the oldest are given up beyond that. */
const MAX_PARTIAL = 4;

/** The state after every entry before `offset`. */
export interface Snapshot {
  readonly offset: number;
  readonly text: string;
  /** Digest of the text by which a reader knows that it is whole. */
  readonly hash: string;
}

const chunkSchema = z.object({
  offset: z.int().nonnegative(),
  hash: z.string().min(1),
  index: z.int().nonnegative(),
  count: z.int().positive().max(10_000),
  data: z.string(),
});

/** Splits a snapshot into records; equal snapshots give equal records. */
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

/** Puts chunks together, in any order. */
export interface SnapshotAssembler {
  /** Takes a record; returns a snapshot once all of its chunks were seen, its hash unchecked. */
  add(record: StreamRecord): Snapshot | undefined;
  /** Offset of the newest snapshot of which a chunk was seen. */
  newest(): number | undefined;
}

interface Partial {
  readonly offset: number;
  readonly hash: string;
  readonly parts: (string | undefined)[];
  missing: number;
}

/** Creates an assembler with nothing seen. */
export function createSnapshotAssembler(): SnapshotAssembler {
  const partials = new Map<string, Partial>();
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
    const partial = partials.get(key) ?? emptyPartial(chunk);
    partials.set(key, partial);
    dropOldest(partials);
    return fill(partials, key, partial, chunk);
  }

  return { add, newest: () => newest };
}

function emptyPartial(chunk: z.output<typeof chunkSchema>): Partial {
  const { offset, hash, count } = chunk;
  return {
    offset,
    hash,
    parts: new Array<string | undefined>(count).fill(undefined),
    missing: count,
  };
}

function fill(
  partials: Map<string, Partial>,
  key: string,
  partial: Partial,
  chunk: z.output<typeof chunkSchema>,
): Snapshot | undefined {
  if (partial.parts[chunk.index] === undefined) {
    partial.missing--;
  }
  partial.parts[chunk.index] = chunk.data;
  if (partial.missing > 0) {
    return undefined;
  }
  partials.delete(key);
  const { offset, hash } = partial;
  return { offset, hash, text: partial.parts.join('') };
}

function dropOldest(partials: Map<string, Partial>): void {
  const [oldest] = partials.keys();
  if (partials.size > MAX_PARTIAL && oldest !== undefined) {
    partials.delete(oldest);
  }
}
