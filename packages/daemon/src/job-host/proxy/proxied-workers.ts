/**
 * The leader's calls to workers while it has no time to spare: hosts that stand by make them, and many of them
 * and of their answers pass in one message. The leader decides what each call says. Whatever a host does not
 * tell in time the leader asks the worker itself, so that a worker is judged by the leader's own calls only.
 */
import { hash32, type Instant, type Millis } from '@paddlewind/domain';
import { reachableStandbys, type JobsState } from '@paddlewind/domain/jobs';
import type {
  CallOutcome,
  ConnectionId,
  OrderResult,
  PollRequest,
  PollResult,
  ProxyPort,
  StartOrder,
  ThrottleOrder,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { pause, type HostContext } from '../context.js';
import { combineWithRelayed, isConclusive } from '../relay/start-results.js';
import type { StartLimits, StartResult } from '../relay/start-sender.js';
import { MAX_STARTS } from '../start-window.js';
import { POLL_RETRY_DELAY_MS } from '../timing.js';
import { ProxyDemand } from './proxy-demand.js';
import { ProxyLink, SWEEP_INTERVAL_MS } from './proxy-link.js';

/** Time for which the leader calls a worker itself that a proxy did not reach. */
const DIRECT_MS: Millis = 3_000;
/** Further starts in flight for each proxy. */
const STARTS_PER_PROXY = 50;
/** Number of proxies of a leader whose hosts are all in one availability zone. */
const MIN_PROXIES = 2;
/** Lag behind the fastest proxy from which one counts as slow. */
const SLOW_LAG_MS: Millis = 300;

/** Dependencies of proxied calls. */
export interface ProxiedWorkersOptions {
  readonly ctx: HostContext;
  /** The leader's own calls. */
  readonly direct: WorkerPort;
  readonly proxies: ProxyPort;
  readonly epoch: number;
  readonly state: JobsState;
}

/** How a worker is called. */
interface Route {
  /** Undefined if the leader calls it. */
  readonly link: ProxyLink | undefined;
  /** Value of `linksVersion` for which the link was chosen. */
  readonly version: number;
}

/** The connection over which a proxy has identified a worker. */
interface ProxiedConnection {
  readonly link: ProxyLink;
  readonly id: ConnectionId;
}

/** Calls workers by way of other hosts while the leader is saturated, otherwise directly. */
export class ProxiedWorkers implements WorkerPort {
  private readonly demand: ProxyDemand;
  private readonly links = new Map<string, ProxyLink>();
  private usableLinks: readonly ProxyLink[] = [];
  private linksVersion = 0;
  private readonly routes = new Map<string, Route>();
  private readonly connections = new Map<string, ProxiedConnection>();
  /** Times until which the leader calls workers itself, by incarnation. */
  private readonly directUntil = new Map<string, Instant>();
  private closed = false;

  /** Creates the calls of a new leader. Others call workers from the start if they did so for the last one. */
  constructor(private readonly options: ProxiedWorkersOptions) {
    this.demand = new ProxyDemand(options.state.usesProxies);
  }

  /** Whether other hosts are to call workers. */
  get isActive(): boolean {
    return this.demand.isActive;
  }

  /** Most starts in flight: those of the leader itself, and some for each proxy, which sends its own. */
  get maxStarts(): number {
    return MAX_STARTS + STARTS_PER_PROXY * this.usableLinks.length;
  }

  /** Follows the leader's load and the hosts that stand by until this is closed. */
  async begin(): Promise<void> {
    const { ctx } = this.options;
    while (!this.closed) {
      const load = {
        isSaturated: ctx.isSaturated(),
        busyPercent: ctx.busyPercent(),
      };
      this.demand.update(load, ctx.clock());
      this.updateLinks();
      await pause(ctx, SWEEP_INTERVAL_MS);
    }
  }

  /** Ends all sessions; the leader calls workers itself from now on. */
  close(): void {
    this.closed = true;
    for (const link of this.links.values()) {
      link.close();
    }
    this.links.clear();
    this.noteUsable([]);
  }

  /** Whether a proxy calls this worker now. */
  carries(worker: WorkerAddress): boolean {
    return this.linkFor(worker) !== undefined;
  }

  /** Sends a start by way of a proxy, and directly where the proxy does not settle it. */
  async sendStart(
    worker: WorkerAddress,
    order: StartOrder,
    { isWanted, sendBy }: StartLimits,
  ): Promise<StartResult> {
    const link = this.linkFor(worker);
    if (link === undefined) {
      return this.start(worker, order);
    }
    const { task, run, leaseUntil, fence, checkpoint, ticket } = order;
    const proxied = { task, run, leaseUntil, fence, checkpoint, ticket };
    const outcome = await link.start(worker, proxied, sendBy);
    this.options.ctx.meters.startRelayed(resultOf(outcome));
    if (outcome?.kind === 'sent' && isConclusive(outcome.result)) {
      return outcome.result;
    }
    if (outcome?.kind === 'refused') {
      link.noteRefused(outcome.why);
    } else {
      this.callDirectly(worker, link, outcome);
    }
    if (outcome?.kind === 'sent') {
      // The worker may have started again, so that another call would reach its next start.
      return { kind: 'unsure', reason: outcome.result.kind };
    }
    const mayStart = outcome?.kind !== 'refused';
    if (!isWanted() || !this.isKnown(worker)) {
      return mayStart
        ? { kind: 'unsure', reason: 'another host may have sent it' }
        : { kind: 'not_wanted' };
    }
    // A worker that already has the run accepts it again.
    const direct = await this.start(worker, order);
    return mayStart ? combineWithRelayed(direct) : direct;
  }

  /** Sends a start directly. */
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderResult> {
    return this.options.direct.start(worker, order);
  }

  /** Sends a stop directly: it must not wait for others, and there are few. */
  stop: WorkerPort['stop'] = (worker, order) =>
    this.options.direct.stop(worker, order);

  /** Limits a run. */
  async throttle(
    worker: WorkerAddress,
    order: ThrottleOrder,
  ): Promise<OrderResult> {
    const link = this.linkFor(worker);
    const outcome = await link?.throttle(worker, order);
    if (outcome?.kind === 'sent') {
      return outcome.result;
    }
    return link === undefined || this.isKnown(worker)
      ? this.options.direct.throttle(worker, order)
      : { kind: 'unknown', reason: 'disconnected' };
  }

  /** Polls a worker. */
  async poll(
    worker: WorkerAddress,
    request: PollRequest,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult> {
    const link = this.linkFor(worker);
    if (link === undefined) {
      return this.options.direct.poll(worker, request, takeLate);
    }
    const connection = this.connectionBy(link, worker);
    const outcome = await link.poll(worker, request, connection, late => {
      if (late.kind === 'polled' && late.result.kind !== 'failed') {
        takeLate(late.result);
      }
    });
    if (!this.isKnown(worker)) {
      return { kind: 'failed', reason: 'disconnected' };
    }
    if (outcome?.kind !== 'polled' || outcome.result.kind === 'failed') {
      this.callDirectly(worker, link, outcome);
      const res = await this.identifyDirectly(worker, request, takeLate);
      if (outcome !== undefined && res.kind === 'seen') {
        link.noteUnreachedWorker();
      }
      return res;
    }
    if (outcome.connection !== undefined) {
      this.connections.set(worker.id, { link, id: outcome.connection });
    }
    return outcome.result;
  }

  /** Whether the worker's incarnation was identified over the connection that the next poll uses. */
  isConnected(worker: WorkerAddress): boolean {
    const link = this.linkFor(worker);
    return link === undefined
      ? this.options.direct.isConnected(worker)
      : this.connectionBy(link, worker) !== undefined;
  }

  /** Forgets a removed worker. */
  disconnect(worker: WorkerAddress): void {
    this.routes.delete(worker.id);
    this.connections.delete(worker.id);
    this.directUntil.delete(worker.id);
    this.options.direct.disconnect(worker);
  }

  /**
   * Whether a worker that a proxy calls was not disconnected meanwhile. A direct call would open a connection to it
   * that nobody closes.
   */
  private isKnown(worker: WorkerAddress): boolean {
    return !this.closed && this.routes.has(worker.id);
  }

  /**
   * Identifies a worker by a call of the leader's own, which waits for nothing and extends no lease. The answer is
   * passed on as late as after any failed poll: a leader whose machine was suspended counts its leases by a clock
   * that stood still, and must learn first that another host leads.
   */
  private async identifyDirectly(
    worker: WorkerAddress,
    request: PollRequest,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult> {
    const probe = {
      ...request,
      acknowledged: 0,
      leaseUntil: undefined,
      waitMs: 0,
    };
    const asProbe = (res: PollResult): PollResult =>
      res.kind === 'seen' ? { ...res, isProbe: true } : res;
    const res = await this.options.direct.poll(worker, probe, late => {
      takeLate(asProbe(late));
    });
    await pause(this.options.ctx, POLL_RETRY_DELAY_MS);
    return asProbe(res);
  }

  /** Calls a worker directly for a while, unless only the session with the proxy has ended. */
  private callDirectly(
    worker: WorkerAddress,
    link: ProxyLink,
    outcome: CallOutcome | undefined,
  ): void {
    if (outcome !== undefined || link.isUsable) {
      const until = this.options.ctx.clock() + DIRECT_MS;
      this.directUntil.set(worker.id, until);
    }
  }

  private connectionBy(
    link: ProxyLink,
    worker: WorkerAddress,
  ): ConnectionId | undefined {
    const known = this.connections.get(worker.id);
    return known?.link === link ? known.id : undefined;
  }

  private linkFor(worker: WorkerAddress): ProxyLink | undefined {
    if (this.usableLinks.length === 0) {
      return undefined;
    }
    const until = this.directUntil.get(worker.id);
    if (until !== undefined) {
      if (this.options.ctx.clock() < until) {
        return undefined;
      }
      this.directUntil.delete(worker.id);
    }
    const route = this.routes.get(worker.id);
    if (route?.version === this.linksVersion) {
      return route.link?.isUsable === true ? route.link : undefined;
    }
    const link = chooseLink(this.usableLinks, worker);
    this.routes.set(worker.id, { link, version: this.linksVersion });
    return link?.isUsable === true ? link : undefined;
  }

  /** Keeps a session with each host that stands by while they are needed; else lets calls end first. */
  private updateLinks(): void {
    const { ctx, state } = this.options;
    const standbys = this.demand.isActive
      ? reachableStandbys(state, ctx.host, ctx.clock())
      : new Map<string, string>();
    for (const [host, link] of this.links) {
      link.sweep();
      if (standbys.get(host) !== link.address && !link.isBusy) {
        link.close();
        this.links.delete(host);
      }
    }
    for (const [host, address] of standbys) {
      if (!this.links.has(host)) {
        const link = new ProxyLink({
          ...this.options,
          host,
          address,
          port: this.options.proxies,
        });
        this.links.set(host, link);
      }
    }
    const offered = [...this.links.values()].filter(
      link => standbys.get(link.host) === link.address,
    );
    restSlow(offered);
    const chosen = chooseProxies(offered, this.usableLinks);
    for (const link of offered) {
      if (chosen.has(link) || !link.isIdentified) {
        link.connect();
      } else if (!link.isBusy) {
        link.close();
      }
    }
    this.noteUsable(offered.filter(link => chosen.has(link) && link.isUsable));
  }

  private noteUsable(links: readonly ProxyLink[]): void {
    const isSame =
      links.length === this.usableLinks.length &&
      links.every((link, at) => link === this.usableLinks[at]);
    if (isSame) {
      return;
    }
    const before = this.usableLinks.length;
    this.usableLinks = links;
    this.linksVersion += 1;
    this.options.ctx.log.info(
      { before, proxies: links.map(({ host }) => host) },
      'proxy: other hosts that call workers changed',
    );
  }
}

/**
 * Chooses a host for each availability zone, and two at the least: more would cost the leader more messages. Those
 * that call now are preferred.
 */
function chooseProxies(
  offered: readonly ProxyLink[],
  current: readonly ProxyLink[],
): Set<ProxyLink> {
  const fit = offered
    .filter(link => link.isIdentified && !link.isResting)
    .sort((a, b) => Number(current.includes(b)) - Number(current.includes(a)));
  const zones = new Set<string | undefined>();
  const chosen = new Set<ProxyLink>();
  for (const link of fit) {
    if (!zones.has(link.availabilityZone)) {
      zones.add(link.availabilityZone);
      chosen.add(link);
    }
  }
  for (const link of fit) {
    if (chosen.size < MIN_PROXIES) {
      chosen.add(link);
    }
  }
  return chosen;
}

/** Gives slow hosts a rest. What delays the leader itself delays the signs of life of all hosts. */
function restSlow(links: readonly ProxyLink[]): void {
  const open = links.filter(({ isUsable }) => isUsable);
  const fastestMs = Math.min(...open.map(({ lagMs }) => lagMs));
  for (const link of open) {
    link.noteLag(link.lagMs - fastestMs > SLOW_LAG_MS);
  }
}

/** Returns the host that calls a worker: one of the worker's availability zone if there is any, the same at each call. */
function chooseLink(
  links: readonly ProxyLink[],
  { id, availabilityZone }: WorkerAddress,
): ProxyLink | undefined {
  const near = links.filter(
    link =>
      availabilityZone !== undefined &&
      link.availabilityZone === availabilityZone,
  );
  let best: ProxyLink | undefined;
  let highest = -1;
  for (const link of near.length > 0 ? near : links) {
    const weight = hash32(`${id}\u0000${link.host}`);
    if (weight > highest) {
      best = link;
      highest = weight;
    }
  }
  return best;
}

/** Returns how the metrics name an outcome of a start. */
function resultOf(outcome: CallOutcome | undefined): string {
  return outcome?.kind === 'sent'
    ? outcome.result.kind
    : (outcome?.kind ?? 'failed');
}
