/** The links of hosts in virtual time, and the calls between hosts. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  OrderResult,
  PeerPort,
  RelayBatch,
  RelayCallResult,
  RelayObserver,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import type { VirtualTime } from '@paddlewind/stand-ins';

import type { SimulatedProcess } from './simulated-process.fixture.test.js';
import type { JobHost } from './start-job-host.js';

/** Bytes of a call beside a job's payload. */
const CALL_BYTES = 300;
/** Bytes of each further start that one call carries to another host. */
const START_ROW_BYTES = 110;
/** Time after which an order to a worker is given up. */
const ORDER_MS: Millis = 500;
/** Time of a call between hosts, and after which it is given up: not taken, or not appended. */
const PEER_MS: Millis = 2;
const PEER_TAKEN_MS: Millis = 80;
const PEER_APPENDED_MS: Millis = 1_200;
/** Time after which a host that is asked who it is, or starts that it has taken, are given up. */
const IDENTIFIED_MS: Millis = 300;
const RELAYED_MS: Millis = 900;
const MS_PER_S = 1_000;

/** What a host sends goes over one link, one byte after the other. */
export class SimulatedLink {
  private freeAt: Instant = 0;

  /** Creates a link that carries `bytesPerS`. */
  constructor(
    private readonly time: VirtualTime,
    private readonly bytesPerS: number,
  ) {}

  /** Resolves once all that was sent before, and these bytes, are through. */
  async carry(bytes: number): Promise<void> {
    if (this.bytesPerS === Infinity) {
      return;
    }
    const now = this.time.clock();
    const took = (bytes / this.bytesPerS) * MS_PER_S;
    this.freeAt = Math.max(now, this.freeAt) + took;
    await pauseOf(this.time, this.freeAt - now);
  }

  /** Returns `port` behind this link: what waits here for too long is carried out all the same. */
  port(port: WorkerPort): WorkerPort {
    if (this.bytesPerS === Infinity) {
      return port;
    }
    const order = (
      bytes: number,
      call: () => Promise<OrderResult>,
    ): Promise<OrderResult> => {
      const gaveUp = pauseOf(this.time, ORDER_MS).then((): OrderResult => ({
        kind: 'unknown',
        reason: 'timeout',
      }));
      return Promise.race([this.carry(bytes).then(call), gaveUp]);
    };
    return {
      ...port,
      start: (to, start) =>
        order(CALL_BYTES + start.payload.length, () => port.start(to, start)),
      stop: (to, run) => order(CALL_BYTES, () => port.stop(to, run)),
      throttle: (to, run) => order(CALL_BYTES, () => port.throttle(to, run)),
      poll: async (to, look, takeLate) => {
        await this.carry(CALL_BYTES);
        return port.poll(to, look, takeLate);
      },
    };
  }
}

/** The link of a host in each direction. */
export interface HostLinks {
  readonly out: SimulatedLink;
  readonly into: SimulatedLink;
}

/** A host and its process. */
export interface ReachedHost {
  readonly host: JobHost;
  readonly process: SimulatedProcess;
}

/** Calls between hosts. */
export class SimulatedPeers {
  /** Pairs of hosts `from>to` of which the first does not reach the second. */
  readonly cuts = new Set<string>();
  /** Time by host that starts take on their way to it, also beyond the time after which they are given up. */
  readonly startDelays = new Map<string, Millis>();
  /** Whether no host reaches another one. */
  cutAll = false;
  /** Links by host, where the site has any in both directions. */
  readonly links = new Map<string, HostLinks>();
  /** How often a host was asked to append for another one. */
  appends = 0;
  /** How often a host was asked to send a start for another one. */
  relays = 0;

  /** Creates the calls between the hosts of a site. */
  constructor(
    private readonly time: VirtualTime,
    private readonly hosts: ReadonlyMap<string, ReachedHost>,
  ) {}

  /** Other hosts as `name` reaches them: a frozen or dead one does not answer. */
  connect(name: string, link: SimulatedLink): PeerPort {
    return {
      append: async (address, records) => {
        await this.pause(PEER_MS);
        const found = this.reach(name, address);
        const unknown = { kind: 'unknown', reason: 'no answer' } as const;
        if (found === undefined || found.process.isStopped) {
          return this.pause(PEER_TAKEN_MS).then(() => unknown);
        }
        this.appends += 1;
        const gaveUp = this.pause(PEER_APPENDED_MS).then(() => unknown);
        return Promise.race([found.host.appendForPeer(records), gaveUp]);
      },
      relay: (address, batch, watch) => {
        this.relays += batch.starts.length;
        return new Promise(resolve => {
          const notTaken = this.time.schedule(watch.takenWithinMs, () => {
            resolve(UNANSWERED);
          });
          const gaveUp = this.pause(watch.takenWithinMs + RELAYED_MS);
          void gaveUp.then(() => {
            resolve(UNANSWERED);
          });
          const taken: RelayObserver['onAccepted'] = by => {
            notTaken();
            watch.onAccepted(by);
          };
          const more = batch.starts.length - 1;
          void link
            .carry(CALL_BYTES + more * START_ROW_BYTES)
            .then(() =>
              this.relay(name, address, batch, { ...watch, onAccepted: taken }),
            )
            .then(resolve);
        });
      },
      identify: async address => {
        await link.carry(CALL_BYTES);
        await this.pause(PEER_MS);
        const found = this.reach(name, address);
        if (found === undefined || found.process.isStopped) {
          return this.pause(IDENTIFIED_MS).then(() => undefined);
        }
        return found.host.identifyForPeer();
      },
    };
  }

  /** A host that stands still deals with the starts once it goes on. */
  private async relay(
    from: string,
    to: string,
    batch: RelayBatch,
    watch: RelayObserver,
  ): Promise<RelayCallResult> {
    await this.pause(PEER_MS + (this.startDelays.get(to) ?? 0));
    const found = this.reach(from, to);
    if (found === undefined) {
      return new Promise(() => undefined);
    }
    const answers = (tell: () => void): void => {
      void this.pause(PEER_MS).then(() => {
        if (this.reach(from, to) === found) {
          tell();
        }
      });
    };
    return new Promise(resolve => {
      found.process.schedule(0, () => {
        const by = found.host.identifyForPeer();
        answers(() => {
          watch.onAccepted(by);
        });
        const told: RelayObserver['onOutcome'] = (at, outcome) => {
          answers(() => {
            watch.onOutcome(at, outcome);
          });
        };
        void found.host.relayForPeer(batch, told).then(() => {
          answers(() => {
            resolve({ kind: 'ended' });
          });
        });
      });
    });
  }

  /** Returns the host `to` if `from` reaches it. */
  reach(from: string, to: string): ReachedHost | undefined {
    const found = this.hosts.get(to);
    const isCut = this.cutAll || this.cuts.has(`${from}>${to}`);
    return found?.process.alive === true && !isCut ? found : undefined;
  }

  private pause(span: Millis): Promise<void> {
    return pauseOf(this.time, span);
  }
}

const UNANSWERED: RelayCallResult = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'no answer',
};

/** Resolves after `span` of virtual time. */
export function pauseOf(time: VirtualTime, span: Millis): Promise<void> {
  return new Promise(resolve => {
    time.schedule(span, resolve);
  });
}
