/** The log of jobs in memory: stamps, late effects, lost answers, and hosts that it does not serve. */
import type {
  Clock,
  Instant,
  Millis,
  Random,
  Schedule,
} from '@paddlewind/domain';
import type {
  AppendResult,
  JobLog,
  JobStream,
  ReadLimits,
  ReadResult,
  WriterStamp,
} from '@paddlewind/ports/jobs';

import { firstBytes, LogPartition } from './log-partition.js';

/** How the log treats one host. */
export type LogMode =
  | 'up'
  /** Every call is refused, and nothing is done. */
  | 'refusing'
  /** Connections are reset: nothing is done, but a caller can't know that. */
  | 'resetting'
  /** No call arrives. */
  | 'silent'
  /** Every other append is carried out at once or later, and is not answered. */
  | 'losing'
  /** Appends are carried out; reads are refused. */
  | 'unreadable';

/** Is told of each read of a stream. */
export type ReadWatch = (host: string, stream: JobStream) => void;

/** Time and chance under a test's control. */
export interface SimulatedTime {
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly random: Random;
}

/** Time after which a host gives a call up, in milliseconds. */
const TIMEOUT_MS = 1_500;
/** Time to answer a call, in milliseconds. */
const ANSWER_MS = 3;
/** Longest time after which an append that was not answered is carried out, in milliseconds. */
const LATEST_MS = 6_000;
/** Appends that wait for longer are refused, in milliseconds. */
const LONGEST_QUEUE_MS = 2_000;
/** One log for all hosts of a test. */
export class MemoryJobLog {
  /** Modes of hosts; all others are served. */
  readonly hostModes = new Map<string, LogMode>();
  /** Modes of streams for one host, by `host stream`. */
  readonly hostStreamModes = new Map<string, LogMode>();
  /** Modes of streams, for all hosts. */
  readonly streamModes = new Map<JobStream, LogMode>();

  /** Bytes in a millisecond by host that its link carries; other links take no time. */
  readonly linkRates = new Map<string, number>();

  /** Time that a stream takes for each append, one after the other; a queue of 2 s is refused. */
  appendMs: Millis = 0;

  /** What becomes of each record of the journal that is appended, as another version would write it. */
  rewriteJournal: (record: Uint8Array) => Uint8Array = record => record;

  /** How many of the next appends to the inbox are carried out and not answered. */
  unansweredAppends = 0;

  private readonly streams: Record<JobStream, LogPartition> = {
    inbox: new LogPartition(),
    journal: new LogPartition(),
    summary: new LogPartition(),
    snapshot: new LogPartition(),
  };

  private readonly watches = new Set<ReadWatch>();
  private readonly freeAt = new Map<JobStream, Instant>();
  private readonly linkFreeAt = new Map<string, Instant>();

  /** Creates an empty log. */
  constructor(private readonly time: SimulatedTime) {}

  /** Returns the log as `host` sees it. */
  connect(host: string): JobLog {
    return {
      append: (stream, records, stamp) => {
        const written =
          stream === 'journal' ? records.map(this.rewriteJournal) : records;
        return this.append(host, stream, written, stamp);
      },
      read: (stream, from, limits) => this.read(host, stream, from, limits),
    };
  }

  /** Drops the records of the journal before `offset`, and all that the inbox has now. */
  trimTo(offset: number): void {
    this.streams.journal.firstOffset = offset;
    this.streams.inbox.firstOffset = this.streams.inbox.records.length;
  }

  /** Drops the records of a stream before `offset`. */
  trimStream(stream: JobStream, offset: number): void {
    this.streams[stream].firstOffset = offset;
  }

  /** Calls `seen` with each read until it is stopped. */
  watchReads(seen: ReadWatch): { readonly stop: () => void } {
    this.watches.add(seen);
    return { stop: () => this.watches.delete(seen) };
  }

  /** All records of a stream. */
  recordsOf(stream: JobStream): readonly Uint8Array[] {
    return this.streams[stream].records;
  }

