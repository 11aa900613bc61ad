/**
 * The wire of a host in virtual time: what calls and their answers take of its link in each direction, and
 * the connections that calls to another host share.
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
  pauseOf,
  type HostLinks,
  type SimulatedLink,
  type SimulatedPeers,
} from './simulated-network.fixture.test.js';

/** What a test may set of the wires of a site. */
export interface WireOptions {
  /** What the link of each host carries in. */
  readonly inBytesPerS: number;
  /** Starts at one other host at a time, and questions which process it is. */
  readonly connections: number;
}

/** Heads of a call and of its answer. */
const HEAD = 215;
const ANSWER_HEAD = 110;
/** What calls carry beside their heads and payloads. */
const START = 180;
const BATCH = 80;
const RELAYED = 110;
const ORDER = 80;
const LOOK = 70;
/** What answers carry beside their heads. */
const ORDER_ANSWER = 40;
const TAKEN = 20;
const OUTCOME = 40;
const PROCESS_ANSWER = 45;
const ACTIVE_RUN = 46;
const ENDED_RUN = 90;
/** Packets that open a connection, in each direction. */
const CONNECT = 60;
const RECORD = 20;
/** Time after which a call to a worker or the log is given up. */
const ORDER_MS: Millis = 500;
const LOG_MS: Millis = 1_500;
const WAY_MS: Millis = 1;
/** Time until another host has taken a call, and has answered it; of starts, once it has taken them. */
const RELAYED_MS: Millis = 900;
const PROCESS_LIMITS = { taken: 1_000, answered: 1_000 };
const APPEND_LIMITS = { taken: 80, answered: 1_200 };
const APPEND_CONNECTIONS = 4;

interface Limits {
  readonly taken: Millis;
  readonly answered: Millis;
}

/** Connections to one host, of which each carries a call at a time. */
class Connections {
  private busy = 0;
  private idle = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly most: number) {}

  /** Resolves once a connection is free; with whether it is still to be opened. */
  async take(): Promise<boolean> {
    if (this.busy >= this.most) {
      await new Promise<void>(resolve => {
        this.waiting.push(resolve);
      });
    }
    this.busy += 1;
    const isNew = this.idle === 0;
    this.idle = Math.max(0, this.idle - 1);
    return isNew;
  }

  free(isSound: boolean): void {
    this.busy -= 1;
    this.idle += isSound ? 1 : 0;
    this.waiting.shift()?.();
  }
}

/** One host's link in both directions. */
export class SimulatedWire {
  private readonly relays = new Map<string, Connections>();
  private readonly leaders = new Map<string, Connections>();

  /** Creates a wire without connections. */
  constructor(
    private readonly time: VirtualTime,
    readonly out: SimulatedLink,
    readonly into: SimulatedLink,
    private readonly connections: number,
  ) {}

  /** Returns workers behind this wire: what waits here for too long is carried out all the same. */
  port(port: WorkerPort): WorkerPort {
    const order = async (
      bytes: number,
      call: () => Promise<OrderResult>,
    ): Promise<OrderResult> => {
      const answer = this.out
        .carry(HEAD + bytes)
        .then(call)
        .then(async res => {
          await this.into.carry(ANSWER_HEAD + ORDER_ANSWER);
          return res;
        });
      const unknown = { kind: 'unknown', reason: 'timeout' } as const;
      return Promise.race([answer, this.pause(ORDER_MS).then(() => unknown)]);
    };
    return {
      ...port,
      start: (to, start) =>
        order(START + start.payload.length, () => port.start(to, start)),
      stop: (to, run) => order(ORDER, () => port.stop(to, run)),
      throttle: (to, run) => order(ORDER, () => port.throttle(to, run)),
      poll: async (to, look, takeLate) => {
        const answer = this.out
          .carry(HEAD + LOOK)
          .then(() => port.poll(to, look, takeLate))
          .then(async res => {
            await this.into.carry(sizeOfLook(res));
            return res;
          });
        const gaveUp = this.pause(look.waitMs + look.slackMs);
        const first = await Promise.race([answer, gaveUp]);
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
          .carry(HEAD + sizeOf(records))
          .then(() => log.append(stream, records, stamp))
          .then(async res => {
            await this.into.carry(ANSWER_HEAD);
            return res;
          });
        const unknown = { kind: 'unknown', reason: 'timeout' } as const;
        return Promise.race([answer, this.pause(LOG_MS).then(() => unknown)]);
      },
      read: async (stream, from, limits) => {
        const answer = this.out
          .carry(HEAD)
          .then(() => log.read(stream, from, limits))
          .then(async res => {
            const records = res.kind === 'records' ? res.records : [];
            await this.into.carry(ANSWER_HEAD + sizeOf(records));
            return res;
          });
        const gaveUp = this.pause(limits.waitMs + LOG_MS);
        const away = { kind: 'unavailable', reason: 'timeout' } as const;
        return Promise.race([answer, gaveUp.then(() => away)]);
      },
    };
  }

