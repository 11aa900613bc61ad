/** Metrics of the traffic on the connections of a host. */
import { Counter, type Registry } from 'prom-client';

/** Bytes in each direction so far. */
interface BytesSoFar {
  readonly sent: number;
  readonly received: number;
}

/**
 * Registers a counter of the bytes to and from peers of each kind, updated when the metrics are
 * scraped.
 */
export function registerLinkMetrics<K extends string>(
  registry: Registry,
  kinds: readonly K[],
  total: (kind: K) => BytesSoFar,
): void {
  const lastTotals = new Map<K, BytesSoFar>();
  const bytes: Counter = new Counter({
    name: 'paddlewind_jobs_link_bytes_total',
    help: 'Bytes on connections that this host has opened, by kind of peer and direction.',
    labelNames: ['peer', 'direction'],
    registers: [registry],
    collect: () => {
      for (const peer of kinds) {
        const { sent, received } = total(peer);
        const previous = lastTotals.get(peer) ?? { sent: 0, received: 0 };
        lastTotals.set(peer, { sent, received });
        bytes.inc({ peer, direction: 'sent' }, sent - previous.sent);
        bytes.inc(
          { peer, direction: 'received' },
          received - previous.received,
        );
      }
    },
  });
}
