/** The stand-ins of one deployment: log service, host list, worker agents and backend servers. */
import type { Resources } from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import {
  startBackendServer,
  startHostListServer,
  startLogServer,
  startWorkerServer,
  type BackendServer,
  type HostListServer,
  type LogServer,
  type LogServerOptions,
  type WorkerServer,
} from '@paddlewind/stand-ins';

import type { Recorder } from './recorder.js';

/** What the stand-ins stand for. */
export interface Deployment {
  readonly region: string;
  /** Workers by availability zone and rack, one for each entry. */
  readonly racks: readonly {
    readonly availabilityZone: string;
    readonly rack: string;
  }[];
  readonly service: string;
  /** What a backend server of the service takes of its worker. */
  readonly serviceSize: Resources;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  readonly slots: number;
  readonly connections: number;
}

/** A worker with its agent and its backend server. */
export interface PlatformWorker {
  readonly host: Host;
  readonly agent: WorkerServer;
  readonly backend: BackendServer;
}

/** Running stand-ins. */
export interface Platform {
  readonly log: LogServer;
  readonly hosts: HostListServer;
  readonly workers: readonly PlatformWorker[];
  close(): Promise<void>;
}

const HOST_LIST_LAG_MS = 500;
const USAGE_LAG_MS = 1_000;
const SERVICE_MS = 5;

/** Starts the stand-ins of `deployment`; what happens goes to `recorder`. */
export async function startPlatform(
  deployment: Deployment,
  recorder: Recorder,
  logOptions: LogServerOptions = {},
): Promise<Platform> {
  const log = await startLogServer(logOptions);
  const workers = await Promise.all(
    deployment.racks.map((place, i) =>
      startWorker(deployment, place, `worker-${i + 1}`, recorder),
    ),
  );
  const hosts = await startHostListServer({
    hosts: workers.map(worker => worker.host),
    faults: { lagMs: HOST_LIST_LAG_MS },
    onEvent: recorder.record,
  });
  const all = [log, hosts, ...workers.flatMap(w => [w.agent, w.backend])];
  return {
    log,
    hosts,
    workers,
    async close() {
      await Promise.all(all.map(standIn => standIn.close()));
    },
  };
}

async function startWorker(
  deployment: Deployment,
  place: Deployment['racks'][number],
  id: string,
  recorder: Recorder,
): Promise<PlatformWorker> {
  const { capacity, labels, region, service } = deployment;
  const onEvent = recorder.record;
  const agent = await startWorkerServer({
    worker: id,
    capacity,
    faults: { lagMs: USAGE_LAG_MS },
    onEvent,
  });
  const backend = await startBackendServer({
    backend: id,
    slots: deployment.slots,
    connections: deployment.connections,
    faults: { serviceMs: SERVICE_MS, jitter: 0.5 },
    onEvent,
  });
  const size = deployment.serviceSize;
  recorder.record({ type: 'service_placed', worker: id, service, size });
  const host: Host = {
    ...place,
    id,
    role: 'worker',
    state: 'live',
    address: agent.address,
    region,
    labels,
    capacity,
    endpoints: { [service]: backend.address },
  };
  return { host, agent, backend };
}
