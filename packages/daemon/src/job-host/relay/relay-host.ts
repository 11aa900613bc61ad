/** A leader's contact with one host that sends starts for it. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  PeerPort,
  PeerProcess,
  RelayedStart,
  RelayResult,
} from '@paddlewind/ports/jobs';

import type { HostContext } from '../context.js';

/**
 * Time within which the other host has to send a start. The leader sends one by what it read of the inbox up
 * to 2.5 s before, and of the registry up to 1.5 s before, and is allowed half a second more of each.
 */
export const SEND_WITHIN_MS: Millis = 300;
/** How long a host is not used that does not reach a worker which this one reaches. */
const CUT_OFF_REST_MS: Millis = 3_000;
/** How long a host is not used that did not answer, and is asked for its process before it is. */
const SILENCE_REST_MS: Millis = 1_000;
/** How long a host is not used that has refused a start. */
const REFUSAL_REST_MS: Millis = 500;

/** What one process of the host has told. */
interface KnownProcess {
  readonly id: string;
  /** What its clock is ahead of the one here, at the least. */
  readonly aheadMs: Millis;
}

/** What a relay host is given. */
export interface RelayHostOptions {
  readonly ctx: HostContext;
  readonly peers: PeerPort;
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
}

/** A host that sends starts for this one, which leads. */
export class RelayHost {
  private known: KnownProcess | undefined;
  private restsUntil: Instant = -Infinity;
  private isAsking = false;

  /** Creates a contact to a host that was not called yet. */
  constructor(private readonly options: RelayHostOptions) {}

  /** Name of the host. */
  get host(): string {
    return this.options.host;
  }

  /** Where the host is reached. */
  get address(): string {
    return this.options.address;
  }

  /** Whether it may be given a start now. */
  get isUsable(): boolean {
    return this.known !== undefined && this.hasRested;
  }

  /** Asks which process is there, unless that is known: no start waits for a host that may be gone. */
  async identify(): Promise<void> {
    const { peers, address } = this.options;
    if (this.known !== undefined || this.isAsking || !this.hasRested) {
      return;
    }
    this.isAsking = true;
    const found = await peers.identify(address);
    this.isAsking = false;
    if (found === undefined) {
      this.rest('does not say which process it is', SILENCE_REST_MS);
    } else {
      this.noteClock(found);
    }
  }

  /** Has the host send a start. */
  async send(
    worker: RelayedStart['worker'],
    order: RelayedStart['order'],
  ): Promise<RelayResult> {
    const { ctx, peers, epoch, address } = this.options;
    const { id: process = '', aheadMs = 0 } = this.known ?? {};
    const sendBy = ctx.clock() + aheadMs + SEND_WITHIN_MS;
    const start = { epoch, process, sendBy, worker, order };
    const res = await peers.relay(address, start);
    this.take(res);
    return res;
  }

  /** Notes that a worker answers this host and not the other one. */
  noteCutOff(): void {
    this.rest('a worker does not answer it', CUT_OFF_REST_MS);
  }

  private rest(reason: string, span: Millis): void {
    const { ctx, host } = this.options;
    const until = ctx.clock() + span;
    if (until > this.restsUntil) {
      this.restsUntil = until;
      ctx.log.info(
        { by: host, reason, restMs: span },
        'relay: a host is given no starts for a while',
      );
    }
  }

  private get hasRested(): boolean {
    return this.options.ctx.clock() >= this.restsUntil;
  }

  private take(res: RelayResult): void {
    if (res.kind === 'failed') {
      this.rest(res.reason, SILENCE_REST_MS);
      // It may have been replaced: the next start is given to a process that has answered since.
      this.known = undefined;
      return;
    }
    this.noteClock(res);
    if (res.kind === 'refused' && res.why !== 'other_process') {
      this.rest(res.why, REFUSAL_REST_MS);
    }
  }

  /** An answer was given before it arrived: the host's clock is ahead by at least as much as it seems. */
  private noteClock({ process, clock }: PeerProcess): void {
    const aheadMs = clock - this.options.ctx.clock();
    this.known = { id: process, aheadMs };
  }
}
