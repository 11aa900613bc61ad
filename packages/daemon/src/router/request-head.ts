/** Checks the head of a caller's request and prepares the head that is sent to a backend server. */
import type { IncomingMessage } from 'node:http';

import { appError, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';

/** How the length of a request's body is given. */
export type BodyFraming =
  | { readonly kind: 'none' }
  | { readonly kind: 'length'; readonly length: number }
  | { readonly kind: 'chunked' };

/** The checked head of a request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query, starting with a slash. */
  readonly path: string;
  /** Host that the caller named, in lower case and without port. */
  readonly host: string;
  readonly framing: BodyFraming;
  /** End-to-end headers to send on, names and values in turn; without content-length. */
  readonly headers: string[];
  /** Instant on the wall clock in milliseconds, where the caller gave one. */
  readonly deadlineUnixMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly acceptsTrailers: boolean;
  readonly expectsContinue: boolean;
}

/** Header of requests: the instant, in Unix milliseconds, after which the answer is worthless. */
export const DEADLINE_HEADER = 'paddlewind-deadline-ms';

const VIA = '1.1 paddlewind';
const MAX_KEY_LENGTH = 255;
const DIGITS = /^\d{1,15}$/;
const PATH_PATTERN = /^[\x21-\xff]+$/;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

/** What the scan of the headers found. */
interface Scan {
  readonly headers: string[];
  host: string | undefined;
  contentLength: string | undefined;
  transferEncoding: string | undefined;
  connection: string | undefined;
  expect: string | undefined;
  te: string | undefined;
  via: string | undefined;
  forwardedFor: string | undefined;
  deadline: string | undefined;
  key: string | undefined;
  upgrade: boolean;
  problem: string | undefined;
}

/** Checks the head; fails with `invalid` or `header_too_large`. */
export function readRequestHead(
  req: IncomingMessage,
  maxHeaderCount: number,
): Result<RequestHead, AppError> {
  if (req.rawHeaders.length > maxHeaderCount * 2) {
    return Result.err(
      appError('header_too_large', `More than ${maxHeaderCount} headers.`),
    );
  }
  const scan = scanHeaders(req.rawHeaders);
  const target = readTarget(req.url ?? '', scan.host);
  const framing = readFraming(req.httpVersion, scan);
  const problem =
    scan.problem ??
    otherProblem(scan) ??
    (scan.host === undefined && req.httpVersion !== '1.0'
      ? 'The header host is missing.'
      : undefined) ??
    (target === undefined ? 'The request target is malformed.' : undefined) ??
    (framing === undefined ? 'The body framing is malformed.' : undefined);
  if (problem !== undefined || target === undefined || framing === undefined) {
    return Result.err(appError('invalid', problem ?? ''));
  }
  return Result.ok({
    method: req.method ?? 'GET',
    path: target.path,
    host: target.host,
    framing,
    headers: forwardedHeaders(scan, req.socket.remoteAddress),
    deadlineUnixMs:
      scan.deadline === undefined ? undefined : Number(scan.deadline),
    idempotencyKey: scan.key,
    acceptsTrailers: /\btrailers\b/i.test(scan.te ?? ''),
    expectsContinue: scan.expect !== undefined,
  });
}

function scanHeaders(raw: readonly string[]): Scan {
  const scan: Scan = {
    headers: [],
    host: undefined,
    contentLength: undefined,
    transferEncoding: undefined,
    connection: undefined,
    expect: undefined,
    te: undefined,
    via: undefined,
    forwardedFor: undefined,
    deadline: undefined,
    key: undefined,
    upgrade: false,
    problem: undefined,
  };
  for (let i = 0; i + 1 < raw.length; i += 2) {
    scanHeader(scan, raw[i] ?? '', raw[i + 1] ?? '');
  }
  return scan;
}

