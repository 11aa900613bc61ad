/** Relays a backend server's answer to the caller, and breaks it off when it is not whole. */
import type { ServerResponse } from 'node:http';

import type { AnswerSink } from './backend-try.js';
import { hasNoBody, readTrailers, type ResponseHead } from './response-head.js';

/** The caller's side of one exchange. */
export interface AnswerRelay extends AnswerSink {
  /** Whether the head of an answer was sent. */
  begun(): boolean;
  /** Ends a whole answer; false when it turns out too short and was broken off. */
  end(trailers: readonly Buffer[]): boolean;
  /** Makes sure that the caller sees the answer as broken. */
  breakOff(): void;
}

/** Settings of a relay. */
export interface RelayOptions {
  readonly res: ServerResponse;
  readonly method: string;
  readonly passTrailers: boolean;
  /** Whether the connection to the caller ends with this answer. */
  readonly closing: () => boolean;
}

/** A caller that leaves more than this unread is cut off after the flush time. */
const FLUSH_BYTES = 64 * 1024;
const FLUSH_MS = 30_000;

/** Creates a relay. */
export function createAnswerRelay(options: RelayOptions): AnswerRelay {
  const { res, method } = options;
  let begun = false;
  let bodiless = false;
  let missing: number | undefined;
  /** The last piece waits until the answer is known to be whole. */
  let last: Buffer | undefined;

  return {
    begin(head) {
      begun = true;
      bodiless = hasNoBody(head.status, method);
      missing = bodiless ? undefined : head.contentLength;
      writeHead(res, head, options.closing());
      return true;
    },
    write(chunk) {
      if (missing !== undefined) {
        missing -= chunk.length;
        if (missing === 0) {
          last = chunk;
          return true;
        }
      }
      return res.write(chunk);
    },
    onDrain(listener) {
      res.once('drain', listener);
    },
    begun: () => begun,
    end(trailers) {
      if (missing !== undefined && missing !== 0) {
        breakOff(res);
        return false;
      }
      if (options.passTrailers && trailers.length > 0 && !bodiless) {
        res.addTrailers(readTrailers(trailers));
      }
      res.end(last);
      limitFlush(res);
      return true;
    },
    breakOff() {
      breakOff(res);
    },
  };
}

function writeHead(
  res: ServerResponse,
  head: ResponseHead,
  closing: boolean,
): void {
  const { headers } = head;
  if (closing) {
    headers.push('connection', 'close');
  }
  res.writeHead(head.status, head.statusText, headers);
}

/** Resets the connection: an answer that ends with the connection would look whole after a close. */
function breakOff(res: ServerResponse): void {
  const { socket } = res;
  if (socket === null) {
    res.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

function limitFlush(res: ServerResponse): void {
  if (res.writableLength <= FLUSH_BYTES) {
    return;
  }
  const timer = setTimeout(() => res.destroy(), FLUSH_MS);
  timer.unref();
  res.once('close', () => {
    clearTimeout(timer);
  });
}
