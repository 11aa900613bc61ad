/** Sends starts to workers for the leader, whose link can't carry them all. */
import type { Instant, Millis } from '@paddlewind/domain';
import { isFinished } from '@paddlewind/domain/jobs';
import type {
  PeerProcess,
  RelayBatch,
  RelayedStart,
  RelayOutcome,
  RelayRefusal,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import type { HostContext } from '../context.js';
import type { Replica } from '../replica.js';

/** Connections to a worker that was sent nothing for this long are closed. */
const FORGET_WORKER_MS: Millis = 30_000;
/** Base in which the name of a process is written. */
const NAME_BASE = 36;

/** What a relay is given. */
export interface StartRelayOptions {
  readonly ctx: HostContext;
  readonly replica: Pick<Replica, 'state' | 'refresh'>;
  readonly port: () => WorkerPort;
  /** Whether this host follows the log for a leader. */
  readonly follows: () => boolean;
}

/** A worker to which a start was sent. */
interface UsedWorker {
  readonly worker: WorkerAddress;
  readonly usedAt: Instant;
}

/**
 * The part of a host that sends starts for the leader. It decides nothing and keeps nothing: fence, lease
 * and number of the run are the leader's, and the worker refuses what has been overtaken.
 */
export class StartRelay {
  private readonly used = new Map<string, UsedWorker>();
  private port: WorkerPort | undefined;
  private process: string | undefined;

  /** Creates a relay that has sent nothing. */
  constructor(private readonly options: StartRelayOptions) {}

  /** Sends the starts of a batch beside each other, and tells what became of each, or why it was not sent. */
  async take(
    batch: RelayBatch,
    told: (at: number, outcome: RelayOutcome) => void,
  ): Promise<void> {
    const sending = batch.starts.map(async (start, at) => {
      told(at, await this.send(batch, start));
    });
    await Promise.all(sending);
  }

  private async send(
    batch: RelayBatch,
    { worker, order, sendBy }: RelayedStart,
  ): Promise<RelayOutcome> {
    const { ctx, replica } = this.options;
    const refusal = this.whyNot(batch, sendBy);
    if (refusal !== undefined) {
      return { kind: 'refused', why: refusal };
    }
    const { job } = order.task;
    if (!replica.state.jobs.has(job)) {
      await replica.refresh('inbox');
    }
    const found = replica.state.jobs.get(job);
    if (found === undefined || isFinished(found)) {
      return { kind: 'refused', why: 'unknown_job' };
    }
    // Reading the log may have taken long, and told of another leader.
    const changed = this.whyNot(batch, sendBy);
    if (changed !== undefined) {
      return { kind: 'refused', why: changed };
    }
    this.used.set(worker.id, { worker, usedAt: ctx.clock() });
    this.port ??= this.options.port();
    const { payload } = found.spec;
    const result = await this.port.start(worker, { ...order, payload });
    return { kind: 'sent', result };
  }

  /** Tells which process this is. */
  identify(): PeerProcess {
    return { process: this.name(), clock: this.options.ctx.clock() };
  }

  /** Closes connections that are no longer used. */
  forgetUnused(): void {
    const now = this.options.ctx.clock();
    for (const [id, { worker, usedAt }] of this.used) {
      if (now - usedAt > FORGET_WORKER_MS) {
        this.used.delete(id);
        this.port?.forget(worker);
      }
    }
  }

  private whyNot(
    { epoch, process }: RelayBatch,
    sendBy: Instant,
  ): RelayRefusal | undefined {
    const { ctx, replica, follows } = this.options;
    if (process !== this.name()) {
      return 'other_process';
    }
    if (ctx.clock() > sendBy) {
      return 'late';
    }
    if (!follows()) {
      return 'not_following';
    }
    return replica.state.claim.epoch > epoch ? 'deposed' : undefined;
  }

  /** A name that no other process of this host has: each has a steady clock of its own. */
  private name(): string {
    this.process ??= this.options.ctx.random().toString(NAME_BASE).slice(2);
    return this.process;
  }
}