  /** Other hosts as `name` reaches them over this wire. */
  peers(name: string, site: SimulatedPeers): PeerPort {
    return {
      append: async (address, records) => {
        const bytes = sizeOf(records);
        const pool = poolOf(this.leaders, address, APPEND_CONNECTIONS);
        const res = await this.call(pool, APPEND_LIMITS, async began => {
          const { links, host } = await this.arrive(name, address, bytes, site);
          site.appends += 1;
          began();
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
        const answered = takenWithinMs + RELAYED_MS;
        const limits = { taken: takenWithinMs, answered };
        const bytes = BATCH + rows * RELAYED;
        const res = await this.call(pool, limits, async began => {
          await this.pause(site.startDelays.get(address) ?? 0);
          const { links, host } = await this.arrive(name, address, bytes, site);
          const by = host.identifyForPeer();
          void this.answerBy(links, TAKEN).then(() => {
            began();
            watch.onAccepted(by);
          });
          const answers: Promise<void>[] = [];
          await host.relayForPeer(batch, (at, outcome) => {
            const answer = this.carryBack(links, OUTCOME).then(() => {
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
        const res = await this.call(pool, PROCESS_LIMITS, async () => {
          const { links, host } = await this.arrive(name, address, 0, site);
          const told = host.identifyForPeer();
          await this.answerBy(links, PROCESS_ANSWER);
          return told;
        });
        this.replaceIfSilent(this.relays, address, pool, res);
        return res;
      },
    };
  }

  /** Makes a call once a connection is free; undefined if it was given up, and never sent if that was before. */
  private call<R>(
    pool: Connections,
    { taken, answered }: Limits,
    send: (began: () => void) => Promise<R>,
  ): Promise<R | undefined> {
    return new Promise(resolve => {
      let isOver = false;
      let holds = false;
      const end = (res: R | undefined): void => {
        if (!isOver) {
          isOver = true;
          notTaken();
          late();
          if (holds) {
            pool.free(res !== undefined);
          }
          resolve(res);
        }
      };
      const giveUp = (): void => {
        end(undefined);
      };
      const notTaken = this.time.schedule(taken, giveUp);
      const late = this.time.schedule(answered, giveUp);
      const begin = async (): Promise<void> => {
        const isNew = await pool.take();
        if (isOver) {
          pool.free(!isNew);
          return;
        }
        holds = true;
        if (isNew) {
          await this.out.carry(CONNECT);
          await this.into.carry(CONNECT);
        }
        end(await send(notTaken));
      };
      void begin();
    });
  }

  /** Resolves in the other host's process once the call is there; never where it is out of reach. */
  private async arrive(
    from: string,
    to: string,
    bytes: number,
    site: SimulatedPeers,
  ): Promise<Reached> {
    await this.out.carry(HEAD + bytes);
    await this.pause(WAY_MS);
    const found = site.reach(from, to);
    const links = site.links.get(to);
    if (found === undefined || links === undefined) {
      return new Promise(() => undefined);
    }
    await links.into.carry(HEAD + bytes);
    await new Promise<void>(resolve => {
      found.process.schedule(0, resolve);
    });
    return { links, host: found.host };
  }

  /** Carries an answer of another host here. */
  private async answerBy(links: HostLinks, bytes: number): Promise<void> {
    await this.carryBack(links, ANSWER_HEAD + bytes);
  }

  /** Carries what another host sends here. */
  private async carryBack(links: HostLinks, bytes: number): Promise<void> {
    await links.out.carry(bytes);
    await this.pause(WAY_MS);
    await this.into.carry(bytes);
  }

  /** A call that ran out of time makes all connections suspect: later calls go over new ones. */
  private replaceIfSilent(
    pools: Map<string, Connections>,
    address: string,
    used: Connections,
    res: unknown,
  ): void {
    if (res === undefined && pools.get(address) === used) {
      pools.delete(address);
    }
  }

  private pause(span: Millis): Promise<void> {
    return pauseOf(this.time, span);
  }
}

interface Reached {
  readonly links: HostLinks;
  readonly host: NonNullable<ReturnType<SimulatedPeers['reach']>>['host'];
}

const UNANSWERED: RelayCallResult = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'timeout',
};

function poolOf(
  pools: Map<string, Connections>,
  address: string,
  most: number,
): Connections {
  const found = pools.get(address) ?? new Connections(most);
  pools.set(address, found);
  return found;
}

function sizeOf(records: readonly Uint8Array[]): number {
  return records.reduce((sum, { length }) => sum + RECORD + length, 0);
}

function sizeOfLook(res: PollResult): number {
  return res.kind === 'seen'
    ? ANSWER_HEAD +
        ACTIVE_RUN * res.active.length +
        ENDED_RUN * res.ended.length
    : ANSWER_HEAD;
}
