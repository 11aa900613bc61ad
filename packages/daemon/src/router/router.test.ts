import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import { request } from 'undici';

import { startFixture } from './fixture.test.js';

async function startEcho() {
  const server = createServer((req, res) => {
    res.writeHead(200, { 'x-path': req.url, 'x-method': req.method });
    req.pipe(res);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

test('a request goes through and its answer comes back', async t => {
  const echo = await startEcho();
  const fixture = await startFixture(t, [echo.address]);
  const url = `http://127.0.0.1:${fixture.port}/a?b=c`;
  const headers = { host: 'web' };
  const got = await request(url, { headers });
  assert.equal(got.statusCode, 200);
  assert.equal(got.headers['x-path'], '/a?b=c');
  await got.body.dump();
  for (const size of [10, 5_000_000]) {
    const body = Buffer.alloc(size, 'x');
    const posted = await request(url, { method: 'POST', headers, body });
    const answer = Buffer.from(await posted.body.arrayBuffer());
    assert.ok(answer.equals(body));
  }
  echo.server.close();
});
