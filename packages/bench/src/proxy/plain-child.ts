/** The plainest pass-through of Node's http and undici: no limits, no checks, round robin. */
import { createServer, type IncomingHttpHeaders } from 'node:http';
import type { AddressInfo } from 'node:net';

import { Pool } from 'undici';

import { serveParent } from './child.js';

const [connections, ...addresses] = process.argv.slice(2);
const pools = addresses.map(
  address =>
    new Pool(`http://${address}`, { connections: Number(connections) }),
);
let turn = 0;

const server = createServer((req, res) => {
  const pool = pools[turn++ % pools.length];
  const hasBody = req.headers['content-length'] !== undefined;
  pool?.stream(
    {
      path: req.url ?? '/',
      method: req.method ?? 'GET',
      headers: endToEnd(req.headers),
      body: hasBody ? req : null,
    },
    ({ statusCode, headers }) => res.writeHead(statusCode, endToEnd(headers)),
    err => {
      if (err !== null) {
        res.destroy();
      }
    },
  );
});

function endToEnd(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept = { ...headers };
  delete kept.connection;
  delete kept['keep-alive'];
  return kept;
}

server.listen(0, '127.0.0.1', () => {
  serveParent((server.address() as AddressInfo).port);
});
