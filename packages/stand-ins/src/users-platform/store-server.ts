/** Test double of the platform's store: a log over HTTP, with topics that keep the latest record by key. */
import { setMaxListeners } from 'node:events';

import type { AppendResult, WriterStamp } from '@paddlewind/ports/jobs';

import type { Listener } from '../http/json-server.js';
import { sleep } from '../http/timers.js';
import { firstBytes, LogPartition } from '../jobs/log-partition.js';
import {
  jsonReply,
  startRawServer,
  type RawReply,
  type RawRequest,
} from './http.js';

/** Injected behavior of the store towards all hosts. */
export type StoreMode = 'up' | 'refusing' | 'silent' | 'losing';

/** Maximum wait of a read, in milliseconds. */
const MAX_WAIT_MS = 30_000;
/** Default maximum size of a read, in KiB. */
const MAX_READ_KB = 1_024;
const BYTES_PER_KB = 1_024;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const REFUSED = 503;
/** Status of a read of removed records. */
const GONE = 410;

/** Store that is served over HTTP. */
export class StoreServer {
  /** Number of calls by path. */
  readonly calls = new Map<string, number>();

  private currentMode: StoreMode = 'up';
  /** Ends the reads that wait for a record. */
  private outage = createOutage();
  private readonly partitions = new Map<string, LogPartition>();
  private listener: Listener | undefined;

  /** In mode `losing`, appends take effect but are not answered. */
  get mode(): StoreMode {
    return this.currentMode;
  }

  /** Changes the mode; reads that wait for a record end as others do in that mode. */
  set mode(mode: StoreMode) {
    this.currentMode = mode;
    this.outage.abort();
    this.outage = createOutage();
  }

  /** `ip:port`. */
  get address(): string {
    return this.listener?.address ?? '';
  }

  /** Starts listening. */
  async start(): Promise<void> {
    this.listener = await startRawServer(req => this.handle(req));
  }

  /** Stops listening and closes open connections. */
  async stop(): Promise<void> {
    await this.listener?.close();
  }

  /** Writes a new value of a key to a keyed topic. */
  put(topic: string, key: string, value: unknown): void {
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(JSON.stringify(value)),
    ]);
    this.partition(topic, '0').append([record]);
  }

  /** Deletes a key of a keyed topic. */
  delete(topic: string, key: string): void {
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes]);
    this.partition(topic, '0').append([record]);
  }

  /** Removes all records of a keyed topic but the latest of each key. */
  compact(topic: string): void {
    const partition = this.partition(topic, '0');
    partition.firstOffset = partition.records.length;
  }

  private async handle(req: RawRequest): Promise<RawReply | undefined> {
    const { pathname } = req.url;
    this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1);
    switch (this.mode) {
      case 'silent':
        return undefined;
      case 'refusing':
        return refusedReply();
      case 'up':
      case 'losing':
        return this.answer(req);
    }
  }

  private async answer(req: RawRequest): Promise<RawReply | undefined> {
    const { pathname, searchParams } = req.url;
    const topic = searchParams.get('topic') ?? '';
    const partition = this.partition(topic, searchParams.get('part') ?? '0');
    switch (pathname) {
      case '/v1/log-append':
        return this.append(req, partition);
      case '/v1/log-read':
        return this.read(searchParams, partition);
      case '/v1/log-newest':
        return jsonReply(200, newest(partition));
      default:
        return jsonReply(404, { error: 'no such call' });
    }
  }

  /** Answers a read; one that waits while the store fails is not answered with records. */
  private async read(
    query: URLSearchParams,
    partition: LogPartition,
  ): Promise<RawReply | undefined> {
    const { signal } = this.outage;
    const reply = await read(query, partition, signal);
    switch (this.mode) {
      case 'silent':
        return undefined;
      case 'refusing':
        return refusedReply();
      case 'up':
      case 'losing':
        return reply;
    }
  }

  private append(
    req: RawRequest,
    partition: LogPartition,
  ): RawReply | undefined {
    const stamp = stampOf(req.url.searchParams);
    const result = partition.append(unframe(req.body), stamp);
    return this.mode === 'losing' ? undefined : appendReply(result);
  }

  private partition(topic: string, part: string): LogPartition {
    const key = `${topic}/${part}`;
    const existing = this.partitions.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const created = new LogPartition();
    this.partitions.set(key, created);
    return created;
  }
}

/** Creates the signal of the next outage, which any number of reads listens to. */
function createOutage(): AbortController {
  const outage = new AbortController();
  setMaxListeners(0, outage.signal);
  return outage;
}

function refusedReply(): RawReply {
  return jsonReply(REFUSED, { error: 'refusing' });
}

function stampOf(query: URLSearchParams): WriterStamp | undefined {
  const writer = query.get('producer');
  return writer === null
    ? undefined
    : {
        writer,
        epoch: Number(query.get('epoch')),
        sequence: Number(query.get('sequence')),
      };
}

function appendReply(result: AppendResult): RawReply {
  switch (result.kind) {
    case 'appended':
      return jsonReply(200, {
        offset: result.offset,
        endOffset: result.nextOffset,
      });
    case 'fenced':
      return jsonReply(409, { reason: 'fenced' });
    case 'out_of_sequence':
      return jsonReply(409, { reason: 'seq' });
    case 'refused':
    case 'unknown':
      return jsonReply(REFUSED, { error: result.reason });
  }
}

async function read(
  query: URLSearchParams,
  partition: LogPartition,
  signal: AbortSignal,
): Promise<RawReply> {
  const from = Number(query.get('from'));
  const { firstOffset } = partition;
  if (from < firstOffset) {
    return jsonReply(GONE, { firstOffset });
  }
  const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
  if (partition.records.length <= from && waitMs > 0) {
    const arrived = new Promise<void>(resolve => {
      partition.onAppend(resolve);
    });
    await Promise.race([arrived, sleep(waitMs, signal)]);
  }
  const maxBytes = BYTES_PER_KB * Number(query.get('maxKb') ?? MAX_READ_KB);
  const records = firstBytes(partition.records.slice(from), maxBytes);
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  return {
    status: 200,
    body: Buffer.concat([head, frame(records)]),
  };
}

function newest(partition: LogPartition): unknown {
  const items = new Map<string, unknown>();
  partition.records.forEach((record, offset) => {
    const bytes = Buffer.from(record);
    const keyEnd = 1 + bytes.readUInt8(0);
    const key = bytes.toString('utf8', 1, keyEnd);
    const value = bytes.toString('base64', keyEnd);
    if (value === '') {
      items.delete(key);
    } else {
      items.set(key, { key, value, offset });
    }
  });
  const endOffset = partition.records.length;
  return { items: [...items.values()], hasMore: false, endOffset };
}

function frame(records: readonly Uint8Array[]): Buffer {
  return Buffer.concat(
    records.flatMap(record => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      return [length, record];
    }),
  );
}

function unframe(body: Buffer): Uint8Array[] {
  const records: Uint8Array[] = [];
  let at = 0;
  while (at + LENGTH_BYTES <= body.length) {
    const length = body.readUInt32BE(at);
    at += LENGTH_BYTES;
    records.push(body.subarray(at, at + length));
    at += length;
  }
  return records;
}
