/** Listener for other entry hosts and operators: HTTP/2 over mutual TLS, or plain HTTP/1.1. */
import { createServer as createPlainServer } from 'node:http';
import {
  createSecureServer,
  Http2ServerRequest,
  type Http2SecureServer,
  type ServerHttp2Session,
} from 'node:http2';
import { TLSSocket } from 'node:tls';

import type { connectNodeAdapter } from '@connectrpc/connect-node';
import { PeerService } from '@paddlewind/protocol';

import { listen, type Listening } from '../listening.js';
import type { CredentialSource } from './credentials.js';

/** Handles HTTP/1.1 and HTTP/2 requests. */
export type PeerHandler = ReturnType<typeof connectNodeAdapter>;

type PeerRequest = Parameters<PeerHandler>[0];

const PEER_PATH_PREFIX = `/${PeerService.typeName}/`;
const STATUS_FORBIDDEN = 403;

/** Time after a close at which sessions that are still open are destroyed. */
const CLOSE_GRACE_MS = 2_000;

function socketOf(req: PeerRequest): unknown {
  return req instanceof Http2ServerRequest
    ? req.stream.session?.socket
    : req.socket;
}

/** Returns whether the client is an entry host: operators' certificates name no IP address. */
function hasHostCertificate(req: PeerRequest): boolean {
  const socket = socketOf(req);
  if (socket === undefined) {
    return false;
  }
  const secure = socket as Partial<TLSSocket>;
  const certificate = secure.getPeerX509Certificate?.();
  return certificate?.subjectAltName?.includes('IP Address:') === true;
}

function requireHostCertificate(handler: PeerHandler): PeerHandler {
  return (req, res) => {
    if (req.url?.startsWith(PEER_PATH_PREFIX) && !hasHostCertificate(req)) {
      res.writeHead(STATUS_FORBIDDEN);
      res.end();
      return;
    }
    handler(req, res);
  };
}

function trackSessions(server: Http2SecureServer): Set<ServerHttp2Session> {
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => {
      sessions.delete(session);
    });
  });
  return sessions;
}

function destroyAfterGrace(sessions: ReadonlySet<ServerHttp2Session>): void {
  const timer = setTimeout(() => {
    sessions.forEach(session => {
      session.destroy();
    });
  }, CLOSE_GRACE_MS);
  timer.unref();
}

async function listenSecure(
  address: string,
  handler: PeerHandler,
  credentials: CredentialSource,
): Promise<Listening> {
  const server = createSecureServer(
    {
      ...credentials.current(),
      requestCert: true,
      rejectUnauthorized: true,
      minVersion: 'TLSv1.3',
    },
    requireHostCertificate(handler),
  );
  const sessions = trackSessions(server);
  const closeSessions = (): void => {
    sessions.forEach(session => {
      session.close();
    });
  };
  const unsubscribe = credentials.onChange(next => {
    server.setSecureContext({ ...next, minVersion: 'TLSv1.3' });
    closeSessions();
  });
  const listening = await listen(server, address);
  return {
    address: listening.address,
    close() {
      unsubscribe();
      closeSessions();
      destroyAfterGrace(sessions);
      return listening.close();
    },
  };
}

/** Listens on `address`; with credentials, accepts only clients with a certificate from the authority. */
export async function listenPeers(
  address: string,
  handler: PeerHandler,
  credentials?: CredentialSource,
): Promise<Listening> {
  if (credentials === undefined) {
    return listen(createPlainServer(handler), address);
  }
  return listenSecure(address, handler, credentials);
}
