/**
 * Sends the starts of a leader whose link can't carry all payloads. Standbys read the payloads of
 * jobs from the log anyway, so for starts beyond the link's budget the leader only tells a standby
 * which run to start on which worker, and the standby sends the start command. Decisions, fences
 * and ends of leases remain with the leader.
 */
import type { Millis } from '@paddlewind/domain';
import {
  reachableStandbys,
  startTimeOf,
  taskName,
  type JobsState,
} from '@paddlewind/domain/jobs';
import type {
  PeerPort,
  StartOrder,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { pause, type HostContext } from '../context.js';
import type { ProxiedWorkers } from '../proxy/proxied-workers.js';
import { LinkBudget } from './link-budget.js';
import { LinkPacer } from './link-pacer.js';
import type { LinkShares } from './link-shares.js';
import { RelayBatches, type RelayedResult } from './relay-batches.js';
import { RelayHost, type RelayResult } from './relay-host.js';
import { RelayWindow } from './relay-window.js';
import { combineWithRelayed, isConclusive } from './start-results.js';
import type { StartLimits, StartResult, StartSender } from './start-sender.js';

/** Interval at which standbys are looked up and asked which process runs on them. */
const IDENTIFY_INTERVAL_MS: Millis = 500;
/** Size of a start that the leader sends itself, without the job's payload. */
const DIRECT_START_BYTES = 300;
/** Starts to one worker that a proxy has at once; it sends them one after the other. */
const PROXIED_WIDTH = 8;
/** Number of hosts that are tried in turn before the leader sends the start itself. */
const MAX_RELAY_ATTEMPTS = 2;

const NOT_WANTED = { kind: 'not_wanted' } as const;

/** Dependencies and settings of relayed starts. */
export interface RelayedStartsOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly state: JobsState;
  readonly shares: LinkShares;
  /** Hosts that call workers for this one while it has no time to spare. */
  readonly proxied?: Pick<ProxiedWorkers, 'carries' | 'sendStart'>;
}

/** What is known of a start after other hosts were asked to send it. */
interface RelayAttempts {
  /** The conclusive result; undefined if the leader has to send the start itself. */
  readonly result: StartResult | undefined;
  /** Whether one of the hosts may have started the run or may still start it. */
  readonly mayStart: boolean;
  /** The host that got no answer from the worker. */
  readonly unreachedFrom: RelayHost | undefined;
}

/** Sends starts directly while the link carries them, and the rest through other hosts. */
export class RelayedStarts implements StartSender {
  private readonly hosts = new Map<string, RelayHost>();
  private readonly budget: LinkBudget;
  /** For starts that other hosts could not send. */
  private readonly retryPacer: LinkPacer;
  /** For all starts while no other host can send any. */
  private readonly directPacer: LinkPacer;
  private readonly window: RelayWindow;
  private readonly batches: RelayBatches;
  private closed = false;

  /** Creates a sender that knows no other host yet. */
  constructor(private readonly options: RelayedStartsOptions) {
    const { ctx, shares } = options;
    this.budget = new LinkBudget(ctx.clock, shares.payloads);
    this.retryPacer = new LinkPacer(ctx, shares.retries);
    this.directPacer = new LinkPacer(ctx, shares.withoutRelays);
    this.window = new RelayWindow(shares.withoutRelays);
    this.batches = new RelayBatches(ctx, () => this.hosts.values());
  }

  /** Stays in contact with the standbys if payloads may exceed the capacity of the link. */
  async begin(): Promise<void> {
    while (!this.closed && this.budget.mayBeExceeded) {
      this.updateHosts();
      for (const host of this.hosts.values()) {
        void host.identify();
      }
      await pause(this.options.ctx, IDENTIFY_INTERVAL_MS);
    }
  }

  /** Stops looking for other hosts. */
  close(): void {
    this.closed = true;
  }

  /** Whether starts wait for the link. */
  get hasWaitingStarts(): boolean {
    return this.batches.hasUsableHost
      ? this.window.isNarrow(this.options.ctx.clock())
      : this.directPacer.hasWaitingStarts;
  }

  /** Number of starts that the link can carry soon. */
  get maxStarts(): number {
    return this.batches.hasUsableHost
      ? this.window.size
      : this.directPacer.maxStarts;
  }

  /** Number of starts to a worker that may be sent at once. */
  widthFor(worker: WorkerAddress): number {
    // A worker that keeps its id when it starts again might carry several out that were meant for its last start.
    const isOneIncarnation = startTimeOf(worker.id) === undefined;
    const isProxied = this.options.proxied?.carries(worker) === true;
    return isProxied && isOneIncarnation ? PROXIED_WIDTH : 1;
  }

