/** Transports to peers over HTTP/2 and mutual TLS. */
import {
  compressionGzip,
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';

import {
  cachedTransports,
  type OpenTransport,
  type PeerTransports,
} from '../membership/transports.js';
import type { Credentials, CredentialSource } from './credentials.js';

/** Time that calls in flight get to finish on connections whose certificates were replaced. */
const REPLACED_GRACE_MS = 10_000;

const PING_INTERVAL_MS = 10_000;
const PING_TIMEOUT_MS = 2_000;

function openSecureTransport(
  address: string,
  credentials: Credentials,
): OpenTransport {
  const { cert, key, ca } = credentials;
  const baseUrl = `https://${address}`;
  const sessionManager = new Http2SessionManager(
    baseUrl,
    { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS },
    { cert, key, ca, minVersion: 'TLSv1.3' },
  );
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    acceptCompression: [compressionGzip],
    sendCompression: compressionGzip,
  });
  return {
    transport,
    close() {
      sessionManager.abort();
    },
  };
}

function closeAfterGrace(replaced: readonly OpenTransport[]): void {
  const timer = setTimeout(() => {
    replaced.forEach(transport => {
      transport.close();
    });
  }, REPLACED_GRACE_MS);
  timer.unref();
}

/** Creates transports that use HTTP/2 over mutual TLS; new certificates apply from the next call. */
export function secureTransports(
  credentials: CredentialSource,
): PeerTransports {
  const cache = cachedTransports(address =>
    openSecureTransport(address, credentials.current()),
  );
  const unsubscribe = credentials.onChange(() => {
    closeAfterGrace(cache.reset());
  });
  return {
    to: address => cache.to(address),
    forget(address) {
      cache.forget(address);
    },
    retain(addresses) {
      cache.retain(addresses);
    },
    close() {
      unsubscribe();
      cache.close();
    },
  };
}
