/** A small HTTP server that speaks JSON, shared by the stand-ins. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

import type { z } from 'zod';

/** Largest body that a stand-in reads, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** An answer: a status with a JSON body, or a connection that breaks without one. */
export type Reply =
  | {
      readonly kind: 'json';
      readonly status: number;
      readonly body: unknown;
      readonly headers?: Readonly<Record<string, string>>;
    }
  | { readonly kind: 'not_modified' }
  | { readonly kind: 'broken' };

/** A request with its parsed URL and its body as text. */
export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
  readonly ifNoneMatch: string | undefined;
  readonly signal: AbortSignal;
}

/** Answers one request; a thrown error is answered with 500. */
export type JsonHandler = (req: JsonRequest) => Promise<Reply> | Reply;

/** A listening server. */
export interface Listener {
  /** `ip:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Where a server listens; port 0 picks a free one. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** Builds a JSON answer. */
export function json(
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Reply {
  return { kind: 'json', status, body, headers };
}

/** Builds an answer that breaks the connection. */
export function broken(): Reply {
  return { kind: 'broken' };
}

/** Checks `text` as JSON of `schema`; the error tells path and expectation. */
export function parseBody<T extends z.ZodType>(
  schema: T,
  text: string,
): { readonly value: z.output<T> } | { readonly error: string } {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { error: 'The body is not JSON.' };
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return { value: parsed.data };
  }
  const issue = parsed.error.issues[0];
  return { error: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` };
}

/** Starts a JSON server. */
export async function startJsonServer(
  handler: JsonHandler,
  options: ListenOptions = {},
): Promise<Listener> {
  const server = http.createServer((req, res) => {
    void serve(handler, req, res);
  });
  return listen(server, options);
}

/** Listens with `server`; closing it also ends the open connections. */
export async function listen(
  server: http.Server,
  options: ListenOptions,
): Promise<Listener> {
  const host = options.host ?? '127.0.0.1';
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { address: `${host}:${port}`, close: () => closeServer(server) };
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

async function serve(
  handler: JsonHandler,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const abort = new AbortController();
  res.on('close', () => {
    abort.abort();
  });
  const body = await readBody(req);
  if (body === undefined) {
    send(res, json(413, { error: 'The body is too large.' }));
    return;
  }
  const url = new URL(req.url ?? '/', 'http://stand-in');
  const method = req.method ?? 'GET';
  try {
    const ifNoneMatch = req.headers['if-none-match'];
    const { signal } = abort;
    send(res, await handler({ method, url, body, ifNoneMatch, signal }));
  } catch (err) {
    send(res, json(500, { error: String(err) }));
  }
}

async function readBody(
  req: http.IncomingMessage,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      const bytes = chunk as Buffer;
      size += bytes.length;
      if (size > MAX_BODY_BYTES) {
        return undefined;
      }
      chunks.push(bytes);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(res: http.ServerResponse, reply: Reply): void {
  if (res.destroyed) {
    return;
  }
  switch (reply.kind) {
    case 'broken':
      res.destroy();
      return;
    case 'not_modified':
      res.writeHead(304);
      res.end();
      return;
    case 'json': {
      const body = JSON.stringify(reply.body);
      res.writeHead(reply.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        ...reply.headers,
      });
      res.end(body);
    }
  }
}
