/** Metrics of what the connections of a host carry. */
import { Counter, type Registry } from 'prom-client';

/** Bytes in each direction so far. */
interface BytesSoFar {
  readonly sent: number;
  readonly received: number;
}

/** Registers the bytes to and from peers of each kind; they are counted when the metrics are asked for. */
export function registerLinkMetrics<K extends string>(
  registry: Registry,
  kinds: readonly K[],
  total: (kind: K) => BytesSoFar,
): void {
  const told = new Map<K, BytesSoFar>();
  const bytes: Counter = new Counter({
    name: 'paddlewind_jobs_link_bytes_total',
    help: 'Bytes on connections that this host has opened, by what is at the other end, and direction.',
    labelNames: ['peer', 'direction'],
    registers: [registry],
    collect: () => {
      for (const peer of kinds) {
        const { sent, received } = total(peer);
        const before = told.get(peer) ?? { sent: 0, received: 0 };
        told.set(peer, { sent, received });
        bytes.inc({ peer, direction: 'sent' }, sent - before.sent);
        bytes.inc({ peer, direction: 'received' }, received - before.received);
      }
    },
  });
}
