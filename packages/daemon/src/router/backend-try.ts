/** One try of a request at one backend server, and the relay of its answer. */
import type { Readable } from 'node:stream';

import type { Instant, TryResult } from '@paddlewind/domain';
import type { Dispatcher as HttpDispatcher } from 'undici';

import type { Stop } from '../parts.js';

import {
  isRegularClose,
  type Connection,
  type ConnectionPool,
} from './connection-pool.js';
import type { RequestBody } from './request-body.js';
import {
  hasNoBody,
  readResponseHead,
  type ResponseHead,
} from './response-head.js';

/** How a try ended. */
export interface TryEnd {
  readonly result: TryResult;
  /** Whether any byte of the request may have reached the server. */
  readonly sent: boolean;
  readonly reason: string;
}

/** Takes the parts of an answer. */
export interface AnswerSink {
  /** Offers the answer; false declines it, and the try is given up. */
  readonly begin: (head: ResponseHead) => boolean;
  /** Takes a piece of the body; false asks to wait for `onDrain`. */
  readonly write: (chunk: Buffer) => boolean;
  readonly onDrain: (listener: () => void) => void;
}

/** What a try needs. */
export interface TryOptions {
  readonly pool: ConnectionPool;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly idempotent: boolean;
  readonly clock: () => Instant;
  readonly sink: AnswerSink;
  /** Called when the connection is up, before the first byte is sent. */
  readonly onSending: () => void;
  /** Called once, with the trailers of a whole answer. */
  readonly onEnd: (end: TryEnd, trailers: readonly Buffer[]) => void;
}

/** A running try. */
export interface BackendTry {
  /** When the connection was up; undefined before. */
  sentAt(): Instant | undefined;
  /** Gives the try up; `onEnd` follows with this result, or `not_sent`. */
  cancel(result: TryResult, reason: string): void;
}

