/** The decisions of an entry host on requests of one service: a pure state machine driven by events. */
import type { Instant } from '../core/time.js';
import type { AppError } from '../errors/app-error.js';

/** A backend server that may be chosen. */
export interface BackendInfo {
  /** `ip:port`. */
  readonly address: string;
  readonly worker: string;
  readonly availabilityZone: string;
  /** Leaving servers finish what they have and get nothing new. */
  readonly state: 'live' | 'leaving';
}

/** An entry host that is live, this one included. */
export interface EntryHostInfo {
  readonly id: string;
  readonly availabilityZone: string;
}

/** A request as far as decisions need it. */
export interface RequestInfo {
  /** Unique on this entry host. */
  readonly id: number;
  readonly deadline: Instant;
  readonly idempotent: boolean;
}

/** What to do with a request. */
export type Dispatch =
  | { readonly kind: 'send'; readonly id: number; readonly backend: string }
  | { readonly kind: 'queued'; readonly id: number }
  | { readonly kind: 'refused'; readonly id: number; readonly error: AppError };

/** How one try of a request ended at a backend server. */
export type TryResult =
  | { readonly kind: 'answered'; readonly status: number }
  /** Nothing of the request reached the server. */
  | { readonly kind: 'not_sent' }
  | { readonly kind: 'broken' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'canceled' };

/** Drives the requests of one service; every method may release queued requests. */
export interface Dispatcher {
  setBackends(backends: readonly BackendInfo[], now: Instant): Dispatch[];
  /** Offers a new request; the first element is the verdict on it. */
  offer(req: RequestInfo, now: Instant): Dispatch[];
  /** Reports the end of a try and frees its slot. */
  finish(
    id: number,
    backend: string,
    result: TryResult,
    now: Instant,
  ): Dispatch[];
  /** Asks to send again after a failed try; refused outside the retry budget or when not safe. */
  retry(req: RequestInfo, result: TryResult, now: Instant): Dispatch[];
  /** Asks for a second copy of a running idempotent request; undefined when the budget denies it. */
  hedge(req: RequestInfo, now: Instant): Dispatch | undefined;
  /** Withdraws a request that is still queued. */
  withdraw(id: number, now: Instant): void;
  /**
   * Takes the number of entry hosts now live, this one included. With their names the hosts share out
   * the slots between them; without, each one only keeps to its share of the connections.
   */
  setPeers(
    count: number,
    now: Instant,
    hosts?: readonly EntryHostInfo[],
  ): Dispatch[];
  /** Multiplies the attraction of a worker's server: 1 is neutral, 0 is only used when no other can. */
  steer(worker: string, weight: number): void;
  /** Most connections that this entry host may hold to a server, idle ones included. */
  connectionLimit(backend: string, now: Instant): number;
  /** Expires deadlines and returns ejected servers; call about every 10 ms while anything is queued. */
  tick(now: Instant): Dispatch[];
  /** Own load by backend server. */
  loads(): {
    backend: string;
    inFlight: number;
    queued: number;
    latencyUs: number;
  }[];
}
