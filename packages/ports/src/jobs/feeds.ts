/** Ports to data that the platform publishes: the operator's configuration and the registry of workers. */
import type { Millis } from '@paddlewind/domain';
import type { QueueTerms, WorkerInfo } from '@paddlewind/domain/jobs';

/** A queue that callers submit to. */
export interface Queue {
  readonly host: string;
  readonly pathPrefix: string;
  readonly terms: QueueTerms;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** One version of the operator's configuration. */
export interface OperatorConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: RequestLimits;
}

/** The operator's request that nothing more start in an availability zone, in force until it is removed. */
export interface ZoneEvacuation {
  readonly availabilityZone: string;
  /** Offset of its latest record. */
  readonly offset: number;
}

/** A value as published, or the reason why there is none. */
export type Published<T> =
  | { readonly kind: 'value'; readonly value: T }
  /** Nothing has been published yet. */
  | { readonly kind: 'none' }
  /** The latest published value is invalid; the previous valid one stays in force. */
  | { readonly kind: 'unreadable'; readonly reason: string };

/** The result of reading a feed. */
export type FeedResult<T> =
  | { readonly kind: 'value'; readonly value: T }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** All that the operator has currently published. */
export interface OperatorEntries {
  readonly config: Published<OperatorConfig>;
  readonly evacuations: readonly ZoneEvacuation[];
}

/** Subscription to what the operator publishes. */
export interface OperatorFeed {
  /** Returns the current entries; calls after the first wait up to `waitMs` for a change. */
  next(waitMs: Millis): Promise<FeedResult<OperatorEntries>>;
}

/** A registry entry that can't be decoded. */
export interface UnreadableEntry {
  readonly id: string;
  /** Name of the invalid field and the error. */
  readonly reason: string;
}

/** Current content of the registry of workers. */
export interface Registry {
  readonly workers: readonly WorkerInfo[];
  readonly unreadable: readonly UnreadableEntry[];
}

/** Subscription to the registry of workers. */
export interface WorkerFeed {
  refresh(): Promise<FeedResult<Registry>>;
}
