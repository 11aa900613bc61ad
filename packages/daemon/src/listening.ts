/** Opening and closing of TCP listeners. */
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { Millis } from '@paddlewind/domain';

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

/** Time that calls under way get when a listener closes, in milliseconds. */
const CLOSE_GRACE_MS = 2_000;

/** Listens on `address`; rejects when it is taken. Closing breaks off calls that outlast `graceMs`. */
export async function listen(
  server: Server,
  address: string,
  graceMs: Millis = CLOSE_GRACE_MS,
): Promise<Listening> {
  const sockets = trackSockets(server);
  server.listen(splitAddress(address));
  await once(server, 'listening');
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    close: () => closeServer(server, sockets, graceMs),
  };
}

function trackSockets(server: Server): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  return sockets;
}

async function closeServer(
  server: Server,
  sockets: ReadonlySet<Socket>,
  graceMs: Millis,
): Promise<void> {
  if (!server.listening) {
    return;
  }
  const closed = once(server, 'close');
  if (server instanceof http.Server) {
    endConnections(server);
  }
  server.close();
  const breakOff = setTimeout(() => {
    sockets.forEach(socket => socket.destroy());
  }, graceMs);
  await closed;
  clearTimeout(breakOff);
}

/** Ends each connection with its next answer, so that a client that keeps calling does not hold it open. */
function endConnections(server: Server): void {
  server.prependListener('request', (_req, res: http.ServerResponse) => {
    res.setHeader('connection', 'close');
  });
}
