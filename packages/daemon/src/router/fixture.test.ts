/** A router with fake surroundings, raw backend servers and raw callers, for the tests beside it. */
import { createServer, connect, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';

import {
  objectKey,
  objectSchema,
  seededRandom,
  type Clock,
  type ConfigState,
  type Dispatcher,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import { createMemoryLog, type MemoryLog } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import { createCommitter, followRetained } from '../log/index.js';
import type { ConfigView, HostView, PartContext, PeerView } from '../parts.js';

import {
  startRouter,
  type RouterDeps,
  type RouterHandle,
} from './start-router.js';

/** A view whose value the test sets. */
export interface Settable<T> {
  readonly get: () => T;
  readonly set: (value: T) => void;
  readonly onChange: (listener: () => void) => () => void;
}

/** Creates a settable view. */
export function settable<T>(first: T): Settable<T> {
  const listeners = new Set<() => void>();
  let value = first;
  return {
    get: () => value,
    set(next) {
      value = next;
      listeners.forEach(listener => {
        listener();
      });
    },
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** A clock that only moves when the test says so: a slow machine lets nothing expire. */
export interface ManualClock {
  readonly now: Clock;
  advance(ms: number): void;
}

/** Creates a clock that stands still. */
export function manualClock(): ManualClock {
  let now = 1_000_000;
  return {
    now: () => now,
    advance(ms) {
      now += ms;
    },
  };
}

/** Settings of the fixture. */
export interface FixtureOptions {
  readonly route?: Record<string, unknown>;
  readonly connections?: number;
  /** Longer than this nobody is let wait. */
  readonly objectiveMs?: number;
  readonly limits?: RouterDeps['settings']['limits'];
  /** The router's clock; real time when absent. */
  readonly clock?: Clock;
  readonly deps?: Partial<RouterDeps>;
  /** Shared by several routers; one of its own when absent. */
  readonly log?: MemoryLog;
  readonly hostId?: string;
}

/** A running router in a test. */
export interface Fixture {
  readonly router: RouterHandle;
  readonly port: number;
  readonly hosts: Settable<readonly Host[]>;
  readonly config: Settable<ConfigState>;
  readonly metrics: Registry;
  readonly inForce: Settable<boolean>;
  setServers(addresses: readonly string[]): void;
}

/** Builds the configuration of the one service `web`. */
export function webConfig(options: FixtureOptions, version = 1): ConfigState {
  const object = objectSchema.parse({
    kind: 'service',
    name: 'web',
    team: 'shop',
    workers: {},
    size: { cpu: 1, memoryMiB: 100 },
    slots: 8,
    connections: options.connections ?? 640,
    route: { timeoutMs: 5_000, ...options.route },
    objective: { target: 0.999, latencyMs: options.objectiveMs ?? 100 },
  });
  const objects = new Map([[objectKey('service', 'web'), { object, version }]]);
  return { offset: 2, objects };
}

/** Describes a worker with a backend server of `web` at this address. */
export function workerAt(address: string, state: Host['state'] = 'live'): Host {
  return {
    id: `worker-${address}`,
    role: 'worker',
    state,
    address: '127.0.0.1:1',
    region: 'nw',
    availabilityZone: 'olympia',
    rack: 'r1',
    labels: {},
    capacity: { cpu: 16, memoryMiB: 60_000, accelerators: 0 },
    endpoints: { web: address },
  };
}

/** Starts a router in front of these servers. */
export async function startFixture(
  t: TestContext,
  addresses: readonly string[],
  options: FixtureOptions = {},
): Promise<Fixture> {
  const hosts = settable<readonly Host[]>(addresses.map(a => workerAt(a)));
  const config = settable(webConfig(options));
  const inForce = settable(true);
  const metrics = new Registry();
  const cfg: ConfigView = {
    current: config.get,
    inForce: inForce.get,
    onChange: listener =>
      config.onChange(() => {
        listener(config.get());
      }),
  };
  const hostView: HostView = { hosts: hosts.get, onChange: hosts.onChange };
  const ctx: PartContext = {
    clock: options.clock ?? (() => performance.now()),
    random: seededRandom(1),
    log: pino({ level: 'silent' }),
    metrics,
  };
  const log = options.log ?? createMemoryLog({ clock: ctx.clock });
  const committer = createCommitter({ log, ctx, appendsPerSecond: 1_000 });
  t.after(committer.stop);
  const router = await startRouter({
    ctx,
    committer,
    follow: (stream, onBatch) => followRetained({ log, stream, ctx, onBatch }),
    cfg,
    hosts: hostView,
    peers: noPeers(),
    settings: {
      listen: { host: '127.0.0.1', port: 0 },
      limits: { drainGraceMs: 0, ...options.limits },
      availabilityZone: 'olympia',
      region: 'nw',
      hostId: options.hostId ?? 'entry-1',
      entryHosts: 1,
    },
    ...options.deps,
  });
  t.after(() => router.close());
  return {
    router,
    port: Number(router.address.split(':')[1]),
    hosts,
    config,
    metrics,
    inForce,
    setServers(next) {
      hosts.set(next.map(a => workerAt(a)));
    },
  };
}

function noPeers(): PeerView {
  return {
    self: 'entry-1',
    peers: () => [],
    onChange: () => () => undefined,
  };
}

/** A raw TCP server that plays a backend server. */
export interface RawServer {
  readonly address: string;
  /** Everything received, by connection. */
  readonly received: string[];
  readonly sockets: Socket[];
  readonly close: () => Promise<void>;
}

/** Starts a raw server; `onData` gets what a connection has received so far and since its last answer. */
export async function startRawServer(
  t: TestContext,
  onData: (socket: Socket, text: string, connection: number) => void,
): Promise<RawServer> {
  const received: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    const connection = received.push('') - 1;
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const text = chunk.toString('latin1');
      received[connection] = (received[connection] ?? '') + text;
      onData(socket, text, connection);
    });
  });
  await listenOn(server);
  async function close(): Promise<void> {
    sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => server.close(resolve));
  }
  t.after(close);
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    sockets,
    close,
  };
}

