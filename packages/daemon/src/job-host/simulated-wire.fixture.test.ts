/**
 * Simulated wire of a host in virtual time: the bytes of calls and answers on its link in each
 * direction, and the connections shared by calls to another host.
 */
import type { Millis } from '@paddlewind/domain';
import type {
  JobLog,
  PollResult,
  OrderResult,
  PeerPort,
  RelayCallResult,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import type { VirtualTime } from '@paddlewind/stand-ins';

import {
  sleepIn,
  type HostLinks,
  type SimulatedLink,
  type SimulatedPeers,
} from './simulated-network.fixture.test.js';

/** Settings of the wires of a deployment. */
export interface WireOptions {
  /** Capacity of each host's incoming link. */
  readonly inBytesPerS: number;
  /** Concurrent calls to one other host for relayed starts and identification. */
  readonly connections: number;
}

/** Head sizes of a call and of its answer. */
const CALL_HEAD_BYTES = 215;
const ANSWER_HEAD_BYTES = 110;
/** Body sizes of calls without payloads. */
const START_BYTES = 180;
const BATCH_BYTES = 80;
const RELAYED_START_BYTES = 110;
const ORDER_BYTES = 80;
const POLL_BYTES = 70;
/** Body sizes of answers. */
const ORDER_ANSWER_BYTES = 40;
const ACCEPTANCE_BYTES = 20;
const OUTCOME_BYTES = 40;
const PROCESS_ANSWER_BYTES = 45;
const ACTIVE_RUN_BYTES = 46;
const ENDED_RUN_BYTES = 90;
/** Packets that open a connection, in each direction. */
const CONNECT_BYTES = 60;
const RECORD_BYTES = 20;
/** Timeouts of calls to a worker and to the log. */
const ORDER_TIMEOUT_MS: Millis = 500;
const LOG_TIMEOUT_MS: Millis = 1_500;
const LATENCY_MS: Millis = 1;
/**
 * Timeouts until another host has accepted a call and has answered it; for starts, counted from
 * their acceptance.
 */
const RELAY_TIMEOUT_MS: Millis = 900;
const IDENTIFY_TIMEOUTS = { acceptedMs: 1_000, answeredMs: 1_000 };
const APPEND_TIMEOUTS = { acceptedMs: 80, answeredMs: 1_200 };
const APPEND_CONNECTIONS = 4;

interface CallTimeouts {
  readonly acceptedMs: Millis;
  readonly answeredMs: Millis;
}

/** Connections to one host, each of which carries one call at a time. */
class ConnectionPool {
  private busy = 0;
  private idle = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly size: number) {}

  /** Resolves once a connection is free, with whether it still has to be opened. */
  async acquire(): Promise<boolean> {
    if (this.busy >= this.size) {
      await new Promise<void>(resolve => {
        this.waiting.push(resolve);
      });
    }
    this.busy += 1;
    const isNew = this.idle === 0;
    this.idle = Math.max(0, this.idle - 1);
    return isNew;
  }

  release(isHealthy: boolean): void {
    this.busy -= 1;
    this.idle += isHealthy ? 1 : 0;
    this.waiting.shift()?.();
  }
}

/** A host's link in both directions. */
export class SimulatedWire {
  private readonly relays = new Map<string, ConnectionPool>();
  private readonly leaders = new Map<string, ConnectionPool>();

  /** Creates a wire without connections. */
  constructor(
    private readonly time: VirtualTime,
    readonly out: SimulatedLink,
    readonly into: SimulatedLink,
    private readonly connections: number,
  ) {}

