/** The backend servers of a service, from the list of hosts and the configuration. */
import {
  matches,
  objectKey,
  type BackendInfo,
  type ConfigState,
  type ServiceSpec,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

/** Returns the servers of the service; those on leaving or drained workers are leaving. */
export function backendsOf(
  service: ServiceSpec,
  hosts: readonly Host[],
  config: ConfigState,
): BackendInfo[] {
  const backends: BackendInfo[] = [];
  for (const host of hosts) {
    const address = host.endpoints[service.name];
    const serves = host.role === 'worker' && address !== undefined;
    if (serves && matches(service.workers, host.labels)) {
      backends.push({
        address,
        worker: host.id,
        availabilityZone: host.availabilityZone,
        state: isLeaving(host, config) ? 'leaving' : 'live',
      });
    }
  }
  return backends;
}

function isLeaving(host: Host, config: ConfigState): boolean {
  const worker = config.objects.get(objectKey('worker', host.id))?.object;
  const drained = worker?.kind === 'worker' && worker.drained;
  return host.state === 'leaving' || drained;
}
