/** Answers of the router itself: refusals with their outcome. */
import type { ServerResponse } from 'node:http';

import {
  ERROR_RESPONSES,
  type AppError,
  type Outcome,
} from '@paddlewind/domain';

/** Header of refusals: what is known of the request's effect. */
export const OUTCOME_HEADER = 'paddlewind-outcome';

const DEFAULT_RETRY_AFTER_MS = 1_000;
/** How long the rest of a refused request's body is read, so that the caller gets the answer. */
const LINGER_MS = 2_000;

const OUTCOME_VALUES: Readonly<Record<Outcome, string>> = {
  run: 'run',
  not_run: 'not-run',
  unknown: 'unknown',
};

/** Head and body of a refusal. */
export interface Refusal {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: string;
}

/** Builds the answer for `err`; `extra` are more headers, names and values in turn. */
export function refusalFor(
  err: AppError,
  extra: readonly string[] = [],
): Refusal {
  const answer = ERROR_RESPONSES[err.kind];
  const body = JSON.stringify({ kind: err.kind, message: err.message });
  const headers = [
    'content-type',
    'application/json',
    'content-length',
    String(Buffer.byteLength(body)),
    'cache-control',
    'no-store',
    OUTCOME_HEADER,
    OUTCOME_VALUES[err.outcome],
    ...extra,
  ];
  if (answer.retryable && err.outcome === 'not_run') {
    headers.push('retry-after', String(retryAfterSeconds(err)));
  }
  return { status: answer.httpStatus, headers, body };
}

function retryAfterSeconds(err: AppError): number {
  const waitMs = err.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return Math.max(1, Math.ceil(waitMs / 1_000));
}

/** Sends the refusal; the answer must not have begun. */
export function sendRefusal(
  res: ServerResponse,
  err: AppError,
  extra: readonly string[] = [],
): void {
  const { status, headers, body } = refusalFor(err, extra);
  res.writeHead(status, headers);
  res.end(body);
  letBodyDrain(res);
}

/** Reads on what is left of the request's body, then closes a connection that takes too long. */
export function letBodyDrain(res: ServerResponse): void {
  const { req } = res;
  if (req.complete) {
    return;
  }
  req.unpipe();
  req.resume();
  const timer = setTimeout(() => {
    if (!req.complete) {
      req.socket.destroy();
    }
  }, LINGER_MS);
  timer.unref();
  req.once('close', () => {
    clearTimeout(timer);
  });
}

/** Returns the refusal as bytes, for a connection on which no request could be read. */
export function rawRefusal(err: AppError): string {
  const { status, headers, body } = refusalFor(err);
  const lines = [`HTTP/1.1 ${status} Refused`, 'connection: close'];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    lines.push(`${headers[i] ?? ''}: ${headers[i + 1] ?? ''}`);
  }
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
