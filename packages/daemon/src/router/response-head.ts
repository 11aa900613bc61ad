/** Checks the head of a backend server's answer and prepares the head that the caller gets. */

/** The checked head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: string[];
  /** Length of the body where it is known before its end. */
  readonly contentLength: number | undefined;
}

const DROPPED = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'paddlewind-outcome',
]);

/** Reads the raw head, or says why the answer cannot be told from a broken one. */
export function readResponseHead(
  status: number,
  statusText: string,
  raw: readonly Buffer[],
  method: string,
): ResponseHead | string {
  const headers: string[] = [];
  let contentLength: number | undefined;
  let coding: string | undefined;
  let connection: string | undefined;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]?.toString('latin1') ?? '';
    const value = raw[i + 1]?.toString('latin1') ?? '';
    const lower = name.toLowerCase();
    if (lower === 'content-length') {
      contentLength = Number(value);
    } else if (lower === 'transfer-encoding') {
      coding = coding === undefined ? value : `${coding}, ${value}`;
    } else if (lower === 'connection') {
      connection = value;
    }
    if (!DROPPED.has(lower)) {
      headers.push(name, value);
    }
  }
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return 'the transfer coding is not supported';
  }
  const bodiless = hasNoBody(status, method);
  if (!bodiless && contentLength === undefined && coding === undefined) {
    return 'the answer does not say where it ends';
  }
  dropNominated(headers, connection);
  return { status, statusText, headers, contentLength };
}

/** Tells whether an answer of this status to this method never has a body. */
export function hasNoBody(status: number, method: string): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

/** Returns the trailers that may be passed on, names and values in turn. */
export function readTrailers(raw: readonly Buffer[]): [string, string][] {
  const trailers: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]?.toString('latin1') ?? '';
    if (!FORBIDDEN_TRAILERS.has(name.toLowerCase())) {
      trailers.push([name, raw[i + 1]?.toString('latin1') ?? '']);
    }
  }
  return trailers;
}

const FORBIDDEN_TRAILERS = new Set([
  ...DROPPED,
  'authorization',
  'cache-control',
  'content-encoding',
  'content-length',
  'content-range',
  'content-type',
  'host',
  'set-cookie',
]);

function dropNominated(
  headers: string[],
  connection: string | undefined,
): void {
  if (connection === undefined || /^(keep-alive|close)$/i.test(connection)) {
    return;
  }
  for (const token of connection.split(',')) {
    const name = token.trim().toLowerCase();
    for (let i = headers.length - 2; i >= 0; i -= 2) {
      if (headers[i]?.toLowerCase() === name && name !== 'content-length') {
        headers.splice(i, 2);
      }
    }
  }
}
