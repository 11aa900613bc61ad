/** Simulated links of hosts and calls between hosts, in virtual time. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  CallBatch,
  ExchangeResult,
  OrderResult,
  PeerPort,
  ProxyAnswer,
  ProxyPort,
  RelayBatch,
  RelayCallResult,
  RelayObserver,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import type { VirtualTime } from '@paddlewind/stand-ins';

import type { SimulatedProcess } from './simulated-process.fixture.test.js';
import type { JobHost } from './start-job-host.js';

/** Size of a call without a job's payload. */
const CALL_BYTES = 300;
/** Size of each further start in a call to another host. */
const START_ROW_BYTES = 110;
/** Timeout of an order to a worker. */
const ORDER_TIMEOUT_MS: Millis = 500;
/** Latency of a call between hosts, and its timeouts for being accepted and for the append. */
const PEER_LATENCY_MS: Millis = 2;
const PEER_ACCEPT_TIMEOUT_MS: Millis = 80;
const PEER_APPEND_TIMEOUT_MS: Millis = 1_200;
/** Timeouts for identifying a host, and for starts that it has accepted. */
const IDENTIFY_TIMEOUT_MS: Millis = 300;
const RELAY_TIMEOUT_MS: Millis = 900;
/** Timeout of a batch of calls to workers. */
const BATCH_TIMEOUT_MS: Millis = 1_500;
const MS_PER_S = 1_000;

/** A host's outgoing link, which carries one byte after the other. */
export class SimulatedLink {
  private freeAt: Instant = 0;

  /** Creates a link that carries `bytesPerS`. */
  constructor(
    private readonly time: VirtualTime,
    private readonly bytesPerS: number,
  ) {}

  /** Resolves once these bytes, and all that were sent before, have been carried. */
  async carry(bytes: number): Promise<void> {
    if (this.bytesPerS === Infinity) {
      return;
    }
    const now = this.time.clock();
    const took = (bytes / this.bytesPerS) * MS_PER_S;
    this.freeAt = Math.max(now, this.freeAt) + took;
    await sleepIn(this.time, this.freeAt - now);
  }

  /**
   * Returns `port` behind this link. Calls that time out while they wait here are carried out all
   * the same.
   */
  port(port: WorkerPort): WorkerPort {
    if (this.bytesPerS === Infinity) {
      return port;
    }
    const order = (
      bytes: number,
      call: () => Promise<OrderResult>,
    ): Promise<OrderResult> => {
      const timedOut = sleepIn(this.time, ORDER_TIMEOUT_MS).then(
        (): OrderResult => ({
          kind: 'unknown',
          reason: 'timeout',
        }),
      );
      return Promise.race([this.carry(bytes).then(call), timedOut]);
    };
    return {
      ...port,
      start: (to, start) =>
        order(CALL_BYTES + start.payload.length, () => port.start(to, start)),
      stop: (to, run) => order(CALL_BYTES, () => port.stop(to, run)),
      throttle: (to, run) => order(CALL_BYTES, () => port.throttle(to, run)),
      poll: async (to, poll, takeLate) => {
        await this.carry(CALL_BYTES);
        return port.poll(to, poll, takeLate);
      },
    };
  }
}

