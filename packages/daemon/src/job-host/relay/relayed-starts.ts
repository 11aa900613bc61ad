/**
 * Starts of a leader whose link can't carry the payload of each. A job's payload is in the log, which the
 * hosts that stand by read anyway: for what is beyond the link's budget one of them is told which run is to
 * begin where, and sends the order. Decisions, fences and ends of leases stay the leader's own.
 */
import type { Millis } from '@paddlewind/domain';
import {
  reachableStandbys,
  taskName,
  type JobsState,
} from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  PeerPort,
  StartOrder,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { pause, type HostContext } from '../context.js';
import { LinkBudget } from './link-budget.js';
import { LinkPace } from './link-pace.js';
import type { LinkShares } from './link-shares.js';
import { RelayBatches, type RelayedResult } from './relay-batches.js';
import { RelayHost, type RelayResult } from './relay-host.js';
import { RelayWindow } from './relay-window.js';
import type { StartLimits, StartResult, StartSender } from './start-sender.js';

/** How often hosts are looked for that could send starts, and asked who they are. */
const IDENTIFY_EVERY_MS: Millis = 500;
/** Bytes of a start that the leader sends itself, beside the job's payload. */
const OWN_START_BYTES = 300;
/** Hosts that a start is given to, one after the other, before the leader sends it. */
const MOST_TRIES = 2;

const NOT_WANTED = { kind: 'not_wanted' } as const;

/** What relayed starts are given. */
export interface RelayedStartsOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly state: JobsState;
  readonly shares: LinkShares;
}

/** What is known of a start once other hosts were to send it. */
interface Attempts {
  /** What is certain; undefined where the leader has to send it. */
  readonly result: StartResult | undefined;
  /** Whether one of the hosts may have begun the run, or may still. */
  readonly mayBegin: boolean;
  /** The host that a worker did not answer. */
  readonly unanswered: RelayHost | undefined;
}

/** Sends starts itself while its link carries them, and has others send the rest. */
export class RelayedStarts implements StartSender {
  private readonly hosts = new Map<string, RelayHost>();
  private readonly budget: LinkBudget;
  /** For starts that other hosts could not send. */
  private readonly retries: LinkPace;
  /** For all starts, while no other host can send any. */
  private readonly alone: LinkPace;
  private readonly window: RelayWindow;
  private readonly batches: RelayBatches;
  private closed = false;

  /** Creates a sender that knows no other host yet. */
  constructor(private readonly options: RelayedStartsOptions) {
    const { ctx, shares } = options;
    this.budget = new LinkBudget(ctx.clock, shares.payloads);
    this.retries = new LinkPace(ctx, shares.retries);
    this.alone = new LinkPace(ctx, shares.alone);
    this.window = new RelayWindow(shares.alone);
    this.batches = new RelayBatches(ctx, () => this.hosts.values());
  }

  /** Keeps in touch with the hosts that stand by where payloads may exceed what the link carries. */
  async begin(): Promise<void> {
    while (!this.closed && this.budget.mayRunShort) {
      this.updateHosts();
      for (const host of this.hosts.values()) {
        void host.identify();
      }
      await pause(this.options.ctx, IDENTIFY_EVERY_MS);
    }
  }

  /** Looks for other hosts no more. */
  close(): void {
    this.closed = true;
  }

  /** Whether starts wait for the link. */
  get isBusy(): boolean {
    return this.batches.hasHost
      ? this.window.isNarrow(this.options.ctx.clock())
      : this.alone.isBusy;
  }

  /** How many starts the link carries soon. */
  get maxStarts(): number {
    return this.batches.hasHost ? this.window.size : this.alone.mostStarts;
  }

  /** Sends a start, by way of another host where this one's link has no room for it. */
  async send(
    worker: WorkerAddress,
    order: StartOrder,
    limits: StartLimits,
  ): Promise<StartResult> {
    if (this.budget.take(bytesOf(order))) {
      return this.options.port.start(worker, order);
    }
    if (!this.batches.hasHost) {
      return this.sendOwn(this.alone, worker, order, limits);
    }
    const { result, mayBegin, unanswered } = await this.sendByOthers(
      worker,
      order,
      limits,
    );
    if (result !== undefined) {
      return result;
    }
    // A worker that has the run already accepts it once more.
    const own = await this.sendOwn(this.retries, worker, order, limits);
    if (own.kind === 'accepted') {
      unanswered?.noteCutOff(worker.id);
    }
    return mayBegin ? afterAnother(own) : own;
  }

