/** The listener for other entry hosts and operators, and the connections to peers. */
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import type { Listening } from './listening.js';
import { plainTransports, type PeerTransports } from './membership/index.js';
import type { PartContext, Stop } from './parts.js';
import type { Settings } from './settings/schema.js';
import {
  listenPeers,
  secureTransports,
  startCredentials,
  type CredentialSource,
  type PeerHandler,
} from './tls/index.js';

/** Registers the handlers of one service. */
export type RegisterRoutes = (router: ConnectRouter) => void;

/** An open listener; calls are refused until `serve`. */
export interface PeerServer extends Listening {
  readonly transports: PeerTransports;
  serve(routes: readonly RegisterRoutes[]): void;
}

/** Opens the listener, with mutual TLS where the settings name certificates; rejects when they are unusable. */
export async function openPeerServer(
  ctx: PartContext,
  settings: Settings['peers'],
): Promise<PeerServer> {
  const credentials = await openCredentials(ctx, settings);
  let handler: PeerHandler = refuse;
  const listening = await listenPeers(
    settings.listen,
    (req, res) => {
      handler(req, res);
    },
    credentials,
  );
  const stop: Stop = () => credentials?.stop();
  return {
    address: listening.address,
    transports:
      credentials === undefined
        ? plainTransports()
        : secureTransports(credentials),
    serve(routes) {
      handler = handlerOf(routes);
    },
    async close() {
      stop();
      await listening.close();
    },
  };
}

async function openCredentials(
  ctx: PartContext,
  settings: Settings['peers'],
): Promise<CredentialSource | undefined> {
  if (settings.tls === undefined) {
    return undefined;
  }
  const opened = await startCredentials(ctx, settings.tls);
  if (opened.isErr) {
    throw new Error(opened.error.message);
  }
  return opened.value;
}

function handlerOf(routes: readonly RegisterRoutes[]): PeerHandler {
  return connectNodeAdapter({
    routes(router) {
      for (const register of routes) {
        register(router);
      }
    },
  });
}

const refuse: PeerHandler = (_, res) => {
  res.statusCode = 503;
  res.end();
};
