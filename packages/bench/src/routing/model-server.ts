/** A backend server of a queue model: slots, and a queue in order of arrival. */
import type { Instant, TryResult } from '@paddlewind/domain';

import type { EventLoop } from './event-loop.js';
import type { ModelRequest, ServerMode } from './workload.js';

/** A try at a server; `canceled` once nobody waits for it. */
export interface ModelTry {
  readonly req: ModelRequest;
  canceled: boolean;
  /** Called at the server when the answer leaves it. */
  readonly answer: (result: TryResult) => void;
}

/** A backend server. */
export interface ModelServer {
  receive(entry: ModelTry): void;
  /** Tries that run or wait here. */
  occupied(): number;
}

/** Slot time that a rejected try costs, in milliseconds. */
const REJECTION_MS = 1;

/** Size and behaviour of a server. */
export interface ModelServerOptions {
  readonly slots: number;
  /** Tries that may wait; one more is answered 503 at once. */
  readonly maxWaiting: number;
  readonly modeAt: (at: Instant) => ServerMode;
}

/** Creates a server. */
export function createModelServer(
  loop: EventLoop,
  options: ModelServerOptions,
): ModelServer {
  const { slots, maxWaiting, modeAt } = options;
  const waiting: ModelTry[] = [];
  let running = 0;
  let rejectionMs = 0;

  function start(entry: ModelTry): void {
    const mode = modeAt(loop.now());
    running += 1;
    switch (mode.kind) {
      case 'serving':
        end(entry, entry.req.workMs * mode.slowdown + rejectionMs, 200);
        rejectionMs = 0;
        break;
      case 'failing':
        end(entry, mode.afterMs, 500);
        break;
      case 'stalled':
        // The slot stays taken until the entry host closes the connection.
        running -= 1;
        break;
    }
  }

  function end(entry: ModelTry, afterMs: number, status: number): void {
    loop.at(loop.now() + afterMs, () => {
      running -= 1;
      entry.answer({ kind: 'answered', status });
      startNext();
    });
  }

  function startNext(): void {
    while (running < slots) {
      const next = waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.canceled) {
        start(next);
      }
    }
  }

  return {
    receive(entry) {
      if (running >= slots && waiting.length >= maxWaiting) {
        rejectionMs += REJECTION_MS;
        entry.answer({ kind: 'answered', status: 503 });
        return;
      }
      waiting.push(entry);
      startNext();
    },
    occupied: () => running + waiting.length,
  };
}