  private async append(
    host: string,
    stream: JobStream,
    records: readonly Uint8Array[],
    stamp: WriterStamp | undefined,
  ): Promise<AppendResult> {
    const mode = this.modeOf(host, stream);
    if (mode === 'refusing') {
      await this.pause(ANSWER_MS);
      return { kind: 'refused', reason: 'refusing' };
    }
    if (mode === 'resetting') {
      await this.pause(ANSWER_MS);
      return { kind: 'unknown', reason: 'reset' };
    }
    if (mode === 'silent') {
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (mode === 'losing' && this.time.random() < 0.5) {
      const late = this.time.random() < 0.5;
      const after = late ? this.time.random() * LATEST_MS : ANSWER_MS;
      this.time.schedule(after, () => {
        this.streams[stream].append(records, stamp);
      });
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    await this.pause(ANSWER_MS);
    if (this.unansweredAppends > 0 && stream === 'inbox') {
      this.unansweredAppends -= 1;
      this.streams[stream].append(records, stamp);
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (!(await this.awaitTurn(stream))) {
      return { kind: 'refused', reason: 'busy' };
    }
    const answer = this.streams[stream].append(records, stamp);
    await this.pause(ANSWER_MS);
    return answer;
  }

  /** Waits until a stream takes one more append; false when too many wait already. */
  private async awaitTurn(stream: JobStream): Promise<boolean> {
    if (this.appendMs === 0) {
      return true;
    }
    const now = this.time.clock();
    const begins = Math.max(now, this.freeAt.get(stream) ?? now);
    if (begins - now > LONGEST_QUEUE_MS) {
      return false;
    }
    this.freeAt.set(stream, begins + this.appendMs);
    await this.pause(begins + this.appendMs - now);
    return true;
  }

  private modeOf(host: string, stream: JobStream): LogMode {
    return (
      this.hostStreamModes.get(`${host} ${stream}`) ??
      this.hostModes.get(host) ??
      this.streamModes.get(stream) ??
      'up'
    );
  }

  private async read(
    host: string,
    name: JobStream,
    from: number,
    { waitMs, maxBytes }: ReadLimits,
  ): Promise<ReadResult> {
    this.watches.forEach(seen => {
      seen(host, name);
    });
    const mode = this.modeOf(host, name);
    if (mode !== 'up' && mode !== 'losing') {
      await this.pause(mode === 'silent' ? TIMEOUT_MS : ANSWER_MS);
      return { kind: 'unavailable', reason: mode };
    }
    await this.pause(ANSWER_MS);
    const stream = this.streams[name];
    if (from < stream.firstOffset) {
      return { kind: 'trimmed', firstOffset: stream.firstOffset };
    }
    if (stream.records.length <= from && waitMs > 0) {
      await this.nextRecord(stream, waitMs);
    }
    const records = firstBytes(stream.records.slice(from), maxBytes);
    if (!(await this.transfer(host, records))) {
      return { kind: 'unavailable', reason: 'timeout' };
    }
    return {
      kind: 'records',
      records,
      offset: from,
      endOffset: stream.records.length,
    };
  }

  /** Carries records over the host's link, one read after the other; false once the caller gave up. */
  private async transfer(
    host: string,
    records: readonly Uint8Array[],
  ): Promise<boolean> {
    const rate = this.linkRates.get(host);
    if (rate === undefined) {
      return true;
    }
    const now = this.time.clock();
    const begins = Math.max(now, this.linkFreeAt.get(host) ?? now);
    const ends = Math.min(begins + sizeOf(records) / rate, now + TIMEOUT_MS);
    this.linkFreeAt.set(host, Math.max(begins, ends));
    await this.pause(ends - now);
    return ends < now + TIMEOUT_MS;
  }

  private nextRecord(stream: LogPartition, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.time.schedule(waitMs, resolve);
      stream.onAppend(() => {
        cancel();
        resolve();
      });
    });
  }

  private pause(span: number): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

function sizeOf(records: readonly Uint8Array[]): number {
  return records.reduce((sum, { length }) => sum + length, 0);
}
