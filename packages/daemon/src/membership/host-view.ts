/** Follows the lagging host list, keeps the last good one and joins what peers say of themselves. */
import type { Instant } from '@paddlewind/domain';
import type { Host, HostList } from '@paddlewind/ports';

import type { HostView, PartContext, Stop } from '../parts.js';
import { createListeners } from '../core/listeners.js';
import type { MembershipMetrics } from './metrics.js';

/** What the view needs. */
export interface HostViewOptions {
  readonly ctx: PartContext;
  readonly hostList: HostList;
  readonly pollMs: number;
  readonly metrics: MembershipMetrics;
  /** Ids of entry hosts that said themselves that they leave. */
  readonly leavingPeers: () => ReadonlySet<string>;
}

/** A running view of the host list. */
export interface RunningHostView extends HostView {
  /** Tells listeners that peers changed. */
  peersChanged(): void;
  /** Instant of the last good read; undefined before the first. */
  readAt(): Instant | undefined;
  stop: Stop;
}

function sameHosts(a: readonly Host[], b: readonly Host[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function withLeaving(
  listed: readonly Host[],
  leaving: ReadonlySet<string>,
): readonly Host[] {
  return listed.map(host =>
    host.role === 'entry' && leaving.has(host.id)
      ? { ...host, state: 'leaving' as const }
      : host,
  );
}

/** Starts to poll the host list. */
export function startHostView(options: HostViewOptions): RunningHostView {
  const { ctx, hostList, metrics } = options;
  const changed = createListeners();
  let listed: readonly Host[] = [];
  let joined: readonly Host[] = [];
  let readAt: Instant | undefined;
  let failing = false;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  function publish(): void {
    const next = withLeaving(listed, options.leavingPeers());
    if (!sameHosts(next, joined)) {
      joined = next;
      changed.emit();
    }
  }

  function noteFailure(message: string): void {
    metrics.listPolls.inc({ result: 'failed' });
    if (!failing) {
      ctx.log.warn(
        { err: message },
        'membership: host list cannot be read, keeping the last',
      );
    }
    failing = true;
  }

  function noteList(hosts: readonly Host[]): void {
    metrics.listPolls.inc({ result: 'ok' });
    if (failing) {
      ctx.log.info('membership: host list is read again');
    }
    failing = false;
    readAt = ctx.clock();
    if (hosts !== listed) {
      listed = hosts;
      publish();
    }
  }

  async function poll(): Promise<void> {
    const list = await hostList.list();
    if (stopped) {
      return;
    }
    if (list.isOk) {
      noteList(list.value);
    } else {
      noteFailure(list.error.message);
    }
    timer = setTimeout(() => void poll(), options.pollMs);
  }

  void poll();
  return {
    hosts: () => joined,
    onChange: listener => changed.add(listener),
    peersChanged: publish,
    readAt: () => readAt,
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
