/** The router of an entry host: takes callers' requests to backend servers and the answers back. */
import { randomUUID } from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';

import { appError, type AppError, type Instant } from '@paddlewind/domain';

import type { Committer, LatencyFeed, RequestFeed } from '../parts.js';

import { admitRequest } from './admit-request.js';
import { startIdempotencyKeys, type FollowKeys } from './idempotency-keys.js';
import { rawRefusal, sendRefusal } from './refusal.js';
import { startServices, type ServicesOptions } from './services.js';
import {
  DEFAULT_ROUTER_LIMITS,
  type RouterLimits,
  type RouterSettings,
} from './settings.js';

/** What the router is given. */
export interface RouterDeps extends Pick<
  ServicesOptions,
  'ctx' | 'cfg' | 'hosts' | 'peers' | 'dispatcherFor'
> {
  readonly settings: RouterSettings;
  readonly committer: Committer;
  readonly follow: FollowKeys;
  /** Milliseconds of the wall clock, for deadlines that cross hosts. */
  readonly unixClock?: () => number;
}

/** A running router. */
export interface RouterHandle {
  /** `ip:port` on which callers are served. */
  readonly address: string;
  readonly latency: LatencyFeed;
  readonly requests: RequestFeed;
  /** Whether the router takes requests; false while it stops or its configuration is not in force. */
  ready(): boolean;
  /** Stops gracefully: what runs finishes, what still runs at the deadline is refused or broken off. */
  drain(deadline: Instant): Promise<void>;
  /** Stops at once. */
  close(): Promise<void>;
}

/** Path on which the balancer asks whether this entry host takes requests, whatever the host header. */
export const READY_PATH = '/paddlewind/ready';

const DRAIN_POLL_MS = 20;
const CHECK_INTERVAL_MS = 1_000;

/** Starts the router; resolves once callers are served. */
export async function startRouter(deps: RouterDeps): Promise<RouterHandle> {
  const { ctx, settings } = deps;
  const limits = { ...DEFAULT_ROUTER_LIMITS, ...settings.limits };
  const unixClock = deps.unixClock ?? Date.now;
  let draining = false;
  let lastRequestAt = ctx.clock();

  const services = startServices({
    ...deps,
    limits,
    closing: () => draining,
  });
  const keys = startIdempotencyKeys({
    ...deps,
    region: settings.region,
    hostId: settings.hostId,
    incarnation: randomUUID(),
    windowMs: limits.keyWindowMs,
  });
  const { clock } = ctx;
  const admission = { services, keys, limits, clock, unixClock };
  const server = createHttpServer(limits, (req, res) => {
    if (req.url === READY_PATH) {
      answerReady(res, ready());
    } else if (!deps.cfg.inForce()) {
      sendRefusal(res, notReady('The configuration is not up to date.'));
    } else {
      lastRequestAt = clock();
      admitRequest({ req, res, ...admission });
    }
  });

  function ready(): boolean {
    return !draining && deps.cfg.inForce();
  }

  async function drain(deadline: Instant): Promise<void> {
    draining = true;
    ctx.log.info('router: draining');
    await until(() => isQuiet() || ctx.clock() >= deadline);
    services.stop(notReady('The entry host is stopping.'));
    await closeServer(server);
    services.close();
    keys.close();
    ctx.log.info('router: drained');
  }

  function isQuiet(): boolean {
    const quietSince = ctx.clock() - lastRequestAt;
    return services.inFlight() === 0 && quietSince >= limits.drainGraceMs;
  }

  async function close(): Promise<void> {
    draining = true;
    services.stop(notReady('The entry host is stopping.'));
    server.closeAllConnections();
    await closeServer(server);
    services.close();
    keys.close();
  }

  const address = await listen(server, settings);
  ctx.log.info({ address }, 'router: serving');
  const { latency, requests } = services;
  return { address, latency: latency.feed, requests, ready, drain, close };
}

function createHttpServer(
  limits: RouterLimits,
  onRequest: (req: IncomingMessage, res: ServerResponse) => void,
): Server {
  const server = createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.callerKeepAliveMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    insecureHTTPParser: false,
    // Refused by ourselves, with an outcome.
    requireHostHeader: false,
  });
  // Node drops headers beyond its count silently; ours are counted and refused.
  server.maxHeadersCount = 0;
  server.on('request', onRequest);
  server.on('checkContinue', onRequest);
  server.on('checkExpectation', onRequest);
  server.on('clientError', refuseUnreadable);
  return server;
}

/** Answers what could not be read as a request; nothing of it was sent anywhere. */
function refuseUnreadable(err: NodeJS.ErrnoException, socket: Duplex): void {
  const pending = (socket as { _httpMessage?: unknown })._httpMessage;
  if (err.code === 'ECONNRESET' || !socket.writable || pending != null) {
    socket.destroy();
    return;
  }
  socket.end(rawRefusal(unreadable(err.code)), () => {
    socket.destroy();
  });
}

function unreadable(code = ''): AppError {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return appError('header_too_large', 'The headers are too large.');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return appError('invalid', 'The request did not arrive in time.');
    default:
      return appError('invalid', 'The request is malformed.');
  }
}

function answerReady(res: ServerResponse, isReady: boolean): void {
  const body = isReady ? 'ready\n' : 'not ready\n';
  const type = { 'content-type': 'text/plain', 'content-length': body.length };
  res.writeHead(isReady ? 200 : 503, type);
  res.end(body);
}

function notReady(message: string): AppError {
  return appError('not_ready', message);
}

async function listen(
  server: Server,
  settings: RouterSettings,
): Promise<string> {
  const { host, port } = settings.listen;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return `${bound.address}:${bound.port}`;
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
  }
}
