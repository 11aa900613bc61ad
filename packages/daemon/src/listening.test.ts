import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import test, { type TestContext } from 'node:test';

import { listen, type Listening } from './listening.js';

interface Slow {
  readonly listening: Listening;
  /** Answers every request that waits, and those to come at once. */
  readonly release: () => void;
  readonly received: Promise<unknown>;
}

async function startSlow(t: TestContext, graceMs: number): Promise<Slow> {
  const waiting: http.ServerResponse[] = [];
  let released = false;
  const server = http.createServer((_req, res) => {
    if (released) {
      res.end('late');
      return;
    }
    waiting.push(res);
  });
  t.after(() => {
    server.closeAllConnections();
  });
  const received = once(server, 'request');
  const listening = await listen(server, '127.0.0.1:0', graceMs);
  return {
    listening,
    received,
    release() {
      released = true;
      waiting.forEach(res => res.end('whole'));
    },
  };
}

function get(address: string, agent: http.Agent): Promise<string> {
  return new Promise(resolve => {
    http
      .get(`http://${address}/`, { agent }, res => {
        res.setEncoding('utf8');
        res.once('data', resolve);
        res.once('error', () => {
          resolve('broken');
        });
      })
      .once('error', () => {
        resolve('broken');
      });
  });
}

test('a client that keeps calling does not hold up the close', async t => {
  const { listening, received, release } = await startSlow(t, 60_000);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.after(() => {
    agent.destroy();
  });
  const underWay = get(listening.address, agent);
  await received;
  const closed = listening.close();
  let open = true;
  async function poll(): Promise<void> {
    while (open) {
      await get(listening.address, agent);
    }
  }
  const polls = poll();
  release();
  await closed;
  open = false;
  assert.equal(await underWay, 'whole');
  await polls;
});

test('a call without an end is broken off after the grace', async t => {
  const { listening, received } = await startSlow(t, 20);
  const agent = new http.Agent({ keepAlive: true });
  const underWay = get(listening.address, agent);
  await received;
  await listening.close();
  assert.equal(await underWay, 'broken');
});
