/** Errors of HTTP calls that tell what became of the call. */

/** Codes of errors of a connection that never came about: nothing was sent. */
export const NEVER_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);
