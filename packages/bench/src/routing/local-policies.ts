/** Ways of routing that the dispatcher is weighed against: each entry host decides by its own load alone. */
import type { Dispatch, Random, RequestInfo } from '@paddlewind/domain';
import { appError, seededRandom } from '@paddlewind/domain';

import {
  type ModelRouter,
  type PolicyFactory,
  serverAddress,
} from './model.js';

/** Tries of one request. */
const MAX_TRIES = 3;

/** Weight of one answer in a learned response time. */
const LATENCY_GAIN = 1 / 16;

/** What an entry host knows of one server. */
export interface KnownServer {
  readonly index: number;
  readonly address: string;
  inFlight: number;
  /** Most tries that this entry host may have there. */
  limit: number;
  latencyMs: number;
  /** In flight from peers, as last heard. */
  readonly fromPeers: Map<string, number>;
}

/** Picks one of the servers below their limit; `open` is never empty. */
export type Pick = (open: readonly KnownServer[]) => KnownServer | undefined;

/** Creates the way to pick of one entry host. */
export type PickFactory = (random: Random, host: number) => Pick;

/** Gives the most tries that `host` may have at `server`. */
export type Limits = (host: number, server: number) => number;

/** Creates a policy of entry hosts that queue only when every server is at its limit. */
export function localPolicy(
  createPick: PickFactory,
  limits?: Limits,
  retryBudget?: number,
): PolicyFactory {
  return (view, seed) => {
    const { size } = view.workload;
    const share = Math.max(1, Math.floor(size.connections / size.entryHosts));
    const limitOf = limits ?? (() => share);
    return Array.from({ length: size.entryHosts }, (_, host) => {
      const random = seededRandom(seed * 1_000 + host);
      const servers = Array.from({ length: size.servers }, (_unused, index) =>
        newServer(index, limitOf(host, index)),
      );
      const router = createLocalRouter(servers, createPick(random, host));
      return retryBudget === undefined
        ? router
        : withRetries(router, retryBudget);
    });
  };
}

function newServer(index: number, limit: number): KnownServer {
  return {
    index,
    address: serverAddress(index),
    inFlight: 0,
    limit,
    latencyMs: 20,
    fromPeers: new Map(),
  };
}

function createLocalRouter(
  servers: readonly KnownServer[],
  pick: Pick,
): ModelRouter {
  const byAddress = new Map(servers.map(server => [server.address, server]));
  const waiting: RequestInfo[] = [];
  const startedAt = new Map<number, number>();

  function trySend(req: RequestInfo, now: number): Dispatch | undefined {
    const open = servers.filter(server => server.inFlight < server.limit);
    const server = pick(open);
    if (server === undefined) {
      return undefined;
    }
    server.inFlight += 1;
    startedAt.set(req.id, now);
    return { kind: 'send', id: req.id, backend: server.address };
  }

  function release(now: number): Dispatch[] {
    const next = waiting[0];
    const sent = next === undefined ? undefined : trySend(next, now);
    if (sent === undefined) {
      return [];
    }
    waiting.shift();
    return [sent, ...release(now)];
  }

  return {
    offer(req, now) {
      const sent = waiting.length === 0 ? trySend(req, now) : undefined;
      if (sent === undefined) {
        waiting.push(req);
        return [{ kind: 'queued', id: req.id }];
      }
      return [sent];
    },
    finish(id, backend, result, now) {
      const server = byAddress.get(backend);
      if (server !== undefined) {
        server.inFlight -= 1;
        const latencyMs = now - (startedAt.get(id) ?? now);
        if (result.kind === 'answered' && result.status < 500) {
          server.latencyMs += (latencyMs - server.latencyMs) * LATENCY_GAIN;
        }
      }
      startedAt.delete(id);
      return release(now);
    },
    loads: () =>
      servers.map(({ address, inFlight }) => ({
        backend: address,
        inFlight,
      })),
    peerLoads(peer, loads) {
      for (const { backend, inFlight } of loads) {
        byAddress.get(backend)?.fromPeers.set(peer, inFlight);
      }
    },
  };
}

/** Lets a router repeat idempotent requests, `budget` times per first try. */
function withRetries(router: ModelRouter, budget: number): ModelRouter {
  const triesById = new Map<number, number>();
  let tokens = 0;
  return {
    ...router,
    offer(req, now) {
      tokens += budget;
      return router.offer(req, now);
    },
    retry(req, _result, now) {
      const tries = (triesById.get(req.id) ?? 1) + 1;
      triesById.set(req.id, tries);
      if (!req.idempotent || tokens < 1 || tries > MAX_TRIES) {
        const error = appError('backend_failed', 'the try failed');
        return [{ kind: 'refused', id: req.id, error }];
      }
      tokens -= 1;
      return router.offer(req, now);
    },
  };
}

/** Any server. */
export const pickRandom: PickFactory = random => open =>
  open[Math.floor(random() * open.length)];

/** One server after the other. */
export const pickRoundRobin: PickFactory = random => {
  let last = Math.floor(random() * 1_000);
  return open => {
    last += 1;
    return open[last % open.length];
  };
};

/** The server with the least score, ties by chance. */
function pickLeast(score: (server: KnownServer) => number): PickFactory {
  return random => open => {
    let best: KnownServer | undefined;
    let bestScore = Infinity;
    const offset = Math.floor(random() * open.length);
    for (let i = 0; i < open.length; i++) {
      const server = open[(offset + i) % open.length];
      if (server !== undefined && score(server) < bestScore) {
        best = server;
        bestScore = score(server);
      }
    }
    return best;
  };
}

function pickLessOfTwo(score: (server: KnownServer) => number): PickFactory {
  return random => {
    const any = pickRandom(random, 0);
    return open => {
      const first = any(open);
      const second = any(open);
      if (first === undefined || second === undefined) {
        return undefined;
      }
      return score(first) <= score(second) ? first : second;
    };
  };
}

/** The server with the least own load. */
export const pickLeastLoaded = pickLeast(server => server.inFlight);

/** The server with the least own load times learned response time. */
export const pickLeastLatency = pickLeast(
  server => (server.inFlight + 1) * server.latencyMs,
);

/** The server of two with less own load. */
export const pickPowerOfTwo = pickLessOfTwo(server => server.inFlight);

/** The server of two with less load over all entry hosts, as last heard. */
export const pickByHeartbeat = pickLessOfTwo(server => {
  const fromPeers = [...server.fromPeers.values()];
  return fromPeers.reduce((sum, inFlight) => sum + inFlight, server.inFlight);
});

/** Every server belongs to one entry host, which keeps to its slots and queues the rest. */
export function disjointSubsets(entryHosts: number, slots: number): Limits {
  return (host, server) => (server % entryHosts === host ? slots : 0);
}
