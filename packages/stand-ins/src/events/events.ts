/** Events that the stand-ins write for the history checker. */
import { appendFileSync } from 'node:fs';

import type { Resources } from '@paddlewind/domain';

/** Why an attempt ended at its worker. */
export type AttemptEnd =
  'completed' | 'failed' | 'stopped' | 'lease_lapsed' | 'agent_restarted';

/** An event of a stand-in without its instant. */
export type StandInEvent =
  | {
      readonly type: 'worker_up';
      readonly worker: string;
      readonly boot: string;
      readonly capacity: Resources;
    }
  | {
      readonly type: 'task_began';
      readonly worker: string;
      readonly boot: string;
      readonly job: string;
      readonly task: string;
      readonly attempt: number;
      readonly size: Resources;
      /** Progress of the checkpoint that it resumed from, 0 when fresh. */
      readonly resumedAt: number;
      readonly shard: string;
      readonly epoch: number;
    }
  | {
      readonly type: 'task_ended';
      readonly worker: string;
      readonly boot: string;
      readonly task: string;
      readonly attempt: number;
      readonly end: AttemptEnd;
      readonly progress: number;
    }
  | {
      readonly type: 'request_began';
      readonly backend: string;
      readonly request: string;
      readonly method: string;
    }
  | {
      readonly type: 'request_ended';
      readonly backend: string;
      readonly request: string;
      /** What the server did with the answer. */
      readonly answer: 'whole' | 'broken' | 'abandoned';
    }
  | { readonly type: 'backend_up'; readonly backend: string }
  | {
      readonly type: 'host_listed';
      readonly host: string;
      readonly state: 'live' | 'leaving' | 'gone';
    };

/** An event with its instant in milliseconds on the machine's monotonic clock, alike in all processes. */
export type TimedEvent<E> = E & { readonly at: number };

/** Takes an event as it happens. */
export type EventSink<E = StandInEvent> = (event: E) => void;

/** Reads the machine's monotonic clock in milliseconds; comparable between processes. */
export function machineNow(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** Ignores events. */
export function noEvents(): void {
  return undefined;
}

/** Appends events to `file` as one JSON object a line; written before the call returns, so a kill loses none. */
export function fileSink<E extends object>(file: string): EventSink<E> {
  return event => {
    appendFileSync(file, `${JSON.stringify({ at: machineNow(), ...event })}\n`);
  };
}

/** Collects events in memory. */
export function memorySink<E extends object>(): {
  readonly sink: EventSink<E>;
  readonly events: TimedEvent<E>[];
} {
  const events: TimedEvent<E>[] = [];
  return {
    events,
    sink: event => {
      events.push({ at: machineNow(), ...event });
    },
  };
}