/** The library's callbacks with raw headers, which spare building objects of them. */
interface RawHandler {
  onConnect(abort: (err: Error) => void): void;
  onBodySent(): void;
  onRequestSent(): void;
  onHeaders(
    status: number,
    headers: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean;
  onData(chunk: Buffer): boolean;
  onComplete(trailers: Buffer[] | null): void;
  onError(err: Error): void;
}

const NO_TRAILERS: readonly Buffer[] = [];
const NOT_SENT: TryResult = { kind: 'not_sent' };
const BROKEN: TryResult = { kind: 'broken' };

/** The state of a try. */
interface TryState {
  readonly options: TryOptions;
  connection: Connection | undefined;
  abort: ((err: Error) => void) | undefined;
  canceled: { readonly result: TryResult; readonly reason: string } | undefined;
  sentAt: Instant | undefined;
  sent: boolean;
  status: number;
  resume: () => void;
  /** Until `startTry` has returned, its caller has no handle to be told about. */
  starting: boolean;
  ended: boolean;
}

/** Starts a try as soon as the pool has a connection for it. */
export function startTry(options: TryOptions): BackendTry {
  const state: TryState = {
    options,
    connection: undefined,
    abort: undefined,
    canceled: undefined,
    sentAt: undefined,
    sent: false,
    status: 0,
    resume: () => undefined,
    starting: true,
    ended: false,
  };
  const withdraw = options.pool.acquire(!options.idempotent, found => {
    useConnection(state, found);
  });
  state.starting = false;
  return {
    sentAt: () => state.sentAt,
    cancel(result, reason) {
      state.canceled ??= { result, reason };
      cancelTry(state, withdraw);
    },
  };
}

function useConnection(state: TryState, found: Connection | undefined): void {
  state.connection = found;
  if (found === undefined) {
    fail(state, 'the backend server is gone');
  } else {
    send(found, state.options, createHandler(state));
  }
}

function end(
  state: TryState,
  result: TryResult,
  reason: string,
  trailers = NO_TRAILERS,
): void {
  if (state.starting) {
    queueMicrotask(() => {
      end(state, result, reason, trailers);
    });
    return;
  }
  if (state.ended) {
    return;
  }
  state.ended = true;
  const { connection, options } = state;
  if (connection !== undefined) {
    connection.failed ||=
      result.kind !== 'answered' || state.canceled !== undefined;
    options.pool.release(connection);
  }
  options.onEnd({ result, sent: state.sent, reason }, trailers);
}

function fail(state: TryState, reason: string): void {
  const { canceled, sent } = state;
  const result = sent ? (canceled?.result ?? BROKEN) : NOT_SENT;
  end(state, result, canceled?.reason ?? reason);
}

function giveUp(state: TryState, result: TryResult, reason: string): void {
  state.canceled ??= { result, reason };
  state.abort?.(new Error(reason));
}

function cancelTry(state: TryState, withdraw: Stop): void {
  if (state.abort !== undefined) {
    state.abort(new Error('canceled'));
  } else if (state.connection === undefined) {
    withdraw();
    fail(state, 'canceled');
  } else {
    // Still connecting: fails the request with the connection.
    void state.connection.client.destroy(new Error('canceled'));
  }
}

function createHandler(state: TryState): RawHandler {
  const { sink } = state.options;
  return {
    onConnect(abort) {
      connected(state, abort);
    },
    onBodySent() {
      state.sent = true;
    },
    onRequestSent() {
      state.sent = true;
    },
    onHeaders(status, headers, resume, statusText) {
      if (status >= 200) {
        answerBegun(state, status, headers, statusText);
        state.resume = resume;
      }
      return true;
    },
    onData(chunk) {
      if (sink.write(chunk)) {
        return true;
      }
      sink.onDrain(state.resume);
      return false;
    },
    onComplete(trailers) {
      // After the parser is through with what has arrived: surplus bytes show then.
      queueMicrotask(() => {
        complete(state, trailers);
      });
    },
    onError(err) {
      if (isWholeWithoutBody(state, err)) {
        end(state, { kind: 'answered', status: state.status }, '');
      } else {
        fail(state, err.message);
      }
    },
  };
}

function connected(state: TryState, abort: (err: Error) => void): void {
  if (state.abort !== undefined) {
    // The library sends a request again on its own; never let it.
    abort(new Error('resent'));
    return;
  }
  state.abort = abort;
  if (state.canceled !== undefined) {
    abort(new Error(state.canceled.reason));
    return;
  }
  state.sentAt = state.options.clock();
  state.sent = state.options.body.kind !== 'streamed';
  state.options.onSending();
}

function answerBegun(
  state: TryState,
  status: number,
  raw: readonly Buffer[],
  statusText: string,
): void {
  const { method, sink } = state.options;
  const head = readResponseHead(status, statusText, raw, method);
  if (typeof head === 'string') {
    giveUp(state, BROKEN, head);
    return;
  }
  state.status = status;
  if (!sink.begin(head)) {
    giveUp(state, { kind: 'answered', status }, 'declined');
  }
}

function complete(state: TryState, trailers: readonly Buffer[] | null): void {
  const { connection, status } = state;
  const flaw = connection === undefined ? undefined : flawOf(connection);
  if (flaw === undefined) {
    end(state, { kind: 'answered', status }, '', trailers ?? NO_TRAILERS);
  } else {
    end(state, BROKEN, flaw);
  }
}

function send(
  connection: Connection,
  options: TryOptions,
  handler: RawHandler,
): void {
  const { body, headers } = options;
  const length = body.kind === 'streamed' ? body.length : undefined;
  connection.client.dispatch(
    {
      path: options.path,
      method: options.method,
      headers:
        length === undefined
          ? (headers as string[])
          : [...headers, 'content-length', String(length)],
      body: bodyOf(body),
      // Never more than one request on a connection, and none sent twice.
      idempotent: false,
      blocking: false,
    },
    handler as unknown as HttpDispatcher.DispatchHandler,
  );
}

function bodyOf(body: RequestBody): Buffer | Readable | null {
  switch (body.kind) {
    case 'none':
      return null;
    case 'buffered':
      return body.bytes;
    case 'streamed':
      return body.open();
  }
}

/** Says what was wrong with a connection whose answer looked whole. */
function flawOf({ failed, socket }: Connection): string | undefined {
  if (failed) {
    return 'the connection failed, or more came than the answer';
  }
  const err = socket?.errored;
  return err != null && !isRegularClose(err) ? err.message : undefined;
}

/** The library expects a body of the length given, which answers such as 304 never have. */
function isWholeWithoutBody(state: TryState, err: NodeJS.ErrnoException) {
  return (
    state.status > 0 &&
    hasNoBody(state.status, state.options.method) &&
    err.code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH'
  );
}
