/** Gathers starts for other hosts, and shares them among these. */
import type { Instant, Millis } from '@paddlewind/domain';

import { AdaptiveTimeout } from '../adaptive-timeout.js';
import type { HostContext } from '../context.js';
import type { RelayedOrder, RelayHost, RelayResult } from './relay-host.js';

/** Time for which starts are gathered once some were sent: a call for each would take twice the bytes. */
const GATHER_MS: Millis = 20;
/** Time within which a host has to take starts, at the least and at the most. */
const TAKEN_BOUNDS = { leastMs: 300, mostMs: 1_000 };

/** What became of a start, and by which host. */
export interface RelayedResult {
  readonly by: RelayHost;
  readonly res: RelayResult;
}

/** A start that waits to be sent with others. */
interface Waiting extends Pick<RelayedOrder, 'start' | 'sendBy'> {
  /** Hosts that it was given to before. */
  readonly tried: ReadonlySet<RelayHost>;
  readonly settle: (result: RelayedResult | undefined) => void;
}

/** Starts on their way to other hosts. */
export class RelayBatches {
  private waiting: Waiting[] = [];
  private isScheduled = false;
  private sentAt: Instant = -Infinity;
  private readonly slack = new AdaptiveTimeout(TAKEN_BOUNDS);

  /** Creates batches for `hosts`, which may be asked at any time. */
  constructor(
    private readonly ctx: HostContext,
    private readonly hosts: () => Iterable<RelayHost>,
  ) {}

  /** Notes how long a host took to take starts. */
  noteTaken(tookMs: Millis): void {
    this.slack.record(tookMs);
  }

  /** Whether there is a host that may be given starts. */
  get hasHost(): boolean {
    return this.usable().length > 0;
  }

  /** Has a host send a start, together with others; undefined where there is none beside those tried before. */
  send(
    start: RelayedOrder['start'],
    sendBy: Instant,
    tried: ReadonlySet<RelayHost>,
  ): Promise<RelayedResult | undefined> {
    return new Promise(settle => {
      this.waiting.push({ start, sendBy, tried, settle });
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    const now = this.ctx.clock();
    const delay = Math.max(0, this.sentAt + GATHER_MS - now);
    this.ctx.schedule(delay, () => {
      this.isScheduled = false;
      this.flush();
    });
  }

  /** All that waits goes by way of one host, but for what it was given before. */
  private flush(): void {
    const batch = this.waiting;
    this.waiting = [];
    this.sentAt = this.ctx.clock();
    const hosts = this.usable();
    const byHost = new Map<RelayHost, Waiting[]>();
    for (const one of batch) {
      const host = hosts.find(
        other => !one.tried.has(other) && other.reaches(one.start.worker.id),
      );
      if (host === undefined) {
        one.settle(undefined);
      } else {
        byHost.set(host, [...(byHost.get(host) ?? []), one]);
      }
    }
    for (const [host, starts] of byHost) {
      void host.send(
        starts.map(one => orderOf(one, host)),
        this.slack.ms,
      );
    }
  }

  /**
   * Hosts that may be given starts, the quick ones first, of these the least busy. Where most rest at once the
   * cause is likely here, as a link that is full: they are used on, since nothing else relieves it.
   */
  private usable(): RelayHost[] {
    const there = [...this.hosts()].filter(({ isThere }) => isThere);
    const rested = there.filter(({ isUsable }) => isUsable);
    const found =
      2 * rested.length >= there.length
        ? rested
        : there.filter(({ isLastResort }) => isLastResort);
    return found.sort(
      (a, b) =>
        Number(a.isSlow) - Number(b.isSlow) ||
        a.underWay - b.underWay ||
        a.lastUsedAt - b.lastUsedAt,
    );
  }
}

function orderOf(
  { start, sendBy, settle }: Waiting,
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
