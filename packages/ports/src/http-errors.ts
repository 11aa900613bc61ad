/** Classifies the errors of HTTP calls by whether the call can have been sent. */

/** Error codes of failed connection attempts. */
const NEVER_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns the code of an error, or an empty string if it has none. */
export function errorCodeOf(err: unknown): string {
  return fieldOf(err, 'code') ?? '';
}

/**
 * Returns whether the connection was never established, so that nothing was sent. An established connection
 * may fail with the same codes after data was sent; `syscall` is then `read` or `write` instead of `connect`.
 */
export function neverConnected(err: unknown): boolean {
  const syscall = fieldOf(err, 'syscall') ?? 'connect';
  return syscall === 'connect' && NEVER_CONNECTED.has(errorCodeOf(err));
}

function fieldOf(err: unknown, name: 'code' | 'syscall'): string | undefined {
  if (typeof err !== 'object' || err === null) {
    return undefined;
  }
  const found = (err as Partial<Record<string, unknown>>)[name];
  return typeof found === 'string' ? found : undefined;
}
