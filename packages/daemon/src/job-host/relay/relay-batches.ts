/** Collects starts into batches and distributes them over the hosts that can send them. */
import type { Instant, Millis } from '@paddlewind/domain';

import { AdaptiveTimeout } from '../adaptive-timeout.js';
import type { HostContext } from '../context.js';
import type { RelayedOrder, RelayHost, RelayResult } from './relay-host.js';

/**
 * Time for which starts are collected after a batch was sent: one call per start would take twice
 * the bytes.
 */
const BATCH_WINDOW_MS: Millis = 20;
/** Bounds of the time within which a host has to accept starts. */
const ACCEPT_TIMEOUT_BOUNDS = { leastMs: 300, mostMs: 1_000 };

/** Outcome of a start and the host that reported it. */
export interface RelayedResult {
  readonly by: RelayHost;
  readonly res: RelayResult;
}

/** A start that waits for the next batch. */
interface PendingStart extends Pick<RelayedOrder, 'start' | 'sendBy'> {
  /** Hosts that were tried before. */
  readonly triedHosts: ReadonlySet<RelayHost>;
  readonly settle: (result: RelayedResult | undefined) => void;
}

/** Starts that other hosts are to send. */
export class RelayBatches {
  private pendingStarts: PendingStart[] = [];
  private isScheduled = false;
  private sentAt: Instant = -Infinity;
  private readonly acceptTimeout = new AdaptiveTimeout(ACCEPT_TIMEOUT_BOUNDS);

  /** Creates batches for `hosts`, which may be called at any time. */
  constructor(
    private readonly ctx: HostContext,
    private readonly hosts: () => Iterable<RelayHost>,
  ) {}

  /** Records how long a host took to accept starts. */
  recordAccepted(tookMs: Millis): void {
    this.acceptTimeout.record(tookMs);
  }

  /** Whether any host may be given starts. */
  get hasUsableHost(): boolean {
    return this.usableHosts().length > 0;
  }

  /**
   * Sends a start through another host, batched with others; undefined if each usable host was
   * tried before or does not reach the worker.
   */
  send(
    start: RelayedOrder['start'],
    sendBy: Instant,
    triedHosts: ReadonlySet<RelayHost>,
  ): Promise<RelayedResult | undefined> {
    return new Promise(settle => {
      this.pendingStarts.push({ start, sendBy, triedHosts, settle });
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    const now = this.ctx.clock();
    const delay = Math.max(0, this.sentAt + BATCH_WINDOW_MS - now);
    this.ctx.schedule(delay, () => {
      this.isScheduled = false;
      this.flush();
    });
  }

  /**
   * Sends all waiting starts through the same host, except those that it was given before or whose
   * worker it does not reach; these go through the next host.
   */
  private flush(): void {
    const batch = this.pendingStarts;
    this.pendingStarts = [];
    this.sentAt = this.ctx.clock();
    const hosts = this.usableHosts();
    const byHost = new Map<RelayHost, PendingStart[]>();
    for (const pending of batch) {
      const host = hosts.find(
        other =>
          !pending.triedHosts.has(other) &&
          other.reaches(pending.start.worker.id),
      );
      if (host === undefined) {
        pending.settle(undefined);
      } else {
        byHost.set(host, [...(byHost.get(host) ?? []), pending]);
      }
    }
    for (const [host, starts] of byHost) {
      void host.send(
        starts.map(pending => orderOf(pending, host)),
        this.acceptTimeout.ms,
      );
    }
  }

  /**
   * Returns the hosts that may be given starts, fast ones first, then the least busy. If most hosts
   * are in backoff at once, the cause is probably on this host, such as a full link. Those that
   * can send starts are used all the same, since nothing else relieves the link.
   */
  private usableHosts(): RelayHost[] {
    const available = [...this.hosts()].filter(
      ({ isAvailable }) => isAvailable,
    );
    const usable = available.filter(({ isUsable }) => isUsable);
    const candidates =
      2 * usable.length >= available.length
        ? usable
        : available.filter(({ isLastResort }) => isLastResort);
    return candidates.sort(
      (a, b) =>
        Number(a.isSlow) - Number(b.isSlow) ||
        a.inFlight - b.inFlight ||
        a.lastUsedAt - b.lastUsedAt,
    );
  }
}

function orderOf(
  { start, sendBy, settle }: PendingStart,
  by: RelayHost,
): RelayedOrder {
  return {
    start,
    sendBy,
    settle: res => {
      settle({ by, res });
    },
  };
}
