/** Stand-in for a backend server: slots, a limit on connections, slowness and broken answers. */
import http from 'node:http';
import type { Socket } from 'node:net';

import { z } from 'zod';

import { noEvents, type EventSink } from '../events/events.js';
import {
  CONTROL_PATH,
  createFaultControl,
  handleControl,
  type FaultControl,
} from '../http/faults.js';
import {
  listen,
  type ListenOptions,
  type Listener,
} from '../http/json-server.js';
import { sleep } from '../http/timers.js';
import { createSlots, type Slots } from './slots.js';

/** Faults of a backend server. */
export interface BackendFaults {
  /** Time that a request takes in its slot, in milliseconds. */
  readonly serviceMs: number;
  /** Random part of the time as a share, 0 to 1. */
  readonly jitter: number;
  /** Factor on the time, such as of a noisy neighbour. */
  readonly slowdown: number;
  /** Share of the requests whose answer goes wrong as `brokenKind` says. */
  readonly brokenShare: number;
  readonly brokenKind: 'reset' | 'half' | 'error';
}

/** Counters of a backend server. */
export interface BackendCounters {
  readonly requests: number;
  readonly answered: number;
  readonly broken: number;
  readonly abandoned: number;
  readonly connections: number;
  readonly mostConnections: number;
  readonly refusedConnections: number;
  readonly mostInSlots: number;
  readonly mostWaiting: number;
}

/** Options of a backend server. */
export interface BackendServerOptions extends ListenOptions {
  readonly backend: string;
  readonly slots?: number;
  readonly connections?: number;
  readonly faults?: Partial<BackendFaults>;
  readonly random?: () => number;
  readonly onEvent?: EventSink;
}

/** A running backend server. */
export interface BackendServer extends Listener {
  readonly control: FaultControl<BackendFaults>;
  counters(): BackendCounters;
}

/** Header that carries the caller's request id; the answer echoes it. */
export const REQUEST_ID_HEADER = 'x-request-id';

const COUNTERS_PATH = '/counters';
const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const KEEP_ALIVE_MS = 60_000;

const NO_FAULTS: BackendFaults = {
  serviceMs: 5,
  jitter: 0,
  slowdown: 1,
  brokenShare: 0,
  brokenKind: 'reset',
};

const faultsSchema = z
  .strictObject({
    serviceMs: z.number().nonnegative(),
    jitter: z.number().min(0).max(1),
    slowdown: z.number().positive(),
    brokenShare: z.number().min(0).max(1),
    brokenKind: z.enum(['reset', 'half', 'error']),
  })
  .partial();

type MutableCounters = { -readonly [K in keyof BackendCounters]: number };

interface Parts {
  readonly options: BackendServerOptions;
  readonly control: FaultControl<BackendFaults>;
  readonly slots: Slots;
  readonly counters: MutableCounters;
  readonly onEvent: EventSink;
  /** Aborts when the server closes, so that no request holds its slot longer. */
  readonly closing: AbortController;
}

