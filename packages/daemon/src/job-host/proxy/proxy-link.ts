/** A leader's session with one host that calls workers for it. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  CallOutcome,
  ConnectionId,
  PollRequest,
  ProxiedCall,
  ProxyAnswer,
  ProxyPort,
  RelayRefusal,
  StartOrder,
  ThrottleOrder,
  WorkerAddress,
} from '@paddlewind/ports/jobs';

import { ClockBound } from '../clock-bound.js';
import type { HostContext } from '../context.js';
import { OpenCalls } from './open-calls.js';

/** Interval between sweeps of the open calls. */
export const SWEEP_INTERVAL_MS: Millis = 200;
/** Time for which calls are collected after a batch was sent: many in one message cost little each. */
const BATCH_WINDOW_MS: Millis = 20;
/** The same at the most. */
const MAX_BATCH_WINDOW_MS: Millis = 400;
/** By how much more of it a loop that is late needs. */
const LOOP_DELAY_FACTOR = 2;
/** Sweeps without an answer after which the host counts as lost; it answers twice a second at the least. */
const QUIET_SWEEPS = 7;
/** Sweeps in a row that find a host late, after which it rests. */
const MAX_LATE_SWEEPS = 4;
/** Batches without an answer: one that waits for reports, and one for calls that must not wait for these. */
const MAX_IN_FLIGHT = 2;
/** Radix in which sessions are named. */
const SESSION_RADIX = 36;
/** Time that a call may take on its way to the host and back, in addition to the worker's. */
const ALLOWANCE_MS: Millis = 1_000;
/** Timeout of an order to a worker. */
const ORDER_TIMEOUT_MS: Millis = 500;
/** Time for which a host is not used after its session has ended or it was slow. */
const REST_MS: Millis = 2_000;
/** Number of workers that do not answer a host but the leader, within `REST_MS`, after which it rests. */
const MAX_UNREACHED_WORKERS = 4;

/** Dependencies of a link. */
export interface ProxyLinkOptions {
  readonly ctx: HostContext;
  readonly port: ProxyPort;
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
}

/** A start without its payload, which the proxy reads from the log. */
export type ProxiedStart = Omit<StartOrder, 'payload'>;

/** A session that is opened again after a rest whenever it has ended. */
export class ProxyLink {
  private session: string | undefined;
  private inFlight = 0;
  private windowMs: Millis = BATCH_WINDOW_MS;
  private readonly clockBound = new ClockBound();
  private readonly calls = new OpenCalls();
  private pending: ProxiedCall[] = [];
  private firstPending = 0;
  private isScheduled = false;
  private flushedAt: Instant = -Infinity;
  private quietSweeps = 0;
  private lateSweeps = 0;
  private restsUntil: Instant = -Infinity;
  /** Times at which workers were found that it does not reach. */
  private unreachedAt: Instant[] = [];
  private isOpen = false;
  /** Largest difference of clocks that was seen, and the latest one. */
  private fastestAheadMs: Millis = -Infinity;
  private latestAheadMs: Millis = -Infinity;
  private zone: string | undefined;

  /** Creates a link without a session. */
  constructor(private readonly options: ProxyLinkOptions) {}

  /** Name of the host. */
  get host(): string {
    return this.options.host;
  }

  /** Address of the host. */
  get address(): string {
    return this.options.address;
  }

  /** Availability zone of the host, if it is known. */
  get availabilityZone(): string | undefined {
    return this.zone;
  }

  /** Whether calls may be handed over now. */
  get isUsable(): boolean {
    return this.isOpen && !this.isResting;
  }

  /** Whether the host has answered in this or an earlier session. */
  get isIdentified(): boolean {
    return this.clockBound.process !== undefined;
  }

  /** Whether the host is given no calls for a while. */
  get isResting(): boolean {
    return this.options.ctx.clock() < this.restsUntil;
  }

  /** Whether calls have no outcome yet. */
  get isBusy(): boolean {
    return this.calls.size > 0;
  }

  /** How much longer than the fastest one the last sign of life was on its way. */
  get lagMs(): Millis {
    return this.fastestAheadMs - this.latestAheadMs;
  }

  /** Opens a session if there is none and the host has rested. */
  connect(): void {
    const { ctx } = this.options;
    if (this.session !== undefined || this.isResting) {
      return;
    }
    this.session = ctx.random().toString(SESSION_RADIX);
    this.quietSweeps = 0;
    this.inFlight = 0;
    this.schedule();
  }

  /** Has the host send a start; undefined if its outcome is not known. */
  start(
    worker: WorkerAddress,
    order: ProxiedStart,
    sendBy: Instant,
  ): Promise<CallOutcome | undefined> {
    const { aheadMs } = this.clockBound;
    const call = { worker, order, sendBy: sendBy + aheadMs };
    return this.call({ kind: 'start', ...call }, ORDER_TIMEOUT_MS);
  }

  /** Has the host limit a run; undefined if the outcome is not known. */
  throttle(
    worker: WorkerAddress,
    order: ThrottleOrder,
  ): Promise<CallOutcome | undefined> {
    return this.call({ kind: 'throttle', worker, order }, ORDER_TIMEOUT_MS);
  }

  /** Has the host poll a worker; undefined if the outcome is not known. */
  poll(
    worker: WorkerAddress,
    request: PollRequest,
    connection: ConnectionId | undefined,
    takeLate: (outcome: CallOutcome) => void,
  ): Promise<CallOutcome | undefined> {
    const allowedMs = request.waitMs + request.slackMs;
    const call = { worker, request, connection };
    return this.call({ kind: 'poll', ...call }, allowedMs, takeLate);
  }

