/** Minimal HTTP server with raw bodies, shared by the platform's test doubles. */
import http from 'node:http';
import { buffer } from 'node:stream/consumers';

import { listen, type Listener } from '../http/json-server.js';

/** A request with its body. */
export interface RawRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A response; a handler that returns `undefined` leaves the request unanswered. */
export interface RawReply {
  readonly status: number;
  readonly body: Buffer | string;
}

/** Handles one request. */
export type RawHandler = (req: RawRequest) => Promise<RawReply | undefined>;

/** Starts a server on a port of the loopback interface; 0 picks a free one. */
export function startRawServer(
  handler: RawHandler,
  port = 0,
): Promise<Listener> {
  const server = http.createServer((req, res) => {
    void serve(handler, req, res);
  });
  return listen(server, { port });
}

async function serve(
  handler: RawHandler,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const reply = await handler({
    method: req.method ?? '',
    url: new URL(req.url ?? '/', 'http://stand-in'),
    headers: req.headers,
    body: await buffer(req),
  });
  if (reply !== undefined && !res.destroyed) {
    res.writeHead(reply.status, {
      'content-length': Buffer.byteLength(reply.body),
    });
    res.end(reply.body);
  }
}

/** Creates a JSON response. */
export function jsonReply(status: number, body: unknown): RawReply {
  return { status, body: JSON.stringify(body) };
}
