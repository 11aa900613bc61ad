/** Entry hosts of the queue model that are driven by the product's dispatcher. */
import {
  createDispatcher,
  type BackendInfo,
  type Dispatcher,
  seededRandom,
  serviceSchema,
  type Tunables,
} from '@paddlewind/domain';

import { type PolicyFactory, serverAddress } from './model.js';
import type { ModelSize } from './workload.js';

/** Creates the policy of the dispatcher with `tunables` and settings of the `route`. */
export function dispatcherPolicy(
  tunables: Partial<Tunables> = {},
  route: Readonly<Record<string, unknown>> = {},
): PolicyFactory {
  return (view, seed) => {
    const { size } = view.workload;
    const hosts = Array.from({ length: size.entryHosts }, (_, host) => ({
      id: `e${host}`,
      availabilityZone: zoneName(size, host),
    }));
    return hosts.map((host, index): Dispatcher => {
      const dispatcher = createDispatcher({
        service: serviceOf(size, route),
        self: host.id,
        availabilityZone: host.availabilityZone,
        entryHosts: size.entryHosts,
        random: seededRandom(seed * 1_000 + index),
        tunables,
      });
      dispatcher.setPeers(hosts.length, 0, hosts);
      dispatcher.setBackends(backendsOf(size), 0);
      return dispatcher;
    });
  };
}

function zoneName(size: ModelSize, index: number): string {
  return `z${index % size.zones}`;
}

function backendsOf(size: ModelSize): BackendInfo[] {
  return Array.from({ length: size.servers }, (_, index) => ({
    address: serverAddress(index),
    worker: `w${index}`,
    availabilityZone: zoneName(size, index),
    state: 'live',
  }));
}

function serviceOf(
  size: ModelSize,
  route: Readonly<Record<string, unknown>>,
): ReturnType<typeof serviceSchema.parse> {
  return serviceSchema.parse({
    kind: 'service',
    name: 'memberlink',
    team: 'members',
    workers: {},
    size: { cpu: 1, memoryMiB: 1 },
    slots: size.slots,
    connections: size.connections,
    route,
    objective: { target: 0.999, latencyMs: 100 },
  });
}