  /** Notes that a worker answers the leader but not this host. */
  noteUnreachedWorker(): void {
    const now = this.options.ctx.clock();
    this.unreachedAt = this.unreachedAt.filter(at => now - at < REST_MS);
    this.unreachedAt.push(now);
    if (this.unreachedAt.length >= MAX_UNREACHED_WORKERS) {
      this.unreachedAt = [];
      this.rest('workers do not answer it');
    }
  }

  /** Notes at a sweep whether the host answers later than others; it rests if it does so for a while. */
  noteLag(isLate: boolean): void {
    this.lateSweeps = isLate ? this.lateSweeps + 1 : 0;
    if (this.lateSweeps >= MAX_LATE_SWEEPS) {
      this.lateSweeps = 0;
      this.rest('it is slow');
    }
  }

  /** Notes that the host refused to make a call. */
  noteRefused(why: RelayRefusal): void {
    if (why !== 'late' && why !== 'unknown_job') {
      this.end(why);
    }
  }

  /** Gives the host no calls for a while; those it has go on. */
  rest(reason: string): void {
    const { ctx, host } = this.options;
    if (ctx.clock() >= this.restsUntil) {
      this.restsUntil = ctx.clock() + REST_MS;
      ctx.log.info(
        { by: host, reason, restMs: REST_MS },
        'proxy: a host is given no calls for a while',
      );
    }
  }

  /** Fails what takes too long; called at intervals of `SWEEP_INTERVAL_MS`. */
  sweep(): void {
    if (this.session === undefined) {
      return;
    }
    this.quietSweeps += 1;
    if (this.quietSweeps > QUIET_SWEEPS) {
      this.end('no sign of life');
    } else {
      this.calls.sweep();
    }
  }

  /** Closes the session; calls without an outcome fail. */
  close(): void {
    if (this.session !== undefined) {
      this.options.port.disconnect(this.options.address);
    }
    this.session = undefined;
    this.isOpen = false;
    this.pending = [];
    this.calls.fail();
  }

  private handleAnswer({ by, reports }: ProxyAnswer): void {
    const now = this.options.ctx.clock();
    this.quietSweeps = 0;
    this.isOpen = true;
    this.zone = by.availabilityZone;
    this.clockBound.update(by, now);
    this.latestAheadMs = by.clock - now;
    this.fastestAheadMs = Math.max(this.fastestAheadMs, this.latestAheadMs);
    for (const report of reports) {
      this.calls.report(report);
    }
  }

  private end(reason: string): void {
    this.rest(reason);
    this.close();
  }

  private call(
    call: ProxiedCall,
    allowedMs: Millis,
    takeLate: (outcome: CallOutcome) => void = () => undefined,
  ): Promise<CallOutcome | undefined> {
    return new Promise(settle => {
      const number = this.firstPending + this.pending.length;
      const sweepsLeft = Math.ceil(
        (allowedMs + ALLOWANCE_MS) / SWEEP_INTERVAL_MS,
      );
      this.calls.add(number, { settle, takeLate, sweepsLeft });
      this.pending.push(call);
      this.schedule();
    });
  }

  /** Schedules the next batch; one is always at the host, which answers it with reports. */
  private schedule(): void {
    if (this.isScheduled || !this.isBatchDue) {
      return;
    }
    this.isScheduled = true;
    const { ctx } = this.options;
    const dueAt = Math.max(ctx.clock(), this.flushedAt + this.windowMs);
    ctx.schedule(dueAt - ctx.clock(), () => {
      this.isScheduled = false;
      this.noteLoopDelay(ctx.clock() - dueAt);
      if (this.isBatchDue) {
        void this.exchange();
      }
    });
  }

  /**
   * Adapts to how late timers fire. A loop that is behind gets more calls and reports in one message, and thus
   * fewer messages, until it keeps up.
   */
  private noteLoopDelay(delayMs: Millis): void {
    const wantedMs = BATCH_WINDOW_MS + LOOP_DELAY_FACTOR * delayMs;
    const smoothMs = (this.windowMs + wantedMs) / 2;
    this.windowMs = Math.min(MAX_BATCH_WINDOW_MS, smoothMs);
  }

  private get isBatchDue(): boolean {
    const hasCalls = this.pending.length > 0 && this.inFlight < MAX_IN_FLIGHT;
    return this.session !== undefined && (this.inFlight === 0 || hasCalls);
  }

  private async exchange(): Promise<void> {
    const { ctx, port, epoch, address } = this.options;
    const { session = '', pending: calls, firstPending: first } = this;
    const { process } = this.clockBound;
    this.pending = [];
    this.firstPending = first + calls.length;
    this.flushedAt = ctx.clock();
    this.inFlight += 1;
    const batch = { epoch, session, process, first, calls };
    const res = await port.exchange(address, batch);
    if (this.session !== session) {
      return;
    }
    this.inFlight -= 1;
    if (res.kind === 'failed') {
      this.end(res.reason);
      return;
    }
    const hasChanged = process !== undefined && res.by.process !== process;
    ctx.times.measure('proxies', () => {
      this.handleAnswer(res);
    });
    if (hasChanged) {
      this.fastestAheadMs = -Infinity;
      this.end('another process runs there');
    }
    this.schedule();
  }
}
