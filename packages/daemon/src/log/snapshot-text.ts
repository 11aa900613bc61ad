/** The text of a snapshot: the state and the known record ids, compressed. */
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

/** Characters up to which compressing takes less than a turn of the loop may. */
const SYNC_CHARS = 64 * 1024;

/** Bytes that a snapshot may unfold to. */
const MAX_STATE_BYTES = 64 * 1024 * 1024;

/** What a snapshot holds: the state before an offset, and the ids in its dedupe window. */
export interface CapturedState {
  readonly offset: number;
  readonly ids: readonly string[];
  readonly state: string;
}

const idsSchema = z.array(z.string());

/** Encodes a captured state; equal states give equal snapshots. */
export async function encodeSnapshot(
  captured: CapturedState,
): Promise<Snapshot> {
  const plain = `${JSON.stringify(captured.ids)}\n${captured.state}`;
  const isShort = plain.length <= SYNC_CHARS;
  const bytes = isShort ? deflateRawSync(plain) : await compress(plain);
  const text = bytes.toString('base64');
  return { offset: captured.offset, text, hash: snapshotHash(text) };
}

/** Decodes a snapshot; fails with `invalid`. */
export async function decodeSnapshot(
  snapshot: Snapshot,
): Promise<Result<CapturedState, AppError>> {
  const plain = await unfold(snapshot.text);
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

async function unfold(text: string): Promise<string | undefined> {
  try {
    const bytes = Buffer.from(text, 'base64');
    const limit = { maxOutputLength: MAX_STATE_BYTES };
    const isShort = text.length <= SYNC_CHARS / 4;
    const plain = isShort
      ? inflateRawSync(bytes, limit)
      : await decompress(bytes, limit);
    return plain.toString();
  } catch {
    return undefined;
  }
}