  /**
   * Returns workers behind this wire. Calls that time out while they wait here are carried out all
   * the same.
   */
  port(port: WorkerPort): WorkerPort {
    const order = async (
      bytes: number,
      call: () => Promise<OrderResult>,
    ): Promise<OrderResult> => {
      const answer = this.out
        .carry(CALL_HEAD_BYTES + bytes)
        .then(call)
        .then(async res => {
          await this.into.carry(ANSWER_HEAD_BYTES + ORDER_ANSWER_BYTES);
          return res;
        });
      const unknown = { kind: 'unknown', reason: 'timeout' } as const;
      return Promise.race([
        answer,
        this.pause(ORDER_TIMEOUT_MS).then(() => unknown),
      ]);
    };
    return {
      ...port,
      start: (to, start) =>
        order(START_BYTES + start.payload.length, () => port.start(to, start)),
      stop: (to, run) => order(ORDER_BYTES, () => port.stop(to, run)),
      throttle: (to, run) => order(ORDER_BYTES, () => port.throttle(to, run)),
      poll: async (to, poll, takeLate) => {
        const answer = this.out
          .carry(CALL_HEAD_BYTES + POLL_BYTES)
          .then(() => port.poll(to, poll, takeLate))
          .then(async res => {
            await this.into.carry(sizeOfPollAnswer(res));
            return res;
          });
        const timedOut = this.pause(poll.waitMs + poll.slackMs);
        const first = await Promise.race([answer, timedOut]);
        if (first !== undefined) {
          return first;
        }
        void answer.then(res => {
          if (res.kind !== 'failed') {
            takeLate(res);
          }
        });
        return { kind: 'failed', reason: 'timeout' };
      },
    };
  }

  /** Returns the log behind this wire. */
  log(log: JobLog): JobLog {
    return {
      append: async (stream, records, stamp) => {
        const answer = this.out
          .carry(CALL_HEAD_BYTES + sizeOf(records))
          .then(() => log.append(stream, records, stamp))
          .then(async res => {
            await this.into.carry(ANSWER_HEAD_BYTES);
            return res;
          });
        const unknown = { kind: 'unknown', reason: 'timeout' } as const;
        return Promise.race([
          answer,
          this.pause(LOG_TIMEOUT_MS).then(() => unknown),
        ]);
      },
      read: async (stream, from, limits) => {
        const answer = this.out
          .carry(CALL_HEAD_BYTES)
          .then(() => log.read(stream, from, limits))
          .then(async res => {
            const records = res.kind === 'records' ? res.records : [];
            await this.into.carry(ANSWER_HEAD_BYTES + sizeOf(records));
            return res;
          });
        const timedOut = this.pause(limits.waitMs + LOG_TIMEOUT_MS);
        const unavailable = { kind: 'unavailable', reason: 'timeout' } as const;
        return Promise.race([answer, timedOut.then(() => unavailable)]);
      },
    };
  }

  /** Returns the port through which `name` calls other hosts over this wire. */
  peers(name: string, site: SimulatedPeers): PeerPort {
    return {
      append: async (address, records) => {
        const bytes = sizeOf(records);
        const pool = poolOf(this.leaders, address, APPEND_CONNECTIONS);
        const res = await this.call(pool, APPEND_TIMEOUTS, async onAccepted => {
          const { links, host } = await this.arrive(name, address, bytes, site);
          site.appends += 1;
          onAccepted();
          const appended = await host.appendForPeer(records);
          await this.answerBy(links, 0);
          return appended;
        });
        this.replaceIfSilent(this.leaders, address, pool, res);
        return res ?? { kind: 'unknown', reason: 'no answer' };
      },
      relay: async (address, batch, watch) => {
        const { takenWithinMs } = watch;
        const rows = batch.starts.length;
        site.relays += rows;
        const pool = poolOf(this.relays, address, this.connections);
        const answeredMs = takenWithinMs + RELAY_TIMEOUT_MS;
        const timeouts = { acceptedMs: takenWithinMs, answeredMs };
        const bytes = BATCH_BYTES + rows * RELAYED_START_BYTES;
        const res = await this.call(pool, timeouts, async onAccepted => {
          await this.pause(site.startDelays.get(address) ?? 0);
          const { links, host } = await this.arrive(name, address, bytes, site);
          const by = host.identifyForPeer();
          void this.answerBy(links, ACCEPTANCE_BYTES).then(() => {
            onAccepted();
            watch.onAccepted(by);
          });
          const answers: Promise<void>[] = [];
          await host.relayForPeer(batch, (at, outcome) => {
            const answer = this.carryBack(links, OUTCOME_BYTES).then(() => {
              watch.onOutcome(at, outcome);
            });
            answers.push(answer);
          });
          await Promise.all(answers);
          return { kind: 'ended' } as const;
        });
        this.replaceIfSilent(this.relays, address, pool, res);
        return res ?? UNANSWERED;
      },
      identify: async address => {
        const pool = poolOf(this.relays, address, this.connections);
        const res = await this.call(pool, IDENTIFY_TIMEOUTS, async () => {
          const { links, host } = await this.arrive(name, address, 0, site);
          const identity = host.identifyForPeer();
          await this.answerBy(links, PROCESS_ANSWER_BYTES);
          return identity;
        });
        this.replaceIfSilent(this.relays, address, pool, res);
        return res;
      },
    };
  }

