/** Metrics that are read from other counts when they are scraped. */
import type { Millis } from '@paddlewind/domain';
import { Counter, type Registry } from 'prom-client';

import { HOST_PARTS, type PartTimes } from './part-times.js';

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

const MS_PER_S = 1_000;

/** Registers a counter of the time that parts of the host took, updated when the metrics are scraped. */
export function registerPartTimes(registry: Registry, times: PartTimes): void {
  const lastTotals = new Map<string, Millis>();
  const seconds: Counter = new Counter({
    name: 'paddlewind_jobs_part_seconds_total',
    help: 'Time on the event loop by part of the host; the rest of its time goes to calls, requests of callers and the runtime.',
    labelNames: ['part'],
    registers: [registry],
    collect: () => {
      for (const part of HOST_PARTS) {
        const total = times.totalMs(part);
        seconds.inc({ part }, (total - (lastTotals.get(part) ?? 0)) / MS_PER_S);
        lastTotals.set(part, total);
      }
    },
  });
}
