/** Port to hosts that call workers on behalf of the leader. */
import type { PeerProcess, RelayedStart, RelayOutcome } from './peer-port.js';
import type {
  PollRequest,
  PollResult,
  ThrottleOrder,
  WorkerAddress,
} from './worker-port.js';

/** Names a connection to a worker among those that one proxy has opened. */
export type ConnectionId = number;

/** A poll that a leader makes through a proxy. */
export interface ProxiedPoll {
  readonly worker: WorkerAddress;
  readonly request: PollRequest;
  /**
   * Connection over which the incarnation was identified. Over any other connection the proxy only identifies the
   * worker: it acknowledges nothing and extends no lease.
   */
  readonly connection: ConnectionId | undefined;
}

/** A limit that a leader orders through a proxy. */
export interface ProxiedThrottle {
  readonly worker: WorkerAddress;
  readonly order: ThrottleOrder;
}

/** A call to a worker that a leader makes through a proxy. */
export type ProxiedCall =
  | ({ readonly kind: 'start' } & RelayedStart)
  | ({ readonly kind: 'throttle' } & ProxiedThrottle)
  | ({ readonly kind: 'poll' } & ProxiedPoll);

/** Calls that a leader hands to a proxy together; there may be none. */
export interface CallBatch {
  /** Epoch of the leader. */
  readonly epoch: number;
  /** Names the session; a later one of the same leader knows nothing of the calls of this one. */
  readonly session: string;
  /**
   * Process that has to make the calls, since the deadlines of starts are valid on its clock only; undefined if
   * the leader does not know it yet.
   */
  readonly process: string | undefined;
  /** Number of the first call; the others follow. Numbers are unique within a session. */
  readonly first: number;
  readonly calls: readonly ProxiedCall[];
}

/** Outcome of a proxied poll. */
export interface PolledOutcome {
  readonly kind: 'polled';
  readonly result: PollResult;
  /** The connection that carried the answer; undefined if there was none. */
  readonly connection: ConnectionId | undefined;
}

/** Outcome of a proxied call. */
export type CallOutcome = RelayOutcome | PolledOutcome;

/** What a proxy reports of a call. */
export interface CallReport {
  /** Number of the call. */
  readonly call: number;
  readonly outcome: CallOutcome;
  /** Whether the worker answered a poll after it was reported as failed. */
  readonly isLate: boolean;
}

/** A proxy's answer to a batch. */
export interface ProxyAnswer {
  readonly by: PeerProcess;
  /** Whether the calls of the batch are made; otherwise none of them is. */
  readonly isTaken: boolean;
  /** What became of calls of the session since the last answer. */
  readonly reports: readonly CallReport[];
}

/** Result of handing over a batch; after a failure its calls may be made or not. */
export type ExchangeResult =
  | ({ readonly kind: 'answered' } & ProxyAnswer)
  | { readonly kind: 'failed'; readonly reason: string };

/** Client of hosts that call workers for the leader. */
export interface ProxyPort {
  /**
   * Hands calls to the host at `address`. It answers as soon as it has something to report, at the next batch of
   * the session, or after half a second.
   */
  exchange(address: string, batch: CallBatch): Promise<ExchangeResult>;
  /** Closes the connections to a host. */
  disconnect(address: string): void;
}
