/** The history of a run: what the callers, operators, stand-ins and the prover saw, in order. */
import type { Resources } from '@paddlewind/domain';
import type { StandInEvent, TimedEvent } from '@paddlewind/stand-ins';

/** How a caller's request ended, as the caller saw it. */
export type RequestEnd =
  /** An answer of a backend server that arrived whole. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly own: boolean;
    }
  /** A refusal of an entry host, with the outcome that it claims. */
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly outcome: 'run' | 'not_run' | 'unknown';
    }
  /** The connection never came about. */
  | { readonly kind: 'not_connected' }
  /** The connection broke, or the answer did. */
  | { readonly kind: 'broken' };

/** A fault that the prover causes. */
export interface Fault {
  readonly fault:
    | 'entry_killed'
    | 'entry_paused'
    | 'entry_stopped'
    | 'log_outage'
    | 'worker_unreachable'
    | 'backend_broken';
  /** Entry host, worker or backend server. */
  readonly target: string;
}

/** An event that the prover sees or causes. */
export type ProverEvent =
  | {
      readonly type: 'request_sent';
      readonly request: string;
      readonly entry: string;
      readonly idempotent: boolean;
      /** Idempotency key; the same when the caller sends again. */
      readonly key?: string;
    }
  | {
      readonly type: 'request_done';
      readonly request: string;
      readonly entry: string;
      readonly end: RequestEnd;
    }
  | {
      readonly type: 'service_placed';
      readonly worker: string;
      readonly service: string;
      readonly size: Resources;
    }
  | {
      readonly type: 'job_submitted';
      readonly job: string;
      readonly tasks: number;
      readonly onLostWorker: 'resume' | 'hold';
    }
  | { readonly type: 'job_canceled'; readonly job: string }
  | {
      readonly type: 'config_accepted';
      readonly object: string;
      /** Version that the change was based on. */
      readonly base: number;
      /** In force on hosts whose configuration is at this offset or beyond. */
      readonly offset: number;
    }
  | {
      readonly type: 'config_seen';
      readonly entry: string;
      /** Offset of the configuration that the entry host has in force. */
      readonly offset: number;
      readonly ready: boolean;
    }
  | {
      readonly type: 'shard_claimed';
      readonly shard: string;
      readonly epoch: number;
      readonly owner: string;
    }
  | ({ readonly type: 'fault_began' } & Fault)
  | ({ readonly type: 'fault_ended' } & Fault)
  | {
      readonly type: 'entry_exited';
      readonly entry: string;
      readonly code: number | null;
    }
  /** The faults are over and the system had time to settle. */
  | { readonly type: 'settled' };

/** An event of a history. */
export type HistoryEvent = TimedEvent<StandInEvent | ProverEvent>;

/** Events in ascending order of their instants. */
export type History = readonly HistoryEvent[];

/** An event of one type. */
export type EventOf<T extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  { readonly type: T }
>;

/** Returns the events of one type, in order. */
export function eventsOf<T extends HistoryEvent['type']>(
  history: History,
  type: T,
): EventOf<T>[] {
  return history.filter((event): event is EventOf<T> => event.type === type);
}

/** Groups values by the key of each, in order of first appearance. */
export function groupBy<T>(
  values: readonly T[],
  keyOf: (value: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const key = keyOf(value);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [value]);
    } else {
      group.push(value);
    }
  }
  return groups;
}

/** Returns the events ordered by their instants. */
export function inOrder(events: readonly HistoryEvent[]): History {
  return [...events].sort((a, b) => a.at - b.at);
}