  /** Sends a start, through another host if it exceeds the budget of the local link. */
  async send(
    worker: WorkerAddress,
    order: StartOrder,
    limits: StartLimits,
  ): Promise<StartResult> {
    const { proxied } = this.options;
    if (proxied?.carries(worker) === true) {
      return proxied.sendStart(worker, order, limits);
    }
    if (this.budget.tryTake(bytesOf(order))) {
      return this.options.port.start(worker, order);
    }
    if (!this.batches.hasUsableHost) {
      return this.sendDirectly(this.directPacer, worker, order, limits);
    }
    const { result, mayStart, unreachedFrom } = await this.sendThroughHosts(
      worker,
      order,
      limits,
    );
    if (result !== undefined) {
      return result;
    }
    // A worker that already has the run accepts it again.
    const direct = await this.sendDirectly(
      this.retryPacer,
      worker,
      order,
      limits,
    );
    if (direct.kind === 'accepted') {
      unreachedFrom?.recordUnreachedWorker(worker.id);
    }
    return mayStart ? combineWithRelayed(direct) : direct;
  }

  /** Sends a start directly when it is its turn. */
  private async sendDirectly(
    pacer: LinkPacer,
    worker: WorkerAddress,
    order: StartOrder,
    { isWanted }: StartLimits,
  ): Promise<StartResult> {
    if (!isWanted()) {
      return NOT_WANTED;
    }
    const hasTurn = await pacer.admit(bytesOf(order));
    return hasTurn && isWanted()
      ? this.options.port.start(worker, order)
      : NOT_WANTED;
  }

  /** Has other hosts send a start, one after the other, until the result is conclusive. */
  private async sendThroughHosts(
    worker: WorkerAddress,
    order: StartOrder,
    { isWanted, sendBy }: StartLimits,
  ): Promise<RelayAttempts> {
    const { task, run, leaseUntil, fence, checkpoint, ticket } = order;
    const relayed = { task, run, leaseUntil, fence, checkpoint, ticket };
    const tried = new Set<RelayHost>();
    let mayStart = false;
    const { clock } = this.options.ctx;
    while (tried.size < MAX_RELAY_ATTEMPTS && isWanted() && clock() < sendBy) {
      const start = { worker, order: relayed };
      const found = await this.batches.send(start, sendBy, tried);
      if (found === undefined) {
        break;
      }
      this.logOutcome(worker, order, found);
      const { by, res } = found;
      tried.add(by);
      if (res.kind === 'sent' && isConclusive(res.result)) {
        const result = mayStart ? combineWithRelayed(res.result) : res.result;
        return { result, mayStart, unreachedFrom: undefined };
      }
      mayStart ||= mayHaveStarted(res);
      if (res.kind === 'sent') {
        return { result: undefined, mayStart, unreachedFrom: by };
      }
    }
    return { result: undefined, mayStart, unreachedFrom: undefined };
  }

  private logOutcome(
    worker: WorkerAddress,
    { task, run }: StartOrder,
    { by, res }: RelayedResult,
  ): void {
    const { ctx } = this.options;
    const outcome = res.kind === 'sent' ? res.result.kind : res.kind;
    ctx.meters.startRelayed(outcome);
    ctx.log.info(
      { task: taskName(task), run, worker: worker.id, by: by.host, outcome },
      'relay: a start went by way of another host',
    );
  }

  private updateHosts(): void {
    const { ctx, state } = this.options;
    const standbys = reachableStandbys(state, ctx.host, ctx.clock());
    for (const [host, { address }] of this.hosts) {
      if (standbys.get(host) !== address) {
        this.hosts.delete(host);
      }
    }
    for (const [host, address] of standbys) {
      if (!this.hosts.has(host)) {
        this.hosts.set(host, this.connectTo(host, address));
      }
    }
  }

  private connectTo(host: string, address: string): RelayHost {
    const { ctx, peers, epoch } = this.options;
    const { batches, window } = this;
    return new RelayHost({
      ctx,
      peers,
      epoch,
      host,
      address,
      lateAfterMs: () => window.lateAfterMs,
      onAccepted: (starts, tookMs) => {
        ctx.meters.startsTaken(tookMs);
        batches.recordAccepted(tookMs);
        window.recordAccepted(starts, tookMs, ctx.clock());
      },
      onLate: () => {
        window.recordLate(ctx.clock());
      },
    });
  }
}

/** Whether the other host may have started the run or may still start it. */
function mayHaveStarted(res: RelayResult): boolean {
  switch (res.kind) {
    case 'sent':
      return res.result.kind === 'unknown';
    case 'refused':
      return false;
    case 'failed':
      return res.outcome === 'unknown';
  }
}

function bytesOf({ payload }: StartOrder): number {
  return DIRECT_START_BYTES + payload.length;
}
