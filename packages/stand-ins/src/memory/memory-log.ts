/** A log service in memory whose faults are set by function calls. */
import {
  appError,
  type AppError,
  type Clock,
  type Millis,
  type Schedule,
} from '@paddlewind/domain';
import type {
  LogEntry,
  LogPage,
  LogService,
  ReadRequest,
} from '@paddlewind/ports';
import { Result } from 'true-myth';

import { scheduleByTimeout } from '../http/schedule.js';

/** What the log is created with. */
export interface MemoryLogOptions {
  readonly clock: Clock;
  readonly schedule?: Schedule;
  /** Entries older than this expire; kept for ever when absent. */
  readonly retainMs?: Millis;
}

/** How long the log takes to answer. */
export interface MemoryLogDelay {
  readonly appendMs: Millis;
  readonly readMs: Millis;
}

/** The log and the switches of its faults. */
export interface MemoryLog extends LogService {
  /** Begins or ends an outage: every call fails and waiting reads break off. */
  setOutage(on: boolean): void;
  setDelay(delay: Partial<MemoryLogDelay>): void;
  /** Lets the next `count` appends take effect and answers them as unknown. */
  loseAnswers(count: number): void;
  /** Answers the next `count` appends as unknown and lets them take effect after `delay`. */
  lateEffects(count: number, delay: Millis): void;
  /** Answers the next `count` appends as unknown without any effect. */
  dropAppends(count: number): void;
  /** Lets each of the next `count` appends take effect twice. */
  duplicate(count: number): void;
  /** Limits appends over all streams; above the rate they answer `overloaded`. */
  limitAppends(perSecond: number | undefined): void;
  /** Drops the entries of a stream before `offset`. */
  trim(stream: string, offset: number): void;
  entries(stream: string): readonly LogEntry[];
  head(stream: string): number;
  /** Appends answered with an offset, and bytes read, since the start. */
  totals(): { readonly appends: number; readonly readBytes: number };
}

interface Kept extends LogEntry {
  readonly at: number;
}

interface Stream {
  entries: Kept[];
  head: number;
  first: number;
  readonly waiting: Set<() => void>;
}

type Fault =
  | { readonly kind: 'lose' }
  | { readonly kind: 'drop' }
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'late'; readonly delay: Millis };

const RATE_WINDOW_MS = 100;

interface State {
  readonly options: MemoryLogOptions;
  readonly schedule: Schedule;
  readonly streams: Map<string, Stream>;
  readonly faults: Fault[];
  readonly allow: (perSecond: number) => boolean;
  readonly delay: { appendMs: Millis; readMs: Millis };
  readonly totals: { appends: number; readBytes: number };
  outage: boolean;
  perSecond: number | undefined;
}

/** Creates an empty log. */
export function createMemoryLog(options: MemoryLogOptions): MemoryLog {
  const state: State = {
    options,
    schedule: options.schedule ?? scheduleByTimeout,
    streams: new Map(),
    faults: [],
    allow: createRateLimit(options.clock),
    delay: { appendMs: 0, readMs: 0 },
    totals: { appends: 0, readBytes: 0 },
    outage: false,
    perSecond: undefined,
  };
  return {
    append: (stream, payload) => append(state, stream, payload),
    read: req => read(state, req),
    setOutage: on => {
      setOutage(state, on);
    },
    setDelay: change => void Object.assign(state.delay, change),
    loseAnswers: count => {
      addFaults(state, count, { kind: 'lose' });
    },
    lateEffects: (count, delay) => {
      addFaults(state, count, { kind: 'late', delay });
    },
    dropAppends: count => {
      addFaults(state, count, { kind: 'drop' });
    },
    duplicate: count => {
      addFaults(state, count, { kind: 'duplicate' });
    },
    limitAppends: rate => {
      state.perSecond = rate;
    },
    trim: (stream, offset) => {
      trim(streamOf(state, stream), offset);
    },
    entries: stream => streamOf(state, stream).entries,
    head: stream => streamOf(state, stream).head,
    totals: () => ({ ...state.totals }),
  };
}

function streamOf(state: State, name: string): Stream {
  let stream = state.streams.get(name);
  if (stream === undefined) {
    stream = { entries: [], head: 0, first: 0, waiting: new Set() };
    state.streams.set(name, stream);
  }
  expire(state, stream);
  return stream;
}

function expire({ options }: State, stream: Stream): void {
  if (options.retainMs === undefined) {
    return;
  }
  const oldest = options.clock() - options.retainMs;
  const kept = stream.entries.findIndex(entry => entry.at >= oldest);
  trim(stream, kept === -1 ? stream.head : stream.first + kept);
}

