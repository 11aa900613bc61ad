/** The bound that no real entry host reaches: one queue that knows every server's load, speed and health. */
import type { Dispatch, RequestInfo } from '@paddlewind/domain';

import {
  type ModelRouter,
  type ModelView,
  type PolicyFactory,
  serverAddress,
} from './model.js';
import { MEAN_SERVICE_MS } from './workload.js';

/** Creates the routers of all entry hosts on one shared queue. */
export const centralPolicy: PolicyFactory = view => {
  const { size } = view.workload;
  const running = new Map(
    Array.from({ length: size.servers }, (_, index) => [
      serverAddress(index),
      { index, inFlight: 0 },
    ]),
  );
  const waiting: RequestInfo[] = [];

  function release(): Dispatch[] {
    const next = waiting[0];
    const address = next && bestFree(view, running, waiting.length);
    if (next === undefined || address === undefined) {
      return [];
    }
    waiting.shift();
    const server = running.get(address);
    if (server !== undefined) {
      server.inFlight += 1;
    }
    return [{ kind: 'send', id: next.id, backend: address }, ...release()];
  }

  const router: ModelRouter = {
    offer(req) {
      waiting.push(req);
      return release();
    },
    finish(_id, backend) {
      const server = running.get(backend);
      if (server !== undefined) {
        server.inFlight -= 1;
      }
      return release();
    },
    tick: () => release(),
  };
  return Array.from({ length: size.entryHosts }, () => router);
};

/** Returns the fastest server with a free slot, unless waiting for a faster one is expected to be shorter. */
function bestFree(
  view: ModelView,
  running: ReadonlyMap<string, { index: number; inFlight: number }>,
  queued: number,
): string | undefined {
  const { size } = view.workload;
  const queueMs = (queued * MEAN_SERVICE_MS) / (size.servers * size.slots);
  let best: string | undefined;
  let bestScore = MEAN_SERVICE_MS + queueMs;
  for (const [address, { index, inFlight }] of running) {
    const mode = view.workload.modeOf(index, view.now());
    if (inFlight >= size.slots || mode.kind !== 'serving') {
      continue;
    }
    const score = MEAN_SERVICE_MS * mode.slowdown + inFlight / 1_000;
    if (score < bestScore) {
      best = address;
      bestScore = score;
    }
  }
  return best;
}
