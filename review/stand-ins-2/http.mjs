/** Small HTTP/1.1 servers and calls on 127.0.0.1. */
import http from 'node:http';

/**
 * Starts a server on a free port of 127.0.0.1. `handle` resolves with `{ status, body }`, or with undefined if
 * the request is never answered; the connection then returns nothing further.
 */
export function serve(handle) {
  const server = http.createServer(async (req, res) => {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const url = new URL(req.url, 'http://stand-in');
    const { method, headers } = req;
    const reply = await handle({
      method,
      headers,
      url,
      body: Buffer.concat(chunks),
    });
    if (reply === 'reset') {
      req.socket.destroy();
      return;
    }
    if (reply === undefined || res.destroyed) {
      return;
    }
    const body = Buffer.isBuffer(reply.body)
      ? reply.body
      : Buffer.from(JSON.stringify(reply.body ?? {}));
    res.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    res.end(body);
  });
  server.keepAliveTimeout = 120_000;
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        port: server.address().port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
}

/** Calls `address`; resolves with `{ status, body }`, or with status 0 if there was no answer. */
export function call(
  address,
  method,
  path,
  { headers = {}, body, timeoutMs = 3_000 } = {},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const req = http.request(
      { host, port, method, path, headers, agent: false },
      async res => {
        const chunks = [];
        try {
          for await (const chunk of res) {
            chunks.push(chunk);
          }
          resolve({
            status: res.statusCode,
            body: Buffer.concat(chunks).toString(),
          });
        } catch (err) {
          resolve({ status: 0, body: String(err) });
        }
      },
    );
    req.setTimeout(timeoutMs, () => {
      req.destroy(new Error('timeout'));
    });
    req.on('error', err => {
      resolve({ status: 0, body: String(err) });
    });
    req.end(body);
  });
}
