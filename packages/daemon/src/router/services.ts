/** The routers of all services, kept in step with configuration, hosts and peers. */
import {
  createDispatcher,
  objectKey,
  objectsOf,
  type AppError,
  type Dispatcher,
  type EntryHostInfo,
  type Instant,
  type ServiceSpec,
} from '@paddlewind/domain';

import { createListeners, type Listeners } from '../core/listeners.js';
import type {
  ConfigView,
  EndedRequest,
  HostView,
  PartContext,
  PeerView,
  RequestFeed,
  Stop,
} from '../parts.js';

import { backendsOf } from './backends.js';
import { createLatencyHub, type LatencyHub } from './latency-feed.js';
import {
  createRouterMetrics,
  type RouterMetrics,
  type ServiceLevels,
} from './metrics.js';
import { createPoolRegistry, type PoolRegistry } from './pool-registry.js';
import { buildRouteTable, type RouteTable } from './routes.js';
import { createServiceRouter, type ServiceRouter } from './service-router.js';
import type { RouterLimits, RouterSettings } from './settings.js';
import { createSteerWeights, type SteerWeights } from './steer-weights.js';

/** Makes the dispatcher of one service. */
export type DispatcherFactory = (service: ServiceSpec) => Dispatcher;

/** What the services are given. */
export interface ServicesOptions {
  readonly ctx: PartContext;
  readonly cfg: ConfigView;
  readonly hosts: HostView;
  readonly peers: PeerView;
  readonly settings: RouterSettings;
  readonly limits: RouterLimits;
  readonly closing: () => boolean;
  /** Overrides the dispatcher, in tests. */
  readonly dispatcherFor?: DispatcherFactory;
}

/** The routers of all services. */
export interface Services {
  /** Finds the router of a request. */
  find(host: string, path: string): ServiceRouter | undefined;
  readonly latency: LatencyHub;
  readonly requests: RequestFeed;
  inFlight(): number;
  /** Ends every exchange with this error. */
  stop(error: AppError): void;
  close(): void;
}

interface Entry {
  readonly version: number;
  readonly router: ServiceRouter;
}

interface ServicesState {
  readonly options: ServicesOptions;
  readonly entries: Map<string, Entry>;
  /** Routers of a replaced configuration that still have requests. */
  readonly retired: Set<ServiceRouter>;
  readonly metrics: RouterMetrics;
  readonly pools: PoolRegistry;
  readonly latency: LatencyHub;
  readonly weights: SteerWeights;
  readonly joinedAt: Instant;
  readonly requests: Listeners<[EndedRequest]>;
  table: RouteTable;
}

const QUEUE_TICK_MS = 10;
const IDLE_TICK_MS = 500;

/** Starts to follow configuration, hosts and peers. */
export function startServices(options: ServicesOptions): Services {
  const state = createState(options);
  const stops = follow(state);
  updateConfig(state);
  state.metrics.observe(() => levels(state));
  return {
    find(host, path) {
      const service = state.table.find(host, path);
      return service && state.entries.get(service.name)?.router;
    },
    latency: state.latency,
    requests: { onEnded: listener => state.requests.add(listener) },
    inFlight: () =>
      routers(state).reduce((sum, router) => sum + router.inFlight(), 0),
    stop(error) {
      for (const router of routers(state)) {
        router.stop(error);
      }
    },
    close() {
      for (const stop of stops) {
        stop();
      }
      state.pools.destroy();
    },
  };
}

function createState(options: ServicesOptions): ServicesState {
  const { ctx, cfg, limits, settings } = options;
  const entries = new Map<string, Entry>();
  const weights = createSteerWeights();
  return {
    options,
    entries,
    retired: new Set(),
    metrics: createRouterMetrics(ctx.metrics),
    pools: createPoolRegistry(ctx.clock, limits, (service, address) => {
      const dispatcher = entries.get(service)?.router.dispatcher;
      return dispatcher?.connectionLimit(address, ctx.clock()) ?? 0;
    }),
    latency: createLatencyHub((service, worker, weight) => {
      weights.set(service, worker, weight);
      entries.get(service)?.router.dispatcher.steer(worker, weight);
    }),
    weights,
    joinedAt: settings.joinedAt ?? ctx.clock(),
    requests: createListeners(),
    table: buildRouteTable(cfg.current()),
  };
}

function follow(state: ServicesState): Stop[] {
  const { cfg, hosts, peers } = state.options;
  return [
    cfg.onChange(() => {
      updateConfig(state);
    }),
    hosts.onChange(() => {
      updateHosts(state);
    }),
    peers.onChange(() => {
      updatePeers(state);
    }),
    every(IDLE_TICK_MS, () => {
      tick(state);
    }),
    every(QUEUE_TICK_MS, () => {
      tickQueues(state);
    }),
  ];
}

