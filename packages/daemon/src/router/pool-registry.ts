/** The connection pools of an entry host, by service and backend server. */
import type { Clock } from '@paddlewind/domain';

import {
  createConnectionPool,
  type ConnectionPool,
} from './connection-pool.js';
import type { RouterLimits } from './settings.js';

/** Connection pools that outlive changes of a service's configuration. */
export interface PoolRegistry {
  /** Returns the pool of a server, creating it when there is none. */
  pool(service: string, address: string): ConnectionPool;
  /** Retires the pools of the service's servers that are not listed. */
  keep(service: string, addresses: ReadonlySet<string>): void;
  /** Applies changed limits. */
  trim(): void;
  /** Closes every connection. */
  destroy(): void;
}

/** Tells how many connections to a service's server may be open now. */
export type ConnectionLimit = (service: string, address: string) => number;

/** Creates a registry. */
export function createPoolRegistry(
  clock: Clock,
  limits: RouterLimits,
  limit: ConnectionLimit,
): PoolRegistry {
  const services = new Map<string, Map<string, ConnectionPool>>();

  function poolsOf(service: string): Map<string, ConnectionPool> {
    const known = services.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = new Map<string, ConnectionPool>();
    services.set(service, created);
    return created;
  }

  return {
    pool(service, address) {
      const pools = poolsOf(service);
      const known = pools.get(address);
      if (known !== undefined) {
        return known;
      }
      const created = createConnectionPool({
        address,
        clock,
        limit: () => limit(service, address),
        connectTimeoutMs: limits.connectTimeoutMs,
        keepAliveMs: limits.backendKeepAliveMs,
        trustedIdleMs: limits.trustedIdleMs,
      });
      pools.set(address, created);
      return created;
    },
    keep(service, addresses) {
      const pools = poolsOf(service);
      for (const [address, pool] of pools) {
        if (!addresses.has(address)) {
          pools.delete(address);
          pool.retire();
        }
      }
    },
    trim() {
      for (const pools of services.values()) {
        for (const pool of pools.values()) {
          pool.trim();
        }
      }
    },
    destroy() {
      for (const pools of services.values()) {
        for (const pool of pools.values()) {
          pool.destroy();
        }
      }
      services.clear();
    },
  };
}