function trim(stream: Stream, offset: number): void {
  const first = Math.min(offset, stream.head);
  if (first > stream.first) {
    stream.entries.splice(0, first - stream.first);
    stream.first = first;
  }
}

function keep(state: State, name: string, payload: string): number {
  const stream = streamOf(state, name);
  const offset = stream.head++;
  stream.entries.push({ offset, payload, at: state.options.clock() });
  wakeAll(stream);
  return offset;
}

async function append(
  state: State,
  name: string,
  payload: string,
): Promise<Result<number, AppError>> {
  if (state.outage) {
    return Result.err(unavailable('not_run'));
  }
  if (state.perSecond !== undefined && !state.allow(state.perSecond)) {
    return Result.err(overloaded());
  }
  const fault = state.faults.shift();
  await sleep(state, state.delay.appendMs / 2);
  const offset = keepUnder(state, fault, name, payload);
  await sleep(state, state.delay.appendMs / 2);
  return offset === undefined || isDown(state)
    ? Result.err(unavailable('unknown'))
    : Result.ok(offset);
}

function isDown(state: State): boolean {
  return state.outage;
}

/** Keeps the entry as the fault says; undefined when the answer is lost. */
function keepUnder(
  state: State,
  fault: Fault | undefined,
  name: string,
  payload: string,
): number | undefined {
  const keepOnce = (): number => keep(state, name, payload);
  switch (fault?.kind) {
    case 'drop':
      return undefined;
    case 'late':
      state.schedule(fault.delay, keepOnce);
      return undefined;
    case 'lose':
      keepOnce();
      return undefined;
    case 'duplicate':
      keepOnce();
      break;
    case undefined:
      break;
  }
  state.totals.appends++;
  return keepOnce();
}

async function read(
  state: State,
  req: ReadRequest,
): Promise<Result<LogPage, AppError>> {
  await sleep(state, state.delay.readMs / 2);
  const stream = streamOf(state, req.stream);
  if (!state.outage && req.from >= stream.head && req.waitMs > 0) {
    await entryOrTimeout(state, stream, req);
  }
  await sleep(state, state.delay.readMs / 2);
  return state.outage
    ? Result.err(unavailable('not_run'))
    : pageOf(state, streamOf(state, req.stream), req);
}

function entryOrTimeout(
  { schedule }: State,
  stream: Stream,
  req: ReadRequest,
): Promise<void> {
  return new Promise(resolve => {
    const wake = (): void => {
      stream.waiting.delete(wake);
      cancel();
      req.signal?.removeEventListener('abort', wake);
      resolve();
    };
    const cancel = schedule(req.waitMs, wake);
    stream.waiting.add(wake);
    req.signal?.addEventListener('abort', wake);
  });
}

function pageOf(
  state: State,
  stream: Stream,
  req: ReadRequest,
): Result<LogPage, AppError> {
  const { entries, first, head } = stream;
  if (req.from < first) {
    return Result.err(
      appError('log_trimmed', `The stream begins at ${first}.`),
    );
  }
  const from = req.from - first;
  const page = entries.slice(from, from + req.limit);
  for (const entry of page) {
    state.totals.readBytes += entry.payload.length;
  }
  return Result.ok({ entries: page, first, head });
}

function setOutage(state: State, on: boolean): void {
  state.outage = on;
  if (on) {
    state.streams.forEach(wakeAll);
  }
}

function addFaults({ faults }: State, count: number, fault: Fault): void {
  for (let i = 0; i < count; i++) {
    faults.push(fault);
  }
}

function sleep({ schedule }: State, span: Millis): Promise<void> {
  return span > 0
    ? new Promise(resolve => schedule(span, resolve))
    : Promise.resolve();
}

function wakeAll(stream: Stream): void {
  for (const wake of [...stream.waiting]) {
    wake();
  }
}

function createRateLimit(clock: Clock): (perSecond: number) => boolean {
  let tokens = 0;
  let filledAt = -Infinity;
  return perSecond => {
    const burst = Math.max(1, (perSecond * RATE_WINDOW_MS) / 1_000);
    const gained = ((clock() - filledAt) * perSecond) / 1_000;
    tokens = Math.min(burst, tokens + gained);
    filledAt = clock();
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  };
}

function unavailable(outcome: 'not_run' | 'unknown'): AppError {
  return appError('log_unavailable', 'The log does not answer.', { outcome });
}

function overloaded(): AppError {
  return appError('overloaded', 'The log is over its append rate.', {
    outcome: 'not_run',
    retryAfterMs: RATE_WINDOW_MS,
  });
}
