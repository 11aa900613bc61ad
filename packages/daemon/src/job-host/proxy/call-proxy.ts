/** Calls workers on behalf of the leader. It decides nothing: the leader says what each call contains. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  CallBatch,
  CallOutcome,
  CallReport,
  ConnectionId,
  OrderResult,
  PeerProcess,
  PollResult,
  ProxiedCall,
  ProxiedPoll,
  ProxyAnswer,
  WorkerAddress,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import type { HostContext } from '../context.js';
import type { StartRelay } from '../relay/start-relay.js';

/** Longest time without an answer, which is a sign of life as well. */
const MAX_HOLD_MS: Millis = 500;
/** Time for which reports are collected: the leader pays for each answer. */
const COLLECT_MS: Millis = 20;
/** Time without a batch after which a session ends. */
const IDLE_TIMEOUT_MS: Millis = 5_000;

/** Dependencies of a proxy. */
export interface CallProxyOptions {
  readonly ctx: HostContext;
  readonly relay: Pick<StartRelay, 'send'>;
  readonly identify: () => PeerProcess;
  /** Opens connections of their own for each session: a leader must not wait for the calls of another. */
  readonly port: () => WorkerPort;
}

/** Serves the sessions of leaders. */
export class CallProxy {
  private readonly sessions = new Map<string, Session>();

  /** Creates a proxy without sessions. */
  constructor(private readonly options: CallProxyOptions) {}

  /** Makes the calls of a batch, and answers when there is something to report of its session. */
  async exchange(batch: CallBatch): Promise<ProxyAnswer> {
    const { identify } = this.options;
    const isTaken = batch.process === identify().process;
    if (!isTaken && batch.process !== undefined) {
      return { by: identify(), isTaken, reports: [] };
    }
    const reports = await this.sessionOf(batch).exchange(batch);
    return { by: identify(), isTaken, reports };
  }

  private sessionOf({ session: name, epoch }: CallBatch): Session {
    const known = this.sessions.get(name);
    if (known !== undefined) {
      return known;
    }
    const session = new Session(this.options, epoch);
    this.sessions.set(name, session);
    this.closeIfIdle(name, session);
    return session;
  }

  private closeIfIdle(name: string, session: Session): void {
    this.options.ctx.schedule(IDLE_TIMEOUT_MS, () => {
      if (session.isIdle) {
        session.close();
        this.sessions.delete(name);
      } else {
        this.closeIfIdle(name, session);
      }
    });
  }
}

/** A worker that was called in a session. */
interface CalledWorker {
  readonly worker: WorkerAddress;
  /** The connection that carried the last answer to a poll; undefined before the first. */
  connection: ConnectionId | undefined;
}

/** A session with one leader. */
class Session {
  private readonly port: WorkerPort;
  private readonly workers = new Map<string, CalledWorker>();
  private lastConnection: ConnectionId = 0;
  private usedAt: Instant;
  private reports: CallReport[] = [];
  /** Answers the newest batch; undefined if it is answered. */
  private answer: ((reports: readonly CallReport[]) => void) | undefined;
  private cancelAnswer: () => void = () => undefined;
  private isCollecting = false;

  constructor(
    private readonly options: CallProxyOptions,
    private readonly epoch: number,
  ) {
    this.port = options.port();
    this.usedAt = options.ctx.clock();
  }

  /** Whether the leader has handed nothing over lately. */
  get isIdle(): boolean {
    return this.options.ctx.clock() - this.usedAt >= IDLE_TIMEOUT_MS;
  }

  /** Makes calls, and resolves with what is known of these and earlier ones. */
  exchange(batch: CallBatch): Promise<readonly CallReport[]> {
    this.usedAt = this.options.ctx.clock();
    this.answerNow();
    const reports = new Promise<readonly CallReport[]>(resolve => {
      this.answer = resolve;
    });
    this.answerIn(this.reports.length > 0 ? COLLECT_MS : MAX_HOLD_MS);
    batch.calls.forEach((call, at) => {
      void this.make(batch, call, batch.first + at);
    });
    return reports;
  }

  /** Closes the connections to workers. */
  close(): void {
    this.answerNow();
    for (const { worker } of this.workers.values()) {
      this.port.disconnect(worker);
    }
    this.workers.clear();
  }

  private answerIn(span: Millis): void {
    this.cancelAnswer();
    this.isCollecting = span === COLLECT_MS;
    this.cancelAnswer = this.options.ctx.schedule(span, () => {
      this.answerNow();
    });
  }

  private answerNow(): void {
    const { answer, reports } = this;
    if (answer !== undefined) {
      this.cancelAnswer();
      this.answer = undefined;
      this.isCollecting = false;
      this.reports = [];
      answer(reports);
    }
  }

  private async make(
    { process }: CallBatch,
    call: ProxiedCall,
    number: number,
  ): Promise<void> {
    const outcome = await this.outcomeOf(process, call, number);
    this.report(number, outcome, false);
  }

  private outcomeOf(
    process = '',
    call: ProxiedCall,
    number: number,
  ): Promise<CallOutcome> {
    switch (call.kind) {
      case 'start':
        return this.options.relay.send({ epoch: this.epoch, process }, call);
      case 'throttle':
        this.calledWorker(call.worker);
        return this.port.throttle(call.worker, call.order).then(sent);
      case 'poll':
        return this.poll(call, number);
    }
  }

  /** Polls a worker, over another connection than the leader knows only to identify it. */
  private async poll(
    { worker, request, connection }: ProxiedPoll,
    number: number,
  ): Promise<CallOutcome> {
    const called = this.calledWorker(worker);
    const wasConnected = this.port.isConnected(worker);
    const isKnown = wasConnected && called.connection === connection;
    const isProbe =
      !isKnown &&
      (request.acknowledged > 0 || request.leaseUntil !== undefined);
    const sentRequest = isProbe
      ? { ...request, acknowledged: 0, leaseUntil: undefined, waitMs: 0 }
      : request;
    const outcomeOf = (res: PollResult): CallOutcome => ({
      kind: 'polled',
      result: res.kind === 'seen' && isProbe ? { ...res, isProbe } : res,
      connection: called.connection,
    });
    const res = await this.port.poll(worker, sentRequest, late => {
      this.report(number, outcomeOf(late), true);
    });
    if (res.kind === 'seen' && (!wasConnected || !called.connection)) {
      this.lastConnection += 1;
      called.connection = this.lastConnection;
    }
    return outcomeOf(res);
  }

  private calledWorker(worker: WorkerAddress): CalledWorker {
    const known = this.workers.get(worker.id);
    if (known !== undefined) {
      return known;
    }
    const called = { worker, connection: undefined };
    this.workers.set(worker.id, called);
    return called;
  }

  private report(call: number, outcome: CallOutcome, isLate: boolean): void {
    this.reports.push({ call, outcome, isLate });
    if (this.answer !== undefined && !this.isCollecting) {
      this.answerIn(COLLECT_MS);
    }
  }
}

function sent(result: OrderResult): CallOutcome {
  return { kind: 'sent', result };
}
