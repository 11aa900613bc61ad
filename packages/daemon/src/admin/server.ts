/** HTTP server for `/metrics`, `/livez` and `/readyz`. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';

import type { Registry } from 'prom-client';

import { listen, type Listening } from '../listening.js';

/** Returns the reasons why the host is not ready; empty when it is ready. */
export type ReadinessCheck = () => readonly string[];

/** Starts the server on `address` (`ip:port`). */
export async function startAdmin(
  address: string,
  metrics: Registry,
  notReady: ReadinessCheck,
): Promise<Listening> {
  const server = createServer((req, res) => {
    void handleRequest(req, res, metrics, notReady);
  });
  return listen(server, address);
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  metrics: Registry,
  notReady: ReadinessCheck,
): Promise<void> {
  switch (req.url ?? '') {
    case '/metrics':
      res.setHeader('content-type', metrics.contentType);
      res.end(await metrics.metrics());
      return;
    case '/livez':
      res.end('ok\n');
      return;
    case '/readyz': {
      const reasons = notReady();
      res.statusCode = reasons.length === 0 ? 200 : 503;
      res.end(reasons.length === 0 ? 'ok\n' : `${reasons.join('\n')}\n`);
      return;
    }
    default:
      res.statusCode = 404;
      res.end('not found\n');
  }
}