  /**
   * Makes a call once a connection is free. Undefined if it timed out; it is not sent if that
   * happened before a connection was free.
   */
  private call<R>(
    pool: ConnectionPool,
    { acceptedMs, answeredMs }: CallTimeouts,
    send: (onAccepted: () => void) => Promise<R>,
  ): Promise<R | undefined> {
    return new Promise(resolve => {
      let hasEnded = false;
      let holds = false;
      const end = (res: R | undefined): void => {
        if (!hasEnded) {
          hasEnded = true;
          cancelAcceptTimeout();
          cancelAnswerTimeout();
          if (holds) {
            pool.release(res !== undefined);
          }
          resolve(res);
        }
      };
      const timeOut = (): void => {
        end(undefined);
      };
      const cancelAcceptTimeout = this.time.schedule(acceptedMs, timeOut);
      const cancelAnswerTimeout = this.time.schedule(answeredMs, timeOut);
      const begin = async (): Promise<void> => {
        const isNew = await pool.acquire();
        if (hasEnded) {
          pool.release(!isNew);
          return;
        }
        holds = true;
        if (isNew) {
          await this.out.carry(CONNECT_BYTES);
          await this.into.carry(CONNECT_BYTES);
        }
        end(await send(cancelAcceptTimeout));
      };
      void begin();
    });
  }

  /**
   * Resolves in the other host's process once the call has arrived; never if that host can't be
   * reached.
   */
  private async arrive(
    from: string,
    to: string,
    bytes: number,
    site: SimulatedPeers,
  ): Promise<ReachedProcess> {
    await this.out.carry(CALL_HEAD_BYTES + bytes);
    await this.pause(LATENCY_MS);
    const found = site.reach(from, to);
    const links = site.links.get(to);
    if (found === undefined || links === undefined) {
      return new Promise(() => undefined);
    }
    await links.into.carry(CALL_HEAD_BYTES + bytes);
    await new Promise<void>(resolve => {
      found.process.schedule(0, resolve);
    });
    return { links, host: found.host };
  }

  /** Carries an answer from another host. */
  private async answerBy(links: HostLinks, bytes: number): Promise<void> {
    await this.carryBack(links, ANSWER_HEAD_BYTES + bytes);
  }

  /** Carries bytes from another host. */
  private async carryBack(links: HostLinks, bytes: number): Promise<void> {
    await links.out.carry(bytes);
    await this.pause(LATENCY_MS);
    await this.into.carry(bytes);
  }

  /** Replaces the connections after a call that timed out, since all of them may be broken. */
  private replaceIfSilent(
    pools: Map<string, ConnectionPool>,
    address: string,
    used: ConnectionPool,
    res: unknown,
  ): void {
    if (res === undefined && pools.get(address) === used) {
      pools.delete(address);
    }
  }

  private pause(span: Millis): Promise<void> {
    return sleepIn(this.time, span);
  }
}

interface ReachedProcess {
  readonly links: HostLinks;
  readonly host: NonNullable<ReturnType<SimulatedPeers['reach']>>['host'];
}

const UNANSWERED: RelayCallResult = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'timeout',
};

function poolOf(
  pools: Map<string, ConnectionPool>,
  address: string,
  maxSize: number,
): ConnectionPool {
  const found = pools.get(address) ?? new ConnectionPool(maxSize);
  pools.set(address, found);
  return found;
}

function sizeOf(records: readonly Uint8Array[]): number {
  return records.reduce((sum, { length }) => sum + RECORD_BYTES + length, 0);
}

function sizeOfPollAnswer(res: PollResult): number {
  return res.kind === 'seen'
    ? ANSWER_HEAD_BYTES +
        ACTIVE_RUN_BYTES * res.active.length +
        ENDED_RUN_BYTES * res.ended.length
    : ANSWER_HEAD_BYTES;
}