/** Routers of the configuration in force. */
function current(state: ServicesState): ServiceRouter[] {
  return [...state.entries.values()].map(entry => entry.router);
}

function routers(state: ServicesState): ServiceRouter[] {
  return [...current(state), ...state.retired];
}

function levels(state: ServicesState): ServiceLevels[] {
  return current(state).map(router => ({
    service: router.service.name,
    inFlight: router.inFlight(),
    queued: router.queueLength(),
  }));
}

function updateConfig(state: ServicesState): void {
  const config = state.options.cfg.current();
  const specs = objectsOf(config, 'service');
  for (const spec of specs) {
    const key = objectKey('service', spec.name);
    const version = config.objects.get(key)?.version ?? 0;
    if (state.entries.get(spec.name)?.version !== version) {
      replace(state, spec, version);
    }
  }
  const names = new Set(specs.map(spec => spec.name));
  for (const name of [...state.entries.keys()]) {
    if (!names.has(name)) {
      remove(state, name);
    }
  }
  state.table = buildRouteTable(config);
  updateHosts(state);
}

function replace(
  state: ServicesState,
  spec: ServiceSpec,
  version: number,
): void {
  retire(state, spec.name);
  const router = createRouter(state, spec);
  state.entries.set(spec.name, { version, router });
  state.weights.applyTo(spec.name, router.dispatcher);
  tellPeers(state, router);
}

function remove(state: ServicesState, name: string): void {
  retire(state, name);
  state.entries.delete(name);
  state.weights.remove(name);
  state.pools.keep(name, new Set());
  state.metrics.remove(name);
}

function retire(state: ServicesState, name: string): void {
  const before = state.entries.get(name);
  if (before !== undefined) {
    state.retired.add(before.router);
  }
}

function createRouter(
  state: ServicesState,
  service: ServiceSpec,
): ServiceRouter {
  const { options } = state;
  const { clock } = options.ctx;
  const { name } = service;
  const make = options.dispatcherFor ?? defaultDispatcher(state);
  return createServiceRouter({
    service,
    dispatcher: make(service),
    clock,
    metrics: state.metrics.service(name),
    pool: address => state.pools.pool(name, address),
    onLatency(worker, latencyMs) {
      state.latency.publish({ service: name, worker, latencyMs, at: clock() });
    },
    onEnded(req) {
      state.requests.emit({ ...req, service: name });
    },
    closing: options.closing,
  });
}

function updateHosts(state: ServicesState): void {
  const listed = state.options.hosts.hosts();
  const config = state.options.cfg.current();
  for (const router of routers(state)) {
    router.setBackends(backendsOf(router.service, listed, config));
  }
  for (const { service } of current(state)) {
    const backends = backendsOf(service, listed, config);
    const addresses = backends.map(backend => backend.address);
    state.pools.keep(service.name, new Set(addresses));
  }
}

function updatePeers(state: ServicesState): void {
  for (const router of current(state)) {
    tellPeers(state, router);
  }
  state.pools.trim();
}

function tellPeers(state: ServicesState, router: ServiceRouter): void {
  const { peers, settings, ctx } = state.options;
  const live = entryHosts(peers, settings);
  const { dispatcher } = router;
  router.apply(dispatcher.setPeers(live.length, ctx.clock(), live));
}

function tick(state: ServicesState): void {
  for (const router of routers(state)) {
    router.tick();
  }
  for (const router of state.retired) {
    if (router.inFlight() === 0) {
      state.retired.delete(router);
    }
  }
  state.pools.trim();
}

function tickQueues(state: ServicesState): void {
  for (const router of routers(state)) {
    if (router.queueLength() > 0) {
      router.tick();
    }
    router.expire();
  }
}

function defaultDispatcher(state: ServicesState): DispatcherFactory {
  const { options, joinedAt } = state;
  const { settings, ctx } = options;
  return service =>
    createDispatcher({
      service,
      self: settings.hostId,
      availabilityZone: settings.availabilityZone,
      entryHosts: settings.entryHosts,
      joinedAt,
      random: ctx.random,
    });
}

/** Entry hosts that may hold connections, this one first. */
function entryHosts(
  peers: PeerView,
  settings: RouterSettings,
): EntryHostInfo[] {
  const self = {
    id: peers.self,
    availabilityZone: settings.availabilityZone,
  };
  const others = peers
    .peers()
    .filter(peer => peer.id !== peers.self)
    .map(({ id, availabilityZone }) => ({ id, availabilityZone }));
  return [self, ...others];
}

function every(ms: number, act: () => void): Stop {
  const timer = setInterval(act, ms);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