  /** Sends a start itself, when it is its turn. */
  private async sendOwn(
    pace: LinkPace,
    worker: WorkerAddress,
    order: StartOrder,
    { isWanted }: StartLimits,
  ): Promise<StartResult> {
    if (!isWanted()) {
      return NOT_WANTED;
    }
    const hasTurn = await pace.admit(bytesOf(order));
    return hasTurn && isWanted()
      ? this.options.port.start(worker, order)
      : NOT_WANTED;
  }

  /** Has other hosts send a start, one after the other, until it is certain what became of it. */
  private async sendByOthers(
    worker: WorkerAddress,
    order: StartOrder,
    { isWanted, sendBy }: StartLimits,
  ): Promise<Attempts> {
    const { task, run, leaseUntil, fence, checkpoint, ticket } = order;
    const relayed = { task, run, leaseUntil, fence, checkpoint, ticket };
    const tried = new Set<RelayHost>();
    let mayBegin = false;
    const { clock } = this.options.ctx;
    while (tried.size < MOST_TRIES && isWanted() && clock() < sendBy) {
      const start = { worker, order: relayed };
      const found = await this.batches.send(start, sendBy, tried);
      if (found === undefined) {
        break;
      }
      this.tell(worker, order, found);
      const { by, res } = found;
      tried.add(by);
      if (res.kind === 'sent' && isCertain(res.result)) {
        const result = mayBegin ? afterAnother(res.result) : res.result;
        return { result, mayBegin, unanswered: undefined };
      }
      mayBegin ||= mayBeginAfter(res);
      if (res.kind === 'sent') {
        return { result: undefined, mayBegin, unanswered: by };
      }
    }
    return { result: undefined, mayBegin, unanswered: undefined };
  }

  private tell(
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
    const there = reachableStandbys(state, ctx.host, ctx.clock());
    for (const [host, { address }] of this.hosts) {
      if (there.get(host) !== address) {
        this.hosts.delete(host);
      }
    }
    for (const [host, address] of there) {
      if (!this.hosts.has(host)) {
        this.hosts.set(host, this.contactOf(host, address));
      }
    }
  }

  private contactOf(host: string, address: string): RelayHost {
    const { ctx, peers, epoch } = this.options;
    const { batches, window } = this;
    return new RelayHost({
      ctx,
      peers,
      epoch,
      host,
      address,
      taken: (starts, tookMs) => {
        ctx.meters.startsTaken(tookMs);
        batches.noteTaken(tookMs);
        window.noteTaken(starts, tookMs, ctx.clock());
      },
      late: () => {
        window.noteLate(ctx.clock());
      },
    });
  }
}

/** Whether nothing is left open: the run has begun, or was turned down and can't begin. */
function isCertain({ kind }: OrderResult): boolean {
  return kind === 'accepted' || kind === 'rejected' || kind === 'replaced';
}

/** Whether the other host may have begun the run, or may still. */
function mayBeginAfter(res: RelayResult): boolean {
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
  return OWN_START_BYTES + payload.length;
}

/**
 * What is known of a start that was sent again after another host may have sent it: only that a run was
 * accepted, or what ends the link. A run that is refused as old may have begun and ended.
 */
function afterAnother(own: StartResult): StartResult {
  const isFenced = own.kind === 'rejected' && own.why === 'fenced';
  switch (own.kind) {
    case 'accepted':
    case 'replaced':
    case 'unknown':
    case 'unsure':
      return own;
    case 'not_wanted':
      return { kind: 'unsure', reason: 'another host may have sent it' };
    case 'not_run':
      return { kind: 'unknown', reason: own.reason };
    case 'rejected':
      return isFenced ? own : { kind: 'unsure', reason: own.why };
  }
}
