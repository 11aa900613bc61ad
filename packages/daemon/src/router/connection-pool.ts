/** Connections of this entry host to one backend server. */
import type { Socket } from 'node:net';

import type { Clock, Instant } from '@paddlewind/domain';
import { buildConnector, Client } from 'undici';

import type { Stop } from '../parts.js';

/** A connection that carries at most one request at a time. */
export interface Connection {
  readonly client: Client;
  /** Whether the socket failed, which the HTTP library does not always report. */
  failed: boolean;
  socket: Socket | undefined;
  idleSince: Instant;
}

/** Connections to one backend server, at most as many as the limit. */
export interface ConnectionPool {
  /**
   * Calls `use` with a free connection, now or later; returns a function that withdraws.
   * With `trusted`, the connection was proven good moments ago or is new.
   * Once the pool is retired, `use` gets undefined.
   */
  acquire(trusted: boolean, use: UseConnection): Stop;
  /** Gives a connection back; nothing may be outstanding on it. */
  release(connection: Connection): void;
  /** Applies a changed limit: surplus connections close as they become idle. */
  trim(): void;
  /** Connections open or opening. */
  size(): number;
  /** Ends the pool: busy connections finish, everything else closes. */
  retire(): void;
  /** Closes all connections, busy ones included. */
  destroy(): void;
}

/** Receives a connection, or undefined when there will be none. */
export type UseConnection = (connection: Connection | undefined) => void;

/** Settings of a pool; spans in milliseconds. */
export interface PoolOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly clock: Clock;
  /** Connections that may be open now. */
  readonly limit: () => number;
  readonly connectTimeoutMs: number;
  readonly keepAliveMs: number;
  readonly trustedIdleMs: number;
}

interface Waiter {
  readonly trusted: boolean;
  readonly use: UseConnection;
}

interface PoolState {
  readonly options: PoolOptions;
  readonly all: Set<Connection>;
  /** The most recently used last. */
  readonly idle: Connection[];
  readonly waiters: Set<Waiter>;
  retired: boolean;
}

/** Creates a pool; it connects when first used. */
export function createConnectionPool(options: PoolOptions): ConnectionPool {
  const state: PoolState = {
    options,
    all: new Set(),
    idle: [],
    waiters: new Set(),
    retired: false,
  };
  return {
    acquire: (trusted, use) => acquire(state, { trusted, use }),
    release(connection) {
      release(state, connection);
    },
    trim() {
      trim(state);
    },
    size: () => state.all.size,
    retire() {
      retire(state);
    },
    destroy() {
      retire(state);
      for (const connection of [...state.all]) {
        discard(state, connection);
      }
    },
  };
}

function limitOf(state: PoolState): number {
  return state.retired ? 0 : state.options.limit();
}

function discard(state: PoolState, connection: Connection): void {
  state.all.delete(connection);
  void connection.client.destroy();
}

function acquire(state: PoolState, waiter: Waiter): Stop {
  if (state.retired) {
    waiter.use(undefined);
    return () => undefined;
  }
  const connection =
    state.waiters.size === 0 ? take(state, waiter.trusted) : undefined;
  if (connection !== undefined) {
    waiter.use(connection);
    return () => undefined;
  }
  state.waiters.add(waiter);
  return () => {
    state.waiters.delete(waiter);
  };
}

function take(state: PoolState, trusted: boolean): Connection | undefined {
  const connection = takeIdle(state, trusted);
  if (connection !== undefined) {
    return connection;
  }
  if (state.all.size >= limitOf(state)) {
    return undefined;
  }
  const opened = openConnection(state.options);
  state.all.add(opened);
  return opened;
}

function takeIdle(state: PoolState, trusted: boolean): Connection | undefined {
  const connection = state.idle.pop();
  if (connection === undefined || !trusted) {
    return connection;
  }
  const { clock, trustedIdleMs } = state.options;
  if (clock() - connection.idleSince <= trustedIdleMs) {
    return connection;
  }
  discard(state, connection);
  return undefined;
}

function release(state: PoolState, connection: Connection): void {
  if (!state.all.has(connection)) {
    return;
  }
  if (connection.failed || state.all.size > limitOf(state)) {
    discard(state, connection);
  } else {
    connection.idleSince = state.options.clock();
    state.idle.push(connection);
  }
  serveWaiters(state);
}

function serveWaiters(state: PoolState): void {
  for (const waiter of state.waiters) {
    const connection = take(state, waiter.trusted);
    if (connection === undefined) {
      return;
    }
    state.waiters.delete(waiter);
    waiter.use(connection);
  }
}

function trim(state: PoolState): void {
  for (let surplus = state.all.size - limitOf(state); surplus > 0; surplus--) {
    const oldest = state.idle.shift();
    if (oldest === undefined) {
      return;
    }
    discard(state, oldest);
  }
  serveWaiters(state);
}

function retire(state: PoolState): void {
  state.retired = true;
  trim(state);
  const waiting = [...state.waiters];
  state.waiters.clear();
  for (const waiter of waiting) {
    waiter.use(undefined);
  }
}

function openConnection(options: PoolOptions): Connection {
  const connect = buildConnector({ timeout: options.connectTimeoutMs });
  const client = new Client(`http://${options.address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.keepAliveMs,
    keepAliveMaxTimeout: options.keepAliveMs,
    connect(target, callback) {
      connect(target, (...result) => {
        if (result[0] === null) {
          watch(result[1]);
        }
        callback(...result);
      });
    },
  });
  const connection: Connection = {
    client,
    failed: false,
    socket: undefined,
    idleSince: 0,
  };
  function watch(socket: Socket): void {
    connection.failed = false;
    connection.socket = socket;
    // Runs before the library's own listener, which takes a reset for a regular end in places.
    socket.once('error', (err: NodeJS.ErrnoException) => {
      connection.failed ||= !isRegularClose(err);
    });
    // The library puts back what follows the last answer of a closing connection, then forgets it.
    const unshift = socket.unshift.bind(socket);
    socket.unshift = (chunk: Buffer) => {
      connection.failed ||= socket.destroyed && chunk.length > 0;
      unshift(chunk);
    };
  }
  return connection;
}

/** Tells whether the library closed a socket of its own accord, with nothing wrong. */
export function isRegularClose(err: NodeJS.ErrnoException): boolean {
  return err.code === 'UND_ERR_INFO';
}
