/** Stand-in for the log service over HTTP, on the log in memory. */
import type { AppError } from '@paddlewind/domain';
import { z } from 'zod';

import {
  CONTROL_PATH,
  createFaultControl,
  handleControl,
  type FaultControl,
} from '../http/faults.js';
import {
  broken,
  json,
  parseBody,
  startJsonServer,
  type JsonRequest,
  type ListenOptions,
  type Listener,
  type Reply,
} from '../http/json-server.js';
import { sleep } from '../http/timers.js';
import { createMemoryLog, type MemoryLog } from '../memory/memory-log.js';

const LONGEST_WAIT_MS = 60_000;
const LONGEST_PAGE = 10_000;
const DEFAULT_PAGE = 100;

/** Faults of the log service; counts add to those still to come. */
export interface LogFaults {
  /** `refuse` answers 503, `hang` answers nothing, `reset` breaks the connection; none takes effect. */
  readonly outage: 'none' | 'refuse' | 'hang' | 'reset';
  /** Delay of each answer in milliseconds. */
  readonly slowMs: number;
  /** The next so many appends take effect but their answers are lost. */
  readonly loseAnswers: number;
  /** The next so many appends have no effect and their answers are lost. */
  readonly dropAppends: number;
  /** The next so many appends are kept twice, as by a resending network. */
  readonly duplicate: number;
  /** Appends accepted in a second over all streams. */
  readonly appendsPerSecond: number;
}

/** Options of the log service. */
export interface LogServerOptions extends ListenOptions {
  /** Entries kept in each stream. */
  readonly retain?: number;
  /** Time that entries are kept, in milliseconds. */
  readonly retainMs?: number;
  readonly faults?: Partial<LogFaults>;
}

/** A running log service. */
export interface LogServer extends Listener {
  readonly control: FaultControl<LogFaults>;
  readonly memory: MemoryLog;
}

const count = z.int().nonnegative();

const faultsSchema = z
  .strictObject({
    outage: z.enum(['none', 'refuse', 'hang', 'reset']),
    slowMs: z.number().nonnegative(),
    loseAnswers: count,
    dropAppends: count,
    duplicate: count,
    appendsPerSecond: z.number().positive(),
  })
  .partial();

const appendSchema = z.strictObject({ payload: z.string() });

const NO_FAULTS: LogFaults = {
  outage: 'none',
  slowMs: 0,
  loseAnswers: 0,
  dropAppends: 0,
  duplicate: 0,
  appendsPerSecond: 500,
};

/** Starts a log service. */
export async function startLogServer(
  options: LogServerOptions = {},
): Promise<LogServer> {
  const memory = createMemoryLog({
    clock: () => performance.now(),
    ...(options.retainMs === undefined ? {} : { retainMs: options.retainMs }),
  });
  const control = createFaultControl(NO_FAULTS, patch => {
    applyTo(memory, patch);
  });
  control.set({ ...NO_FAULTS, ...options.faults });
  const listener = await startJsonServer(async req => {
    if (req.url.pathname === CONTROL_PATH) {
      return handleControl(control, faultsSchema, req);
    }
    const stream = streamName(req.url.pathname);
    if (stream === undefined) {
      return json(404, { error: 'expected /streams/NAME/entries' });
    }
    const fault = await outageReply(control.faults().outage, req.signal);
    if (fault !== undefined) {
      return fault;
    }
    return req.method === 'POST'
      ? append(memory, options.retain, stream, req)
      : read(memory, stream, req);
  }, options);
  return { ...listener, control, memory };
}

function applyTo(memory: MemoryLog, patch: Partial<LogFaults>): void {
  if (patch.outage !== undefined) {
    memory.setOutage(patch.outage !== 'none');
  }
  if (patch.slowMs !== undefined) {
    memory.setDelay({ appendMs: patch.slowMs, readMs: patch.slowMs });
  }
  if (patch.appendsPerSecond !== undefined) {
    memory.limitAppends(patch.appendsPerSecond);
  }
  memory.loseAnswers(patch.loseAnswers ?? 0);
  memory.dropAppends(patch.dropAppends ?? 0);
  memory.duplicate(patch.duplicate ?? 0);
}

function streamName(path: string): string | undefined {
  const match = /^\/streams\/([^/]+)\/entries$/.exec(path);
  return match?.[1] === undefined ? undefined : decodeURIComponent(match[1]);
}

async function outageReply(
  outage: LogFaults['outage'],
  signal: AbortSignal,
): Promise<Reply | undefined> {
  switch (outage) {
    case 'none':
    case 'refuse':
      return undefined;
    case 'reset':
      return broken();
    case 'hang':
      await sleep(LONGEST_WAIT_MS, signal);
      return broken();
  }
}

async function append(
  memory: MemoryLog,
  retain: number | undefined,
  stream: string,
  req: JsonRequest,
): Promise<Reply> {
  const parsed = parseBody(appendSchema, req.body);
  if ('error' in parsed) {
    return json(400, { error: parsed.error });
  }
  const appended = await memory.append(stream, parsed.value.payload);
  if (appended.isErr) {
    return errorReply(appended.error);
  }
  const offset = appended.value;
  if (retain !== undefined) {
    memory.trim(stream, offset + 1 - retain);
  }
  return json(201, { offset });
}

function errorReply(err: AppError): Reply {
  if (err.kind === 'overloaded') {
    return json(429, { error: err.message }, { 'retry-after': '1' });
  }
  if (err.kind === 'log_trimmed') {
    return json(410, { error: err.message });
  }
  return err.outcome === 'unknown'
    ? broken()
    : json(503, { error: err.message });
}

async function read(
  memory: MemoryLog,
  stream: string,
  req: JsonRequest,
): Promise<Reply> {
  const from = numberParam(req.url, 'from', 0, Number.MAX_SAFE_INTEGER);
  const limit = numberParam(req.url, 'limit', DEFAULT_PAGE, LONGEST_PAGE);
  const waitMs = numberParam(req.url, 'wait_ms', 0, LONGEST_WAIT_MS);
  if (from === undefined || limit === undefined || waitMs === undefined) {
    return json(400, { error: 'from, limit and wait_ms are whole numbers' });
  }
  const { signal } = req;
  const page = await memory.read({ stream, from, limit, waitMs, signal });
  return page.isErr ? errorReply(page.error) : json(200, page.value);
}

function numberParam(
  url: URL,
  name: string,
  fallback: number,
  max: number,
): number | undefined {
  const value = Number(url.searchParams.get(name) ?? fallback);
  const valid = Number.isSafeInteger(value) && value >= 0;
  return valid ? Math.min(value, max) : undefined;
}
