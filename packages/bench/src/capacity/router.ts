/** What routing takes: state and processor time by backend servers. */
import {
  createDispatcher,
  seededRandom,
  serviceSchema,
  type BackendInfo,
  type Dispatcher,
} from '@paddlewind/domain';

import { cpuMicroseconds, retainedBytes } from '../heap.js';
import { measure } from './measure.js';

/** Backend servers of one service: 3,100 workers over some ten services. */
const DESIGNED_BACKENDS = 310;
const SIZES = [45, 155, 310, 620, 1_240];
const REQUESTS = 20_000;
const TIMEOUT_MS = 10_000;
const IN_FLIGHT = 64;

const SERVICE = serviceSchema.parse({
  kind: 'service',
  name: 'portal',
  team: 'members',
  workers: {},
  size: { cpu: 1, memoryMiB: 1 },
  slots: 8,
  connections: 64,
  route: {},
  objective: { target: 0.999, latencyMs: 100 },
});

function backends(count: number): BackendInfo[] {
  return Array.from({ length: count }, (_, i) => ({
    address: `10.0.${i >> 8}.${i & 255}:8080`,
    worker: `worker-${i}`,
    availabilityZone: `zone-${i % 14}`,
    state: 'live',
  }));
}

function dispatcherOf(count: number): Dispatcher {
  const dispatcher = createDispatcher({
    service: SERVICE,
    self: 'entry-1',
    availabilityZone: 'zone-1',
    entryHosts: 9,
    random: seededRandom(1),
  });
  dispatcher.setBackends(backends(count), 0);
  return dispatcher;
}

/** Keeps some requests in flight, so that choices see load. */
function microsecondsPerRequest(count: number): number {
  const dispatcher = dispatcherOf(count);
  const running: { id: number; backend: string }[] = [];
  let now = 0;
  const spent = cpuMicroseconds(() => {
    for (let id = 1; id <= REQUESTS; id++) {
      now += 0.1;
      const req = { id, deadline: now + TIMEOUT_MS, idempotent: true };
      const [verdict] = dispatcher.offer(req, now);
      if (verdict?.kind === 'send') {
        running.push({ id, backend: verdict.backend });
      }
      const done = running.length > IN_FLIGHT ? running.shift() : undefined;
      if (done !== undefined) {
        const result = { kind: 'answered', status: 200 } as const;
        dispatcher.finish(done.id, done.backend, result, now);
      }
    }
  });
  return spent / REQUESTS;
}

/** Measures the role. */
export function measureRouter(): void {
  const common = {
    role: 'router',
    per: 'backend servers',
    sizes: SIZES,
    designed: DESIGNED_BACKENDS,
  };
  measure({
    ...common,
    quantity: 'state',
    unit: 'bytes',
    at: count => retainedBytes(() => dispatcherOf(count)),
  });
  measure({
    ...common,
    quantity: 'processor time of decisions a request',
    unit: 'microseconds',
    at: microsecondsPerRequest,
  });
}
