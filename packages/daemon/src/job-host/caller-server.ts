/** A plain HTTP server for callers, with bounded bodies and a graceful shutdown. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import type { Clock, Millis } from '@paddlewind/domain';

import { splitAddress } from '../listening.js';

/** A caller's request with its whole body. */
export interface CallerRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** The response to a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Handles requests. */
export type Handler = (req: CallerRequest) => Promise<CallerAnswer>;

/** A listening server. */
export interface CallerServer {
  readonly port: number;
  /** Completes requests in flight, closes idle connections and stops; resolves when all are closed. */
  close(): Promise<void>;
}

/** Options of the server. */
export interface CallerServerOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly maxBodyBytes: () => number;
  readonly handle: Handler;
  readonly onError: (err: unknown) => void;
  /** Called after each response with the time since the head of the request was read. */
  readonly onAnswered?: (method: string, status: number, span: Millis) => void;
  /** Monotonic. */
  readonly clock: Clock;
}

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Starts listening. */
export async function startCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  let closing = false;
  const server = createServer((req, res) => {
    void serve(req, res);
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await listen(server, options.address);

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const startedAt = options.clock();
    const answer = (found: CallerAnswer, last: boolean): void => {
      send(res, found, last);
      const span = options.clock() - startedAt;
      options.onAnswered?.(req.method ?? '', found.status, span);
    };
    try {
      const body = await readBody(req, options.maxBodyBytes());
      const found =
        body === undefined
          ? { status: 413 }
          : await options.handle(toRequest(req, body));
      answer(found, closing);
    } catch (err) {
      options.onError(err);
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

/** Returns undefined if the body is larger than `maxBytes`. */
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
