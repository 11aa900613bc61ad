/** A plain HTTP server for callers: bounded bodies, and an end that loses no request. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type { Clock, Millis } from '@paddlewind/domain';

import { splitAddress } from '../listening.js';

/** A caller's request, read whole. */
export interface CallerRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** The answer to a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Answers requests. */
export type Handler = (req: CallerRequest) => Promise<CallerAnswer>;

/** A listening server. */
export interface CallerServer {
  readonly port: number;
  /** Answers what is under way, closes idle connections and stops; resolves when all are closed. */
  close(): Promise<void>;
}

/** What a front is given. */
export interface HttpFrontOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly maxBodyBytes: () => number;
  readonly handle: Handler;
  readonly failed: (err: unknown) => void;
  /** Told of each answer, with the time since the request's head was read. */
  readonly answered?: (method: string, status: number, span: Millis) => void;
  /** Monotonic. */
  readonly clock: Clock;
}

/** How long an idle connection is kept, in milliseconds. */
const IDLE_MS = 60_000;

/** Begins to listen. */
export async function startCallerServer(
  options: HttpFrontOptions,
): Promise<CallerServer> {
  let closing = false;
  const server = createServer((req, res) => {
    void serve(req, res);
  });
  server.keepAliveTimeout = IDLE_MS;
  await listen(server, options.address);

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const begunAt = options.clock();
    const answer = (found: CallerAnswer, last: boolean): void => {
      send(res, found, last);
      const span = options.clock() - begunAt;
      options.answered?.(req.method ?? '', found.status, span);
    };
    try {
      const body = await readBody(req, options.maxBodyBytes());
      const found =
        body === undefined
          ? { status: 413 }
          : await options.handle(toRequest(req, body));
      answer(found, closing);
    } catch (err) {
      options.failed(err);
      answer({ status: 500 }, true);
    }
  }

  return {
    port: (server.address() as { port: number }).port,
    close: () => {
      closing = true;
      return new Promise(resolve => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      });
    },
  };
}

function listen(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(splitAddress(address), () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Returns undefined when the body is larger than allowed. */
async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    const part = chunk as Buffer;
    bytes += part.length;
    if (bytes <= maxBytes) {
      chunks.push(part);
    }
  }
  return bytes > maxBytes ? undefined : Buffer.concat(chunks);
}

function toRequest(req: IncomingMessage, body: Buffer): CallerRequest {
  return {
    method: req.method ?? '',
    host: req.headers.host ?? '',
    path: req.url ?? '',
    headers: req.headers,
    body,
  };
}

function send(
  res: ServerResponse,
  { status, headers, body }: CallerAnswer,
  last: boolean,
): void {
  const text = body ?? '';
  res.writeHead(status, {
    ...headers,
    ...(text === '' ? {} : { 'content-type': 'application/json' }),
    'content-length': Buffer.byteLength(text),
    ...(last ? { connection: 'close' } : {}),
  });
  res.end(text);
}
