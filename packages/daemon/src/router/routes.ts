/** The routes in force: from a request's host and path to the service. */
import {
  objectsOf,
  type ConfigState,
  type ServiceSpec,
} from '@paddlewind/domain';

/** Finds the service of a request. */
export interface RouteTable {
  find(host: string, path: string): ServiceSpec | undefined;
}

/** Builds the table; of several routes of a host the longest path prefix wins. */
export function buildRouteTable(state: ConfigState): RouteTable {
  const byHost = new Map<string, ServiceSpec[]>();
  for (const service of objectsOf(state, 'service')) {
    const host = (service.route.host ?? service.name).toLowerCase();
    const services = byHost.get(host) ?? [];
    services.push(service);
    byHost.set(host, services);
  }
  for (const services of byHost.values()) {
    services.sort(
      (a, b) => b.route.pathPrefix.length - a.route.pathPrefix.length,
    );
  }
  return {
    find: (host, path) =>
      byHost
        .get(host)
        ?.find(service => hasPrefix(path, service.route.pathPrefix)),
  };
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) {
    return false;
  }
  const next = path[prefix.length];
  return (
    prefix.endsWith('/') || next === undefined || next === '/' || next === '?'
  );
}
