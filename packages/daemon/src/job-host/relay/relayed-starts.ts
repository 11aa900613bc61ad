/**
 * Starts of a leader whose link can't carry the payload of each. A job's payload is in the log, which the
 * hosts that stand by read anyway: for what is beyond the link's budget one of them is told which run is to
 * begin where, and sends the order. Decisions, fences and ends of leases stay the leader's own.
 */
import { createHash } from 'node:crypto';

import type { Millis } from '@paddlewind/domain';
import {
  reachableStandbys,
  taskName,
  type JobsState,
} from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  PeerPort,
  RelayResult,
  StartOrder,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { pause, type HostContext } from '../context.js';
import type { LinkBudget } from './link-budget.js';
import type { LinkPace } from './link-pace.js';
import { RelayHost } from './relay-host.js';
import type { StartResult, StartSender } from './start-sender.js';

/** How often hosts are looked for that could send starts, and asked who they are. */
const IDENTIFY_EVERY_MS: Millis = 500;
/** Bytes of a start beside the job's payload. */
const START_BYTES = 300;

/** What relayed starts are given. */
export interface RelayedStartsOptions {
  readonly ctx: HostContext;
  readonly port: WorkerPort;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly state: JobsState;
  readonly budget: LinkBudget;
  readonly pace: LinkPace;
}

/** Sends starts itself while its link carries them, and has others send the rest. */
export class RelayedStarts implements StartSender {
  private readonly hosts = new Map<string, RelayHost>();
  private closed = false;

  /** Creates a sender that knows no other host yet. */
  constructor(private readonly options: RelayedStartsOptions) {}

  /** Keeps in touch with the hosts that stand by where payloads may exceed what the link carries. */
  async begin(): Promise<void> {
    while (!this.closed && this.options.budget.mayRunShort) {
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
    return this.options.pace.isBusy;
  }

  /** How many starts the link carries soon. */
  get mostStarts(): number {
    return this.options.pace.mostStarts;
  }

  /** Sends a start, by way of another host where this one's link has no room for it. */
  send(
    worker: WorkerAddress,
    order: StartOrder,
    isWanted: () => boolean,
  ): Promise<StartResult> {
    const hasRoom = this.options.budget.take(bytesOf(order));
    const host = hasRoom ? undefined : this.hostFor(worker);
    if (host !== undefined) {
      return this.sendBy(host, worker, order, isWanted);
    }
    const { port, pace } = this.options;
    return pace.isLimited
      ? this.sendOwn(worker, order, isWanted)
      : port.start(worker, order);
  }

  /** Sends a start itself, when it is its turn. */
  private sendOwn(
    worker: WorkerAddress,
    order: StartOrder,
    isWanted: () => boolean,
  ): Promise<StartResult> {
    const { port } = this.options;
    return this.inTurn(bytesOf(order), isWanted, () =>
      port.start(worker, order),
    );
  }

  private async inTurn<T>(
    bytes: number,
    isWanted: () => boolean,
    send: () => Promise<T>,
  ): Promise<T | { readonly kind: 'not_wanted' }> {
    const hasTurn = await this.options.pace.admit(bytes);
    return hasTurn && isWanted() ? send() : { kind: 'not_wanted' };
  }

  private async sendBy(
    host: RelayHost,
    worker: WorkerAddress,
    order: StartOrder,
    isWanted: () => boolean,
  ): Promise<StartResult> {
    const { ctx } = this.options;
    const { task, run, leaseUntil, fence, checkpoint, ticket } = order;
    const relayed = { task, run, leaseUntil, fence, checkpoint, ticket };
    const res = await this.inTurn(START_BYTES, isWanted, () => {
      ctx.log.info(
        { task: taskName(task), run, worker: worker.id, by: host.host },
        'relay: a start goes by way of another host',
      );
      return host.send(worker, relayed);
    });
    if (res.kind === 'not_wanted') {
      return res;
    }
    ctx.meters.startRelayed(res.kind === 'sent' ? res.result.kind : res.kind);
    if (res.kind === 'sent' && isCertain(res.result)) {
      return res.result;
    }
    // A worker that has the run already accepts it once more.
    const own = await this.sendOwn(worker, order, isWanted);
    if (res.kind === 'sent' && own.kind === 'accepted') {
      host.noteCutOff();
    }
    return mayBegin(res) ? afterAnother(own) : own;
  }

  /** Each worker has a host of its own, and another one while that rests: few connections, even shares. */
  private hostFor({ id }: WorkerAddress): RelayHost | undefined {
    let best: RelayHost | undefined;
    let highest = '';
    for (const host of this.hosts.values()) {
      const rank = rankOf(id, host.host);
      if (host.isUsable && rank > highest) {
        best = host;
        highest = rank;
      }
    }
    return best;
  }

  private updateHosts(): void {
    const { ctx, state, peers, epoch } = this.options;
    const there = reachableStandbys(state, ctx.host, ctx.clock());
    for (const [host, { address }] of this.hosts) {
      if (there.get(host) !== address) {
        this.hosts.delete(host);
      }
    }
    for (const [host, address] of there) {
      if (!this.hosts.has(host)) {
        const options = { ctx, peers, epoch, host, address };
        this.hosts.set(host, new RelayHost(options));
      }
    }
  }
}

/** Whether nothing is left open: the run has begun, or was turned down and can't begin. */
function isCertain({ kind }: OrderResult): boolean {
  return kind === 'accepted' || kind === 'rejected' || kind === 'replaced';
}

/** Whether the other host may have begun the run, or may still. */
function mayBegin(res: RelayResult): boolean {
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
  return START_BYTES + payload.length;
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

/** Rank of a host for a worker: the highest one is chosen, and others keep theirs when one is gone. */
function rankOf(worker: string, host: string): string {
  return createHash('sha1').update(`${worker} ${host}`).digest('hex');
}
