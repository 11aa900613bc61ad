/** Errors of HTTP calls that tell what became of the call. */

/** Codes of errors by which a connection never comes about. */
const NEVER_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** The code of an error; empty where it has none. */
export function codeOf(err: unknown): string {
  return fieldOf(err, 'code') ?? '';
}

/**
 * Tells whether an error shows that there was no connection, so that nothing was sent. An open one may end
 * with the same codes, once its bytes are on their way: it reads or writes then, and does not connect.
 */
export function neverConnected(err: unknown): boolean {
  const syscall = fieldOf(err, 'syscall') ?? 'connect';
  return syscall === 'connect' && NEVER_CONNECTED.has(codeOf(err));
}

function fieldOf(err: unknown, name: 'code' | 'syscall'): string | undefined {
  if (typeof err !== 'object' || err === null) {
    return undefined;
  }
  const found = (err as Partial<Record<string, unknown>>)[name];
  return typeof found === 'string' ? found : undefined;
}
