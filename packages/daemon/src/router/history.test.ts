import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import { seededRandom, type Random } from '@paddlewind/domain';
import { Agent, request } from 'undici';

import {
  startFixture,
  startRawServer,
  type Fixture,
  type RawServer,
} from './fixture.test.js';

const REQUESTS = 600;
/** Requests that have to be answered for the run to show anything. */
const ANSWERED = REQUESTS / 3;
/** Most requests, where the machine is so busy that the route's timeout ends most of them. */
const MOST_REQUESTS = 10 * REQUESTS;
const CALLERS = 24;

/** What a caller learnt of one request. */
interface Entry {
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly outcome: 'answered' | 'broken' | 'not-run' | 'unknown';
  readonly body: string;
}

/** The answer to a request: long enough to come in several pieces. */
function answerBody(id: string): string {
  return `<${id}>`.repeat(300);
}

function head(length: number, more = ''): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n${more}\r\n`;
}

/** Answers, or fails in one of the ways that servers fail. */
function misbehave(socket: Socket, id: string, random: Random): void {
  const body = answerBody(id);
  const whole = head(body.length) + body;
  const half = whole.slice(0, whole.length / 2);
  const dice = random();
  if (dice < 0.7) {
    setTimeout(() => socket.write(whole), random() * 10);
  } else if (dice < 0.75) {
    socket.end(half);
  } else if (dice < 0.8) {
    socket.resetAndDestroy();
  } else if (dice < 0.85) {
    socket.write(whole, () => socket.destroy());
  } else if (dice < 0.88) {
    setTimeout(() => socket.write(whole), 250);
  } else if (dice < 0.92) {
    socket.write(`${whole}${head(7)}foreign`);
  } else if (dice < 0.96) {
    socket.write(half);
    setTimeout(() => socket.write(whole.slice(half.length)), random() * 20);
  } else {
    socket.end(`HTTP/1.1 200 OK\r\n\r\n${body.slice(0, 50)}`);
  }
}

function startServer(t: TestContext, seed: number): Promise<RawServer> {
  const random = seededRandom(seed);
  return startRawServer(t, (socket, text) => {
    for (const [, id] of text.matchAll(/X-Id: (\w+)/gi)) {
      misbehave(socket, id ?? '', random);
    }
  });
}

async function call(
  port: number,
  id: string,
  method: Entry['method'],
  dispatcher: Agent,
): Promise<Entry> {
  try {
    const res = await request(`http://127.0.0.1:${port}/`, {
      method,
      headers: { host: 'web', 'x-id': id },
      body: method === 'POST' ? `pay ${id}` : null,
      dispatcher,
    });
    const body = await res.body.text();
    const told = res.headers['paddlewind-outcome'];
    const outcome =
      told === undefined ? 'answered' : told === 'not-run' ? told : 'unknown';
    return { id, method, outcome, body };
  } catch {
    return { id, method, outcome: 'broken', body: '' };
  }
}

/** Callers in parallel, over two entry hosts, while servers leave, die and return. */
async function runCallers(
  t: TestContext,
  hosts: readonly Fixture[],
  servers: readonly RawServer[],
  random: Random,
): Promise<Entry[]> {
  const dispatcher = new Agent({ connections: CALLERS });
  t.after(() => dispatcher.destroy());
  const history: Entry[] = [];
  let next = 0;
  const goesOn = (): boolean =>
    next < REQUESTS ||
    (answeredOf(history).length <= ANSWERED && next < MOST_REQUESTS);
  async function caller(): Promise<void> {
    while (goesOn()) {
      const id = `r${next++}x`;
      if (next % 50 === 0) {
        disturb(hosts, servers, next);
      }
      const host = hosts[next % hosts.length];
      const method = random() < 0.5 ? 'GET' : 'POST';
      history.push(await call(host?.port ?? 0, id, method, dispatcher));
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, caller));
  return history;
}

/** Kills the connections of one server, and takes another from one host's list. */
function disturb(
  hosts: readonly Fixture[],
  servers: readonly RawServer[],
  at: number,
): void {
  const which = (at / 50) % servers.length;
  servers[which]?.sockets.forEach(socket => socket.destroy());
  const rest = servers.filter((_, i) => i !== (which + 1) % servers.length);
  hosts[at % 100 === 0 ? 0 : 1]?.setServers(rest.map(s => s.address));
}

test('history: whole and own answers, at most once, not run is true', async t => {
  for (const seed of [1, 2]) {
    const servers = await Promise.all(
      [1, 2, 3].map(n => startServer(t, seed * 10 + n)),
    );
    const addresses = servers.map(server => server.address);
    const options = { route: { timeoutMs: 200, hedgeBudget: 0.2 } };
    const hosts = [
      await startFixture(t, addresses, options),
      await startFixture(t, addresses, { ...options, hostId: 'entry-2' }),
    ];
    const random = seededRandom(seed);
    const history = await runCallers(t, hosts, servers, random);
    check(history, servers);
  }
});

function check(history: readonly Entry[], servers: readonly RawServer[]): void {
  const sent = new Map<string, number>();
  const log = servers.flatMap(server => server.received).join('');
  for (const [, id] of log.matchAll(/X-Id: (\w+)/gi)) {
    sent.set(id ?? '', (sent.get(id ?? '') ?? 0) + 1);
  }
  for (const { id, method, outcome, body } of history) {
    const times = sent.get(id) ?? 0;
    if (outcome === 'answered') {
      assert.equal(body, answerBody(id), `${id} got a wrong answer`);
    } else if (outcome === 'not-run') {
      assert.equal(times, 0, `${id} was run`);
    }
    if (method === 'POST') {
      assert.ok(times <= 1, `${id} was sent ${times} times`);
    }
  }
  const outcomes = new Set(history.map(entry => entry.outcome));
  assert.ok(outcomes.size >= 3, 'the run shows several outcomes');
  const answered = answeredOf(history);
  assert.ok(answered.length > ANSWERED, `${answered.length} answered`);
}

function answeredOf(history: readonly Entry[]): Entry[] {
  return history.filter(({ outcome }) => outcome === 'answered');
}