async function listenOn(server: Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

/** A raw connection of a caller. */
export interface RawCaller {
  readonly socket: Socket;
  text(): string;
  /** Whether the connection was reset rather than closed. */
  wasReset(): boolean;
  /** Resolves to everything received once the connection is closed. */
  closed(): Promise<string>;
  /** Resolves once `pattern` was received. */
  until(pattern: string | RegExp): Promise<string>;
}

/** Connects as a caller and sends `text`. */
export function rawCall(t: TestContext, port: number, text = ''): RawCaller {
  const socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  let received = '';
  let reset = false;
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => {
    reset = true;
  });
  const closed = new Promise<string>(resolve => {
    socket.once('close', () => {
      resolve(received);
    });
  });
  if (text !== '') {
    socket.write(text, 'latin1');
  }
  return {
    socket,
    text: () => received,
    wasReset: () => reset,
    closed: () => closed,
    until: async pattern => {
      await waitFor(() => received.search(pattern) >= 0);
      return received;
    },
  };
}

/** Polls until the condition holds; fails after ten seconds. */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const giveUpAt = performance.now() + 10_000;
  while (!(await condition())) {
    if (performance.now() > giveUpAt) {
      throw new Error('the condition was not met in time');
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

/** The head of a request to `web`. */
export function requestText(
  method: string,
  headers: readonly string[] = [],
  body = '',
): string {
  const lines = [`${method} /path HTTP/1.1`, 'Host: web', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** An answer with a length. */
export function answerText(body: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** A dispatcher that sends first tries to the one server, and retries and hedges to the other. */
export function scriptedDispatcher(first: string, other: string): Dispatcher {
  return {
    setBackends: () => [],
    offer: ({ id }) => [{ kind: 'send', id, backend: first }],
    finish: () => [],
    retry: ({ id }) => [{ kind: 'send', id, backend: other }],
    hedge: ({ id }) => ({ kind: 'send', id, backend: other }),
    withdraw: () => undefined,
    setPeers: () => [],
    steer: () => undefined,
    connectionLimit: () => 64,
    tick: () => [],
    loads: () => [],
  };
}
