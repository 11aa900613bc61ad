/** The membership part of the daemon: heartbeats between entry hosts and the host list. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { ConnectRouter } from '@connectrpc/connect';
import {
  createMembership,
  DEFAULT_MEMBERSHIP_SETTINGS,
  type DeclaredState,
  type Instant,
  type Membership,
  type MembershipSettings,
  type MemberAddress,
  type MemberView,
  newIncarnation,
} from '@paddlewind/domain';
import type { HostList } from '@paddlewind/ports';

import type { HostView, PartContext, Peer, PeerView, Stop } from '../parts.js';
import { createPeerCalls } from './calls.js';
import { startHostView } from './host-view.js';
import { createListeners } from '../core/listeners.js';
import {
  createMembershipMetrics,
  type MembershipMetrics,
  registerMembershipGauges,
} from './metrics.js';
import { peerRoutes } from './routes.js';
import type { PeerTransports } from './transports.js';

/** What the part is started with. */
export interface MembershipPartOptions {
  readonly ctx: PartContext;
  readonly self: MemberAddress;
  readonly hostList: HostList;
  readonly transports: PeerTransports;
  /** Next offset of the configuration stream that this host has in force. */
  readonly configOffset: () => number;
  /** Whether this host is ready for callers. */
  readonly readiness: () => 'ready' | 'not_ready';
  readonly settings?: Partial<MembershipSettings>;
  readonly hostListPollMs?: number;
  /** Wall-clock start of the process, which names its incarnation. */
  readonly startedAt?: Instant;
}

/** The running part. */
export interface MembershipPart {
  readonly peers: PeerView;
  readonly hosts: HostView;
  /** Registers the handlers of `PeerService`. */
  readonly peerRoutes: (router: ConnectRouter) => void;
  /** Whether peers are known and none has answered a call of ours for the cut-off time. */
  cutOff(): boolean;
  /** Tells every peer that this host leaves; resolves when they know, or at the deadline. */
  leave(deadline: Instant): Promise<void>;
  stop: Stop;
}

const DEFAULT_POLL_MS = 1_000;
const TICKS_PER_INTERVAL = 5;

function peerOf(view: MemberView): Peer {
  return {
    id: view.id,
    address: view.address,
    region: view.region,
    availabilityZone: view.availabilityZone,
    incarnation: view.incarnation,
    state: view.state,
    configOffset: view.configOffset,
    heardAt: view.heardAt,
  };
}

function logChanges(
  ctx: PartContext,
  metrics: MembershipMetrics,
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): void {
  for (const [id, state] of after) {
    if (before.get(id) !== state) {
      metrics.changes.inc({ state });
      ctx.log.info({ peer: id, state }, 'membership: peer changed');
    }
  }
  for (const id of before.keys()) {
    if (!after.has(id)) {
      metrics.changes.inc({ state: 'gone' });
      ctx.log.warn({ peer: id }, 'membership: peer is gone');
    }
  }
}

function createWatch(
  ctx: PartContext,
  metrics: MembershipMetrics,
  membership: Membership,
  onChange: () => void,
) {
  let version = -1;
  let states: ReadonlyMap<string, string> = new Map();
  return () => {
    if (membership.version() === version) {
      return;
    }
    version = membership.version();
    const next = new Map(membership.members().map(m => [m.id, m.state]));
    logChanges(ctx, metrics, states, next);
    states = next;
    onChange();
  };
}

function leavingIds(membership: Membership): ReadonlySet<string> {
  const leaving = membership.members().filter(m => m.state === 'leaving');
  return new Set(leaving.map(member => member.id));
}

function build(options: MembershipPartOptions) {
  const { ctx, self, transports } = options;
  const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
  const metrics = createMembershipMetrics(ctx.metrics);
  const startedAt = options.startedAt ?? Date.now();
  const membership = createMembership({
    self,
    incarnation: newIncarnation(startedAt, ctx.random),
    settings,
    random: ctx.random,
    now: ctx.clock(),
  });
  const calls = createPeerCalls({
    clock: ctx.clock,
    membership,
    transports,
    metrics,
    callTimeoutMs: settings.callTimeoutMs,
  });
  const hosts = startHostView({
    ctx,
    hostList: options.hostList,
    pollMs: options.hostListPollMs ?? DEFAULT_POLL_MS,
    metrics,
    leavingPeers: () => leavingIds(membership),
  });
  const changed = createListeners();
  const watch = createWatch(ctx, metrics, membership, () => {
    hosts.peersChanged();
    changed.emit();
  });
  return { settings, membership, calls, hosts, changed, watch };
}

type BuiltParts = ReturnType<typeof build>;

function registerGauges(options: MembershipPartOptions, built: BuiltParts) {
  const { clock, metrics } = options.ctx;
  const { membership, hosts } = built;
  registerMembershipGauges(metrics, membership, {
    cutOff: () => membership.cutOff(clock()),
    listAgeSeconds() {
      const readAt = hosts.readAt();
      return readAt === undefined ? Infinity : (clock() - readAt) / 1_000;
    },
  });
}

function startTicks(
  options: MembershipPartOptions,
  built: BuiltParts,
  ownState: () => DeclaredState,
) {
  const { clock } = options.ctx;
  const { settings, membership, hosts, calls, watch } = built;

  function tick(): void {
    const configOffset = options.configOffset();
    membership.setSelf({ state: ownState(), configOffset }, clock());
    for (const action of membership.tick(clock())) {
      void calls.run(action).then(watch);
    }
    watch();
  }

  function takeList(): void {
    const entries = hosts.hosts().filter(host => host.role === 'entry');
    membership.setListed(entries, clock());
    const kept = [...entries, ...membership.members()].map(m => m.address);
    options.transports.retain(new Set(kept));
  }

  const stopListening = hosts.onChange(takeList);
  const timer = setInterval(tick, settings.intervalMs / TICKS_PER_INTERVAL);
  const stop: Stop = () => {
    clearInterval(timer);
    stopListening();
  };
  return { tick, stop };
}

function peerView(self: string, built: BuiltParts): PeerView {
  const { membership, changed } = built;
  return {
    self,
    peers: () => membership.members().map(peerOf),
    onChange: listener => changed.add(listener),
  };
}

/** Starts the part; stop it with `stop`, after `leave` where the stop is planned. */
export function startMembership(
  options: MembershipPartOptions,
): MembershipPart {
  const { clock } = options.ctx;
  const built = build(options);
  const { membership, calls, hosts, watch } = built;
  let leaving = false;
  const ticks = startTicks(options, built, () =>
    leaving ? 'leaving' : options.readiness(),
  );
  registerGauges(options, built);

  return {
    peers: peerView(options.self.id, built),
    hosts,
    peerRoutes: peerRoutes({ clock, membership, calls, changed: watch }),
    cutOff: () => membership.cutOff(clock()),
    async leave(deadline) {
      leaving = true;
      ticks.tick();
      const told = membership.members().map(member => calls.reach(member));
      const span = Math.max(0, deadline - clock());
      const timeout = sleep(span, undefined, { ref: false });
      await Promise.race([Promise.all(told), timeout]);
    },
    stop() {
      ticks.stop();
      hosts.stop();
      options.transports.close();
    },
  };
}