function scanHeader(scan: Scan, name: string, value: string): void {
  switch (name.toLowerCase()) {
    case 'host':
      scan.host = single(scan, scan.host, name, value);
      scan.headers.push(name, value);
      return;
    case 'content-length':
      scan.contentLength = single(scan, scan.contentLength, name, value);
      return;
    case 'transfer-encoding':
      scan.transferEncoding = single(scan, scan.transferEncoding, name, value);
      return;
    case 'expect':
      scan.expect = single(scan, scan.expect, name, value);
      return;
    case DEADLINE_HEADER:
      scan.deadline = single(scan, scan.deadline, name, value);
      return;
    case 'idempotency-key':
      scan.key = single(scan, scan.key, name, value);
      scan.headers.push(name, value);
      return;
    case 'connection':
      scan.connection = joined(scan.connection, value);
      return;
    case 'te':
      scan.te = joined(scan.te, value);
      return;
    case 'via':
      scan.via = joined(scan.via, value);
      return;
    case 'x-forwarded-for':
      scan.forwardedFor = joined(scan.forwardedFor, value);
      return;
    case 'upgrade':
      scan.upgrade = true;
      return;
    case 'keep-alive':
    case 'proxy-connection':
    case 'proxy-authorization':
    case 'trailer':
    case 'http2-settings':
      return;
    default:
      scan.headers.push(name, value);
  }
}

function single(
  scan: Scan,
  before: string | undefined,
  name: string,
  value: string,
): string {
  if (before !== undefined) {
    scan.problem = `The header ${name.toLowerCase()} is given twice.`;
  }
  return value;
}

function joined(before: string | undefined, value: string): string {
  return before === undefined ? value : `${before}, ${value}`;
}

function otherProblem(scan: Scan): string | undefined {
  if (scan.upgrade) {
    return 'Protocol upgrades are not supported.';
  }
  if (scan.expect !== undefined && !/^100-continue$/i.test(scan.expect)) {
    return 'The expectation is not supported.';
  }
  if (scan.deadline !== undefined && !DIGITS.test(scan.deadline)) {
    return `The header ${DEADLINE_HEADER} is not an instant in Unix milliseconds.`;
  }
  if (scan.key !== undefined && !isKey(scan.key)) {
    return `An idempotency key has 1 to ${MAX_KEY_LENGTH} visible ASCII characters.`;
  }
  return undefined;
}

function isKey(key: string): boolean {
  return key.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(key);
}

function readFraming(httpVersion: string, scan: Scan): BodyFraming | undefined {
  const { contentLength, transferEncoding } = scan;
  if (transferEncoding !== undefined) {
    const allowed =
      contentLength === undefined &&
      httpVersion === '1.1' &&
      transferEncoding.toLowerCase() === 'chunked';
    return allowed ? { kind: 'chunked' } : undefined;
  }
  if (contentLength === undefined) {
    return { kind: 'none' };
  }
  if (!DIGITS.test(contentLength)) {
    return undefined;
  }
  const length = Number(contentLength);
  return length === 0 ? { kind: 'none' } : { kind: 'length', length };
}

function readTarget(
  url: string,
  hostHeader: string | undefined,
): { host: string; path: string } | undefined {
  if (!PATH_PATTERN.test(url)) {
    return undefined;
  }
  if (url.startsWith('/')) {
    return { host: hostName(hostHeader ?? ''), path: url };
  }
  if (!/^https?:\/\//i.test(url) || !URL.canParse(url)) {
    return undefined;
  }
  const parsed = new URL(url);
  return {
    host: parsed.hostname.toLowerCase(),
    path: `${parsed.pathname}${parsed.search}`,
  };
}

function hostName(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(':');
  const bracket = hostHeader.lastIndexOf(']');
  const name = colon > bracket ? hostHeader.slice(0, colon) : hostHeader;
  return name.toLowerCase();
}

function forwardedHeaders(scan: Scan, remote: string | undefined): string[] {
  const headers = withoutNominated(scan.headers, scan.connection);
  headers.push('via', joined(scan.via, VIA));
  headers.push('x-forwarded-for', joined(scan.forwardedFor, remote ?? ''));
  return headers;
}

/** Drops the headers that `connection` names; the host always stays. */
function withoutNominated(
  headers: string[],
  connection: string | undefined,
): string[] {
  if (connection === undefined || /^(keep-alive|close)$/i.test(connection)) {
    return headers;
  }
  const named = new Set(
    connection.split(',').map(token => token.trim().toLowerCase()),
  );
  named.delete('host');
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? '';
    if (!named.has(name.toLowerCase())) {
      kept.push(name, headers[i + 1] ?? '');
    }
  }
  return kept;
}