/** Starts a backend server. */
export async function startBackendServer(
  options: BackendServerOptions,
): Promise<BackendServer> {
  const parts: Parts = {
    options,
    control: createFaultControl({ ...NO_FAULTS, ...options.faults }),
    slots: createSlots(options.slots ?? DEFAULT_SLOTS),
    counters: noCounters(),
    onEvent: options.onEvent ?? noEvents,
    closing: new AbortController(),
  };
  const server = http.createServer((req, res) => {
    void serve(parts, req, res);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.on('connection', socket => {
    admitConnection(parts, socket);
  });
  const listener = await listen(server, options);
  parts.onEvent({ type: 'backend_up', backend: options.backend });
  return {
    address: listener.address,
    async close() {
      await listener.close();
      parts.closing.abort();
    },
    control: parts.control,
    counters: () => snapshot(parts),
  };
}

function noCounters(): MutableCounters {
  return {
    requests: 0,
    answered: 0,
    broken: 0,
    abandoned: 0,
    connections: 0,
    mostConnections: 0,
    refusedConnections: 0,
    mostInSlots: 0,
    mostWaiting: 0,
  };
}

function snapshot({ counters, slots }: Parts): BackendCounters {
  const { mostInUse, mostWaiting } = slots.peaks();
  return { ...counters, mostInSlots: mostInUse, mostWaiting };
}

function admitConnection({ counters, options }: Parts, socket: Socket): void {
  const limit = options.connections ?? DEFAULT_CONNECTIONS;
  if (counters.connections >= limit) {
    counters.refusedConnections += 1;
    socket.destroy();
    return;
  }
  counters.connections += 1;
  const most = Math.max(counters.mostConnections, counters.connections);
  counters.mostConnections = most;
  socket.on('close', () => {
    counters.connections -= 1;
  });
}

async function serve(
  parts: Parts,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const body = await readAll(req);
  if (body === undefined) {
    res.destroy();
    return;
  }
  if (req.url === CONTROL_PATH || req.url === COUNTERS_PATH) {
    serveControl(parts, req, res, body);
    return;
  }
  await serveRequest(parts, req, res, body);
}

function serveControl(
  parts: Parts,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: Buffer,
): void {
  const method = req.method ?? 'GET';
  const reply =
    req.url === COUNTERS_PATH
      ? { kind: 'json' as const, status: 200, body: snapshot(parts) }
      : handleControl(parts.control, faultsSchema, {
          method,
          body: body.toString('utf8'),
        });
  if (reply.kind === 'json') {
    res.writeHead(reply.status, { 'content-type': 'application/json' });
    res.end(JSON.stringify(reply.body));
  }
}

async function serveRequest(
  parts: Parts,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: Buffer,
): Promise<void> {
  const { backend } = parts.options;
  const method = req.method ?? 'GET';
  const request = headerText(req.headers[REQUEST_ID_HEADER]);
  parts.counters.requests += 1;
  parts.onEvent({ type: 'request_began', backend, request, method });
  const release = await parts.slots.take();
  await sleep(serviceTime(parts), parts.closing.signal);
  release();
  const answer = res.destroyed ? 'abandoned' : reply(parts, req, res, body);
  count(parts.counters, answer);
  parts.onEvent({ type: 'request_ended', backend, request, answer });
}

function headerText(value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}

function serviceTime({ control, options }: Parts): number {
  const { serviceMs, jitter, slowdown } = control.faults();
  const random = options.random ?? Math.random;
  return serviceMs * slowdown * (1 + jitter * (2 * random() - 1));
}

function count(
  counters: MutableCounters,
  answer: 'whole' | 'broken' | 'abandoned',
): void {
  switch (answer) {
    case 'whole':
      counters.answered += 1;
      break;
    case 'broken':
      counters.broken += 1;
      break;
    case 'abandoned':
      counters.abandoned += 1;
      break;
  }
}

/** Answers with what was asked, so that a caller can tell its own answer from another's. */
function reply(
  { options, control }: Parts,
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: Buffer,
): 'whole' | 'broken' {
  const request = headerText(req.headers[REQUEST_ID_HEADER]);
  const text = JSON.stringify({
    backend: options.backend,
    request,
    method: req.method,
    url: req.url,
    body: body.toString('utf8'),
  });
  const headers = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [REQUEST_ID_HEADER]: request,
  };
  const { brokenShare, brokenKind } = control.faults();
  const random = options.random ?? Math.random;
  if (brokenShare > 0 && random() < brokenShare) {
    breakAnswer(res, brokenKind, text, headers);
    return 'broken';
  }
  res.writeHead(200, headers);
  res.end(text);
  return 'whole';
}

function breakAnswer(
  res: http.ServerResponse,
  kind: BackendFaults['brokenKind'],
  text: string,
  headers: http.OutgoingHttpHeaders,
): void {
  switch (kind) {
    case 'reset':
      res.destroy();
      return;
    case 'error':
      res.writeHead(500, { 'content-type': 'text/plain' });
      res.end('fault');
      return;
    case 'half':
      res.writeHead(200, headers);
      res.write(text.slice(0, text.length / 2), () => res.destroy());
  }
}

async function readAll(req: http.IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
