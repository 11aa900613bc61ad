/** The body of a caller's request on its way to a backend server. */
import type { IncomingMessage } from 'node:http';
import { PassThrough, type Readable } from 'node:stream';

import type { BodyFraming } from './request-head.js';

/** A body that is absent, read whole, or streamed. */
export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | {
      readonly kind: 'streamed';
      readonly length: number | undefined;
      /** Returns the stream, the same at every call: what was read of it is gone. */
      readonly open: () => Readable;
    };

/** Limits of a streamed body, and what happens at them. */
export interface StreamLimits {
  readonly maxBytes: number;
  readonly idleTimeoutMs: number;
  readonly onTooLong: () => void;
  readonly onIdle: () => void;
}

/** Tells whether a body framed so is read whole before it is sent. */
export function isBuffered(framing: BodyFraming, maxBytes: number): boolean {
  return framing.kind === 'length' && framing.length <= maxBytes;
}

/** Reads the body whole; `done` is not called when the caller breaks off. */
export function bufferBody(
  req: IncomingMessage,
  done: (bytes: Buffer) => void,
): void {
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
  });
  req.once('end', () => {
    const [first] = chunks;
    const only = chunks.length === 1 && first !== undefined;
    done(only ? first : Buffer.concat(chunks));
  });
}

/**
 * Streams the body through a stream of its own: the HTTP library destroys what it
 * sends from, and the caller's connection must outlive that.
 */
export function streamBody(
  req: IncomingMessage,
  framing: BodyFraming,
  limits: StreamLimits,
): RequestBody {
  let stream: Readable | undefined;
  return {
    kind: 'streamed',
    length: framing.kind === 'length' ? framing.length : undefined,
    open: () => (stream ??= openStream(req, limits)),
  };
}

function openStream(req: IncomingMessage, limits: StreamLimits): Readable {
  const through = new PassThrough();
  let received = 0;
  through.on('error', () => undefined);
  const timer = setInterval(() => {
    // A server that reads slowly is no fault of the caller's.
    if (!through.writableNeedDrain) {
      clearInterval(timer);
      limits.onIdle();
    }
  }, limits.idleTimeoutMs);
  timer.unref();
  req.on('data', (chunk: Buffer) => {
    timer.refresh();
    received += chunk.length;
    if (received > limits.maxBytes) {
      req.unpipe(through);
      limits.onTooLong();
    }
  });
  for (const event of ['end', 'close']) {
    req.once(event, () => {
      clearInterval(timer);
    });
  }
  req.pipe(through);
  return through;
}