/** The links of a host in both directions. */
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
  /** Pairs of hosts `from>to` where the first can't reach the second. */
  readonly cuts = new Set<string>();
  /** Extra latency of starts by receiving host, which may exceed their timeout. */
  readonly startDelays = new Map<string, Millis>();
  /** Whether no host can reach another one. */
  cutAll = false;
  /** Links by host, for deployments with links in both directions. */
  readonly links = new Map<string, HostLinks>();
  /** Number of calls that asked a host to append for another one. */
  appends = 0;
  /** Number of starts that a host was asked to send for another one. */
  relays = 0;
  /** Number of messages by which a host was asked to call workers for another one, and of calls in them. */
  batches = 0;
  proxied = 0;
  /** Hosts of an earlier version, which do not call workers for others. */
  readonly withoutProxies = new Set<string>();

  /** Creates the calls between the hosts of a deployment. */
  constructor(
    private readonly time: VirtualTime,
    private readonly hosts: ReadonlyMap<string, ReachedHost>,
  ) {}

  /** Returns the port through which `name` calls other hosts. A frozen or dead host does not answer. */
  connect(name: string, link: SimulatedLink): PeerPort {
    return {
      append: async (address, records) => {
        await this.pause(PEER_LATENCY_MS);
        const found = this.reach(name, address);
        const unknown = { kind: 'unknown', reason: 'no answer' } as const;
        if (found === undefined || found.process.isStopped) {
          return this.pause(PEER_ACCEPT_TIMEOUT_MS).then(() => unknown);
        }
        this.appends += 1;
        const timedOut = this.pause(PEER_APPEND_TIMEOUT_MS).then(() => unknown);
        return Promise.race([found.host.appendForPeer(records), timedOut]);
      },
      relay: (address, batch, watch) => {
        this.relays += batch.starts.length;
        return new Promise(resolve => {
          const cancelAcceptTimeout = this.time.schedule(
            watch.takenWithinMs,
            () => {
              resolve(UNANSWERED);
            },
          );
          const timedOut = this.pause(watch.takenWithinMs + RELAY_TIMEOUT_MS);
          void timedOut.then(() => {
            resolve(UNANSWERED);
          });
          const onAccepted: RelayObserver['onAccepted'] = by => {
            cancelAcceptTimeout();
            watch.onAccepted(by);
          };
          const furtherStarts = batch.starts.length - 1;
          void link
            .carry(CALL_BYTES + furtherStarts * START_ROW_BYTES)
            .then(() =>
              this.relay(name, address, batch, { ...watch, onAccepted }),
            )
            .then(resolve);
        });
      },
      identify: async address => {
        await link.carry(CALL_BYTES);
        await this.pause(PEER_LATENCY_MS);
        const found = this.reach(name, address);
        if (found === undefined || found.process.isStopped) {
          return this.pause(IDENTIFY_TIMEOUT_MS).then(() => undefined);
        }
        return found.host.identifyForPeer();
      },
    };
  }

  /** Delivers a batch; a frozen host handles the starts once it resumes. */
  private async relay(
    from: string,
    to: string,
    batch: RelayBatch,
    watch: RelayObserver,
  ): Promise<RelayCallResult> {
    await this.pause(PEER_LATENCY_MS + (this.startDelays.get(to) ?? 0));
    const found = this.reach(from, to);
    if (found === undefined) {
      return new Promise(() => undefined);
    }
    const sendAnswer = (deliver: () => void): void => {
      void this.pause(PEER_LATENCY_MS).then(() => {
        if (this.reach(from, to) === found) {
          deliver();
        }
      });
    };
    return new Promise(resolve => {
      found.process.schedule(0, () => {
        const by = found.host.identifyForPeer();
        sendAnswer(() => {
          watch.onAccepted(by);
        });
        const onOutcome: RelayObserver['onOutcome'] = (at, outcome) => {
          sendAnswer(() => {
            watch.onOutcome(at, outcome);
          });
        };
        void found.host.relayForPeer(batch, onOutcome).then(() => {
          sendAnswer(() => {
            resolve({ kind: 'ended' });
          });
        });
      });
    });
  }

  /** Returns the port through which `name` has other hosts call workers for it. */
  proxies(name: string): ProxyPort {
    return {
      exchange: (address, batch) => {
        this.batches += 1;
        this.proxied += batch.calls.length;
        const timedOut = this.pause(BATCH_TIMEOUT_MS).then(
          (): ExchangeResult => ({ kind: 'failed', reason: 'timeout' }),
        );
        return Promise.race([this.exchange(name, address, batch), timedOut]);
      },
      disconnect: () => undefined,
    };
  }

  /** Delivers a batch; a frozen host handles it once it resumes. */
  private async exchange(
    from: string,
    to: string,
    batch: CallBatch,
  ): Promise<ExchangeResult> {
    await this.pause(PEER_LATENCY_MS + (this.startDelays.get(to) ?? 0));
    const found = this.reach(from, to);
    if (found === undefined) {
      return new Promise(() => undefined);
    }
    if (this.withoutProxies.has(to)) {
      return { kind: 'failed', reason: 'status 400' };
    }
    const answer = await new Promise<ProxyAnswer>(resolve => {
      found.process.schedule(0, () => {
        void found.host.callForPeer(batch).then(resolve);
      });
    });
    await this.pause(PEER_LATENCY_MS);
    return this.reach(from, to) === found
      ? { kind: 'answered', ...answer }
      : new Promise(() => undefined);
  }

  /** Returns the host `to` if `from` can reach it. */
  reach(from: string, to: string): ReachedHost | undefined {
    const found = this.hosts.get(to);
    const isCut = this.cutAll || this.cuts.has(`${from}>${to}`);
    return found?.process.alive === true && !isCut ? found : undefined;
  }

  private pause(span: Millis): Promise<void> {
    return sleepIn(this.time, span);
  }
}

const UNANSWERED: RelayCallResult = {
  kind: 'failed',
  outcome: 'unknown',
  reason: 'no answer',
};

/** Resolves after `span` of virtual time. */
export function sleepIn(time: VirtualTime, span: Millis): Promise<void> {
  return new Promise(resolve => {
    time.schedule(span, resolve);
  });
}
