/** A backend server that reads the body and answers one kibibyte. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { serveParent } from './child.js';

const ANSWER = Buffer.alloc(1_024, 'x');

const server = createServer((req, res) => {
  req.resume();
  req.once('end', () => {
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': ANSWER.length,
    });
    res.end(ANSWER);
  });
});

server.listen(0, '127.0.0.1', () => {
  serveParent((server.address() as AddressInfo).port);
});
