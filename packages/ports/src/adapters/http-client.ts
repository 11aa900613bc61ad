/** JSON calls to the platform with timeouts, bounded bodies and reliable outcomes. */
import { parseJson, type Outcome } from '@paddlewind/domain';
import { Agent, request, type Dispatcher } from 'undici';

import { errorCodeOf, neverConnected } from '../http-errors.js';

/** Options of an adapter. */
export interface AdapterOptions {
  /** Connect timeout, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Timeout of the whole response, in milliseconds, in addition to the call's `waitMs`. */
  readonly timeoutMs?: number;
  /** Largest accepted response body, in bytes. */
  readonly maxBodyBytes?: number;
  /** Maximum number of connections to one address. */
  readonly connections?: number;
}

/** A call to one address. */
export interface Call {
  readonly method: 'GET' | 'POST';
  /** `ip:port`, or a base URL. */
  readonly address: string;
  readonly path: string;
  readonly body?: unknown;
  /** Entity tag of the cached response; the server may then answer 304. */
  readonly ifNoneMatch?: string;
  /** How long the server may wait before it answers, in milliseconds. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** A response with its body parsed from JSON (undefined if invalid), or the reason why the call failed. */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: unknown;
      readonly etag: string | undefined;
    }
  | {
      readonly kind: 'failed';
      /** `not_run` only if the server cannot have received any byte of the call. */
      readonly outcome: Exclude<Outcome, 'run'>;
      readonly reason: string;
    };

/** HTTP client of one adapter. */
export interface HttpClient {
  call(call: Call): Promise<CallResult>;
  close(): Promise<void>;
}

const DEFAULTS: Required<AdapterOptions> = {
  connectTimeoutMs: 1_000,
  timeoutMs: 3_000,
  maxBodyBytes: 32 * 1024 * 1024,
  connections: 32,
};

/** Creates a client with its own connection pool. */
export function createHttpClient(options: AdapterOptions = {}): HttpClient {
  const limits = { ...DEFAULTS, ...options };
  const agent = new Agent({
    connections: limits.connections,
    pipelining: 1,
    connect: { timeout: limits.connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    call: call => perform(agent, limits, call),
    close: () => agent.destroy(),
  };
}

async function perform(
  agent: Agent,
  limits: Required<AdapterOptions>,
  call: Call,
): Promise<CallResult> {
  if (call.signal?.aborted === true) {
    return { kind: 'failed', outcome: 'not_run', reason: 'aborted' };
  }
  const abort = abortAfter(limits.timeoutMs + (call.waitMs ?? 0), call.signal);
  try {
    const res = await request(`${baseUrl(call.address)}${call.path}`, {
      dispatcher: agent,
      method: call.method,
      signal: abort.signal,
      ...contentOf(call),
    });
    const text = await readBounded(res.body, limits.maxBodyBytes);
    const { etag } = res.headers;
    return {
      kind: 'answered',
      status: res.statusCode,
      body: parseJson(text),
      etag: typeof etag === 'string' ? etag : undefined,
    };
  } catch (err) {
    return failure(err);
  } finally {
    abort.done();
  }
}

function baseUrl(address: string): string {
  const url = address.includes('://') ? address : `http://${address}`;
  return url.replace(/\/+$/, '');
}

/**
 * Returns a signal that aborts after `afterMs` or together with `outer`. Unlike `AbortSignal.any`, it removes
 * its listener from `outer` when done.
 */
function abortAfter(
  afterMs: number,
  outer: AbortSignal | undefined,
): { readonly signal: AbortSignal; readonly done: () => void } {
  const inner = new AbortController();
  const abort = (): void => {
    inner.abort(new Error('The call was canceled.'));
  };
  const timer = setTimeout(() => {
    inner.abort(new Error(`No answer within ${afterMs} ms.`));
  }, afterMs);
  outer?.addEventListener('abort', abort, { once: true });
  return {
    signal: inner.signal,
    done() {
      clearTimeout(timer);
      outer?.removeEventListener('abort', abort);
    },
  };
}

function contentOf({ body, ifNoneMatch }: Call): {
  readonly body?: string;
  readonly headers: Readonly<Record<string, string>>;
} {
  const condition =
    ifNoneMatch === undefined ? {} : { 'if-none-match': ifNoneMatch };
  if (body === undefined) {
    return { headers: condition };
  }
  const headers = { ...condition, 'content-type': 'application/json' };
  return { body: JSON.stringify(body), headers };
}

/** Thrown when a response body is larger than allowed. */
class ResponseTooLargeError extends Error {}

async function readBounded(
  body: Dispatcher.ResponseData['body'],
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > maxBytes) {
      throw new ResponseTooLargeError(
        `The answer is larger than ${maxBytes} bytes.`,
      );
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function failure(err: unknown): CallResult {
  const code = errorCodeOf(err);
  const outcome = neverConnected(err) ? 'not_run' : 'unknown';
  const message = err instanceof Error ? err.message : String(err);
  return { kind: 'failed', outcome, reason: message === '' ? code : message };
}
