/** Encoding of snapshots as compressed text that holds the state and the ids of recent records. */
import { promisify } from 'node:util';
import {
  deflateRaw,
  deflateRawSync,
  inflateRaw,
  inflateRawSync,
} from 'node:zlib';

import {
  appError,
  parseJson,
  type AppError,
  type Snapshot,
} from '@paddlewind/domain';
import { Result } from 'true-myth';
import { z } from 'zod';

import { snapshotHash } from './recovery.js';

const compress = promisify<string, Buffer>(deflateRaw);
const decompress = promisify<Buffer, { maxOutputLength: number }, Buffer>(
  inflateRaw,
);

/** Text up to this length is compressed synchronously, since that does not hold up the event loop. */
const MAX_SYNC_CHARS = 64 * 1024;

/** Largest accepted size of a decompressed snapshot. */
const MAX_STATE_BYTES = 64 * 1024 * 1024;

/** Content of a snapshot: the state before `offset` and the ids in the dedupe window. */
export interface CapturedState {
  readonly offset: number;
  readonly ids: readonly string[];
  readonly state: string;
}

const idsSchema = z.array(z.string());

/** Encodes and compresses a captured state; equal states give equal snapshots. */
export async function encodeSnapshot(
  captured: CapturedState,
): Promise<Snapshot> {
  const plain = `${JSON.stringify(captured.ids)}\n${captured.state}`;
  const isShort = plain.length <= MAX_SYNC_CHARS;
  const bytes = isShort ? deflateRawSync(plain) : await compress(plain);
  const text = bytes.toString('base64');
  return { offset: captured.offset, text, hash: snapshotHash(text) };
}

/** Decodes a snapshot; fails with `invalid` if it is malformed. */
export async function decodeSnapshot(
  snapshot: Snapshot,
): Promise<Result<CapturedState, AppError>> {
  const plain = await decompressText(snapshot.text);
  const split = plain?.indexOf('\n') ?? -1;
  const ids = idsSchema.safeParse(parseJson(plain?.slice(0, split) ?? ''));
  if (plain === undefined || split === -1 || !ids.success) {
    return Result.err(
      appError('invalid', `The snapshot at ${snapshot.offset} is malformed.`),
    );
  }
  const state = plain.slice(split + 1);
  return Result.ok({ offset: snapshot.offset, ids: ids.data, state });
}

async function decompressText(text: string): Promise<string | undefined> {
  try {
    const bytes = Buffer.from(text, 'base64');
    const limit = { maxOutputLength: MAX_STATE_BYTES };
    const isShort = text.length <= MAX_SYNC_CHARS / 4;
    const plain = isShort
      ? inflateRawSync(bytes, limit)
      : await decompress(bytes, limit);
    return plain.toString();
  } catch {
    return undefined;
  }
}
