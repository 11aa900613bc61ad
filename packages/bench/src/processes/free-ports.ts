/** Ports that nothing listens on. */
import { createServer, type AddressInfo, type Server } from 'node:net';

/** Returns `count` distinct free ports of 127.0.0.1. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

function listen(): Promise<Server> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
  });
}
