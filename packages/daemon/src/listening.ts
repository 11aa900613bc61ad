/** Opening and closing of TCP listeners. */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';

/** An open listener. */
export interface Listening {
  /** The `ip:port` in use, also when port 0 was asked for. */
  readonly address: string;
  close(): Promise<void>;
}

/** Splits `ip:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Listens on `address`; rejects when it is taken. */
export async function listen(
  server: Server,
  address: string,
): Promise<Listening> {
  server.listen(splitAddress(address));
  await once(server, 'listening');
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    close: () => closeServer(server),
  };
}

async function closeServer(server: Server): Promise<void> {
  if (!server.listening) {
    return;
  }
  const closed = once(server, 'close');
  server.close();
  if ('closeIdleConnections' in server) {
    (
      server as Server & { closeIdleConnections(): void }
    ).closeIdleConnections();
  }
  await closed;
}
