/** Connections to peers, one transport per address. */
import { Agent } from 'node:http';

import type { Transport } from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
} from '@connectrpc/connect-node';

/** Gives transports to peers. */
export interface PeerTransports {
  /** Returns the transport to the peer listener at `ip:port`. */
  to(address: string): Transport;
  /** Closes the connections to an address, so that the next call opens new ones. */
  forget(address: string): void;
  /** Drops what is kept for every address but these. */
  retain(addresses: ReadonlySet<string>): void;
  close(): void;
}

/** A transport and how to close its connections. */
export interface OpenTransport {
  readonly transport: Transport;
  close(): void;
}

/** Keeps one transport per address, opened by `open`. */
export function cachedTransports(
  open: (address: string) => OpenTransport,
): PeerTransports & { reset(): OpenTransport[] } {
  const cache = new Map<string, OpenTransport>();

  function close(address: string): void {
    cache.get(address)?.close();
    cache.delete(address);
  }

  return {
    to(address) {
      const cached = cache.get(address) ?? open(address);
      cache.set(address, cached);
      return cached.transport;
    },
    forget: close,
    retain(addresses) {
      const unused = [...cache.keys()].filter(key => !addresses.has(key));
      unused.forEach(close);
    },
    reset() {
      const opened = [...cache.values()];
      cache.clear();
      return opened;
    },
    close() {
      [...cache.keys()].forEach(close);
    },
  };
}

const MAX_SOCKETS_PER_PEER = 4;

function openPlain(address: string): OpenTransport {
  const agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_PEER,
  });
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    nodeOptions: { agent },
    acceptCompression: [compressionGzip],
    sendCompression: compressionGzip,
  });
  return {
    transport,
    close() {
      agent.destroy();
    },
  };
}

/** Plain HTTP/1.1, for settings without TLS. */
export function plainTransports(): PeerTransports {
  return cachedTransports(openPlain);
}
