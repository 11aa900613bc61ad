/** Small deployment for tests and the demo: host settings, a configuration with one queue, and workers. */
import { JobHistory } from '../jobs/job-history.js';
import { MemoryWorker } from '../jobs/memory-worker.js';
import { scheduleByTimeout } from '../http/schedule.js';
import type { StoreServer } from './store-server.js';
import { WorkerServer } from './worker-server.js';

/** Maximum lease that a worker grants, in milliseconds. */
export const MAX_LEASE_MS = 6_000;

/** Returns the text of a host's settings file; `fields` replace the defaults. */
export function settingsText(fields: Record<string, unknown>): string {
  return JSON.stringify({
    node: 'entry-1',
    ip: '127.0.0.1',
    zone: 'a',
    listen: { frontend: '127.0.0.1:0', readiness: '127.0.0.1:0' },
    internalPorts: [0, 0],
    heartbeatMs: 1_100,
    controlMode: 'invocation',
    limits: { cpuShare: 0.675, cores: 2 },
    bounds: {
      holdMaxMs: MAX_LEASE_MS,
      stopMs: 900,
      graceS: 6,
      drainMs: 2_000,
    },
    platform: platformOf('127.0.0.1:1'),
    ...fields,
  });
}

/** Returns the text of the settings file of host `node`, which uses `store`; `fields` replace the defaults. */
export function hostSettings(
  node: string,
  store: StoreServer,
  fields: Record<string, unknown> = {},
): string {
  return settingsText({ node, platform: platformOf(store.address), ...fields });
}

function platformOf(address: string): Record<string, unknown> {
  return {
    address,
    keep_s: 300,
    recordBytes: 262_144,
    callBytes: 2_097_152,
  };
}

/** Operator configuration with one queue. */
export const ONE_QUEUE = {
  version: 3,
  routes: [
    {
      name: 'r-1',
      host: 'bank.example',
      pathPrefix: '/checks/',
      kind: 'unsafe',
      timeoutMs: 3_000,
      targetLatencyMs: 250,
      priority: 0,
      service: 'main',
      maxAttempts: 3,
      deadlineFactor: 1.5,
    },
  ],
  services: [{ name: 'main', healthPath: '/healthz', maxConnections: 64 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_096 },
};

/** Starts a worker that serves HTTP in real time and records its events in `history`. */
export async function startWorker(
  id: string,
  history = new JobHistory(() => performance.now()),
  startedAt = Date.now(),
): Promise<WorkerServer> {
  const clock = (): number => performance.now();
  const time = { clock, schedule: scheduleByTimeout, random: () => 0.5 };
  const traits = {
    id,
    startedAt,
    capacity: { cpuMilli: 4_000, memoryMiB: 8_000, accelerators: 0 },
    maxLeaseMs: MAX_LEASE_MS,
    clockRate: 1,
    clockOffset: 1_000,
  };
  const server = new WorkerServer(new MemoryWorker(traits, time, history));
  await server.start();
  return server;
}

/** Publishes the configuration and registers the workers in the store. */
export function publish(
  store: StoreServer,
  workers: readonly WorkerServer[],
): void {
  store.put('keyed.op', 'config', ONE_QUEUE);
  for (const server of workers) {
    store.put('keyed.servers', server.worker.traits.id, server.entry('main'));
  }
}
