/** In-memory log of jobs with injected faults: delayed appends, lost responses, unavailability per host. */
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

/** Injected behavior of the log towards a host or a stream. */
export type LogMode =
  | 'up'
  /** Every call is refused without effect. */
  | 'refusing'
  /** Connections are reset; calls have no effect, but their outcome is unknown to the caller. */
  | 'resetting'
  /** Calls time out without effect. */
  | 'silent'
  /** Half of the appends are not answered; they take effect at once or later. */
  | 'losing'
  /** Appends succeed, reads are refused. */
  | 'unreadable';

/** Called for each read of a stream. */
export type ReadObserver = (host: string, stream: JobStream) => void;

/** Clock, timers and random numbers that a test controls. */
export interface SimulatedTime {
  readonly clock: Clock;
  readonly schedule: Schedule;
  readonly random: Random;
}

/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Response time of a call, in milliseconds. */
const RESPONSE_MS = 3;
/** Maximum delay after which an unanswered append takes effect, in milliseconds. */
const MAX_APPEND_DELAY_MS = 6_000;
/** Maximum queueing time of an append before it is refused, in milliseconds. */
const MAX_QUEUE_MS = 2_000;

/** The log that all hosts of a test share. */
export class MemoryJobLog {
  /** Modes by host; all other hosts are served normally. */
  readonly hostModes = new Map<string, LogMode>();
  /** Modes of single streams for one host, by `host stream`. */
  readonly hostStreamModes = new Map<string, LogMode>();
  /** Modes of streams for all hosts. */
  readonly streamModes = new Map<JobStream, LogMode>();

  /** Bandwidth of the link by host, in bytes per millisecond; other links are unlimited. */
  readonly linkRates = new Map<string, number>();

  /** Time per append; a stream handles one at a time and refuses appends that would queue for over 2 s. */
  appendMs: Millis = 0;

  /** Rewrites each appended journal record, to simulate another version of the writer. */
  rewriteJournal: (record: Uint8Array) => Uint8Array = record => record;

  /** Number of the next appends to the inbox that take effect but are not answered. */
  unansweredAppends = 0;

  private readonly streams: Record<JobStream, LogPartition> = {
    inbox: new LogPartition(),
    journal: new LogPartition(),
    summary: new LogPartition(),
    snapshot: new LogPartition(),
  };

  private readonly readObservers = new Set<ReadObserver>();
  private readonly freeAt = new Map<JobStream, Instant>();
  private readonly linkFreeAt = new Map<string, Instant>();

  /** Creates an empty log. */
  constructor(private readonly time: SimulatedTime) {}

  /** Returns the client of the log for `host`. */
  connect(host: string): JobLog {
    return {
      append: (stream, records, stamp) => {
        const stored =
          stream === 'journal' ? records.map(this.rewriteJournal) : records;
        return this.append(host, stream, stored, stamp);
      },
      read: (stream, from, limits) => this.read(host, stream, from, limits),
    };
  }

  /** Removes the journal records before `offset` and all current inbox records. */
  trimJournalAndInbox(offset: number): void {
    this.streams.journal.firstOffset = offset;
    this.streams.inbox.firstOffset = this.streams.inbox.records.length;
  }

  /** Removes the records of a stream before `offset`. */
  trimStream(stream: JobStream, offset: number): void {
    this.streams[stream].firstOffset = offset;
  }

  /** Calls `observer` for each read until `stop` is called. */
  watchReads(observer: ReadObserver): { readonly stop: () => void } {
    this.readObservers.add(observer);
    return { stop: () => this.readObservers.delete(observer) };
  }

  /** Returns all records of a stream. */
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
      await this.pause(RESPONSE_MS);
      return { kind: 'refused', reason: 'refusing' };
    }
    if (mode === 'resetting') {
      await this.pause(RESPONSE_MS);
      return { kind: 'unknown', reason: 'reset' };
    }
    if (mode === 'silent') {
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (mode === 'losing' && this.time.random() < 0.5) {
      const isDelayed = this.time.random() < 0.5;
      const after = isDelayed
        ? this.time.random() * MAX_APPEND_DELAY_MS
        : RESPONSE_MS;
      this.time.schedule(after, () => {
        this.streams[stream].append(records, stamp);
      });
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    await this.pause(RESPONSE_MS);
    if (this.unansweredAppends > 0 && stream === 'inbox') {
      this.unansweredAppends -= 1;
      this.streams[stream].append(records, stamp);
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (!(await this.awaitTurn(stream))) {
      return { kind: 'refused', reason: 'busy' };
    }
    const answer = this.streams[stream].append(records, stamp);
    await this.pause(RESPONSE_MS);
    return answer;
  }

  /** Waits for the turn of an append; returns false if the queue is too long. */
  private async awaitTurn(stream: JobStream): Promise<boolean> {
    if (this.appendMs === 0) {
      return true;
    }
    const now = this.time.clock();
    const startsAt = Math.max(now, this.freeAt.get(stream) ?? now);
    if (startsAt - now > MAX_QUEUE_MS) {
      return false;
    }
    this.freeAt.set(stream, startsAt + this.appendMs);
    await this.pause(startsAt + this.appendMs - now);
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
    this.readObservers.forEach(observer => {
      observer(host, name);
    });
    const mode = this.modeOf(host, name);
    if (mode !== 'up' && mode !== 'losing') {
      await this.pause(mode === 'silent' ? CALL_TIMEOUT_MS : RESPONSE_MS);
      return { kind: 'unavailable', reason: mode };
    }
    await this.pause(RESPONSE_MS);
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

  /** Transfers records over the host's link, one read at a time; returns false if the caller timed out. */
  private async transfer(
    host: string,
    records: readonly Uint8Array[],
  ): Promise<boolean> {
    const rate = this.linkRates.get(host);
    if (rate === undefined) {
      return true;
    }
    const now = this.time.clock();
    const startsAt = Math.max(now, this.linkFreeAt.get(host) ?? now);
    const endsAt = Math.min(
      startsAt + sizeOf(records) / rate,
      now + CALL_TIMEOUT_MS,
    );
    this.linkFreeAt.set(host, Math.max(startsAt, endsAt));
    await this.pause(endsAt - now);
    return endsAt < now + CALL_TIMEOUT_MS;
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
