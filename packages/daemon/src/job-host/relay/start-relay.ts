/** Sends starts to workers on behalf of a leader whose link can't carry them all. */
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

/** Idle time after which connections to a worker are closed. */
const IDLE_CONNECTION_MS: Millis = 30_000;
/** Radix in which the name of a process is written. */
const PROCESS_NAME_RADIX = 36;

/** Dependencies of a relay. */
export interface StartRelayOptions {
  readonly ctx: HostContext;
  readonly replica: Pick<Replica, 'state' | 'refresh'>;
  readonly port: () => WorkerPort;
  /** Whether this host follows the journal of a leader. */
  readonly isFollowing: () => boolean;
}

/** The leader that hands starts over, and the process to which it does. */
export type RelaySource = Pick<RelayBatch, 'epoch' | 'process'>;

/** A worker that was sent a start. */
interface UsedWorker {
  readonly worker: WorkerAddress;
  readonly usedAt: Instant;
}

/**
 * Sends starts for the leader. It makes no decisions and stores nothing: fence, lease and run
 * number come from the leader, and the worker refuses outdated starts.
 */
export class StartRelay {
  private readonly usedWorkers = new Map<string, UsedWorker>();
  private port: WorkerPort | undefined;
  private process: string | undefined;

  /** Creates a relay that has sent nothing. */
  constructor(private readonly options: StartRelayOptions) {}

  /** Sends the starts of a batch concurrently and reports the outcome of each, or why it was not sent. */
  async sendBatch(
    batch: RelayBatch,
    onOutcome: (at: number, outcome: RelayOutcome) => void,
  ): Promise<void> {
    const sending = batch.starts.map(async (start, at) => {
      onOutcome(at, await this.send(batch, start));
    });
    await Promise.all(sending);
  }

  /** Sends one start, or tells why it was not sent. */
  async send(
    batch: RelaySource,
    { worker, order, sendBy }: RelayedStart,
  ): Promise<RelayOutcome> {
    const { ctx, replica } = this.options;
    const refusal = this.refusalOf(batch, sendBy);
    if (refusal !== undefined) {
      return { kind: 'refused', why: refusal };
    }
    const { job } = order.task;
    if (!replica.state.jobs.has(job)) {
      await replica.refresh('inbox');
    }
    const knownJob = replica.state.jobs.get(job);
    if (knownJob === undefined || isFinished(knownJob)) {
      return { kind: 'refused', why: 'unknown_job' };
    }
    // Reading the log may have taken long and revealed another leader.
    const laterRefusal = this.refusalOf(batch, sendBy);
    if (laterRefusal !== undefined) {
      return { kind: 'refused', why: laterRefusal };
    }
    this.usedWorkers.set(worker.id, { worker, usedAt: ctx.clock() });
    this.port ??= this.options.port();
    const { payload } = knownJob.spec;
    const result = await this.port.start(worker, { ...order, payload });
    return { kind: 'sent', result };
  }

  /** Returns the identity of this process. */
  identify(): PeerProcess {
    return { process: this.processName(), clock: this.options.ctx.clock() };
  }

  /** Closes connections that are no longer used. */
  closeIdleConnections(): void {
    const now = this.options.ctx.clock();
    for (const [id, { worker, usedAt }] of this.usedWorkers) {
      if (now - usedAt > IDLE_CONNECTION_MS) {
        this.usedWorkers.delete(id);
        this.port?.disconnect(worker);
      }
    }
  }

  private refusalOf(
    { epoch, process }: RelaySource,
    sendBy: Instant,
  ): RelayRefusal | undefined {
    const { ctx, replica, isFollowing } = this.options;
    if (process !== this.processName()) {
      return 'other_process';
    }
    if (ctx.clock() > sendBy) {
      return 'late';
    }
    if (!isFollowing()) {
      return 'not_following';
    }
    return replica.state.claim.epoch > epoch ? 'deposed' : undefined;
  }

  /** Returns a name that is unique to this process, since each process has its own monotonic clock. */
  private processName(): string {
    this.process ??= this.options.ctx
      .random()
      .toString(PROCESS_NAME_RADIX)
      .slice(2);
    return this.process;
  }
}
